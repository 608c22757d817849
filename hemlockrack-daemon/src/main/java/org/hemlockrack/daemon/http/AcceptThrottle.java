package org.hemlockrack.daemon.http;

import java.nio.channels.ClosedSelectorException;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.hc.core5.reactor.IOWorkerSelector;
import org.apache.hc.core5.reactor.IOWorkerStats;

/**
 * Assigns accepted connections to the I/O threads of a port in turn, and delays the next accept
 * while the I/O threads have not closed those above the limit. Without it a burst of connections
 * can take all descriptors of the process; accepting then fails, which ends the port.
 */
final class AcceptThrottle implements IOWorkerSelector {
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final int mMaxChannels;

    /** Used by the accepting thread only. */
    private int mNextWorker;

    private AcceptThrottle(int maxChannels) {
        mMaxChannels = maxChannels;
    }

    static AcceptThrottle of(HttpLimits limits) {
        return new AcceptThrottle(limits.maxAcceptedConnections());
    }

    /** Called by the accepting thread for each connection that it has accepted. */
    @Override
    public int select(IOWorkerStats[] workers) {
        while (isFull(workers) && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(POLL_NANOS);
        }
        mNextWorker = (mNextWorker + 1) % workers.length;
        return mNextWorker;
    }

    private boolean isFull(IOWorkerStats[] workers) {
        try {
            return Arrays.stream(workers).mapToInt(AcceptThrottle::channels).sum() >= mMaxChannels;
        } catch (ClosedSelectorException e) {
            // The port is closed; the reactor closes the connection.
            return false;
        }
    }

    /** Returns the connections of an I/O thread whose descriptors are open. */
    private static int channels(IOWorkerStats worker) {
        return worker.totalChannelCount() + worker.pendingChannelCount();
    }
}
