package org.hemlockrack.daemon.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;
import org.jspecify.annotations.Nullable;

/**
 * A listening socket that ends the input of connections which stop inside a frame. The server
 * allocates a frame when its length has arrived, and keeps it until the frame is complete.
 */
final class FrameGuard extends TNonblockingServerSocket {
    /**
     * Time without a byte inside a frame. Peers write a frame at once; TCP sends a lost packet
     * again within a second.
     */
    static final long STALL_MILLIS = 2_000;

    private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS);

    /** Connections above the limit whose input has ended and that are not closed yet. */
    private static final int MAX_ENDING = 64;

    private static final long PERIOD_MILLIS = 500;

    /** Length of the number before each frame. */
    private static final int LENGTH_BYTES = 4;

    private final Set<GuardedSocket> mSockets = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "peer-frames");
                        thread.setDaemon(true);
                        return thread;
                    });

    private final int mMaxConnections;

    /** Descriptors of connections. */
    private final AtomicInteger mOpen = new AtomicInteger();

    /** Connections that were closed since the last pass. */
    private final AtomicInteger mClosed = new AtomicInteger();

    /** Connections that were closed in the pass before. Confined to the timer. */
    private int mClosedBefore;

    private FrameGuard(NonblockingAbstractServerSocketArgs args, int maxConnections)
            throws TTransportException {
        super(args);
        mMaxConnections = maxConnections;
    }

    static FrameGuard open(NonblockingAbstractServerSocketArgs args, int maxConnections)
            throws TTransportException {
        FrameGuard guard = new FrameGuard(args, maxConnections);
        guard.mTimer.scheduleWithFixedDelay(
                guard::endStalledInputs, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        return guard;
    }

    private void endStalledInputs() {
        long nowNanos = System.nanoTime();
        // A selector keeps the descriptor of a closed connection until its next selection.
        mOpen.addAndGet(-mClosedBefore);
        mClosedBefore = mClosed.getAndSet(0);
        mSockets.forEach(socket -> socket.endInputIfStalled(nowNanos));
    }

    @Override
    public @Nullable TNonblockingSocket accept() throws TTransportException {
        TNonblockingSocket accepted = super.accept();
        if (accepted == null) {
            return null;
        }
        if (mOpen.get() >= (long) mMaxConnections + MAX_ENDING) {
            accepted.close();
            return null;
        }
        if (mSockets.size() >= mMaxConnections) {
            endLongestSilent();
        }
        try {
            GuardedSocket socket = new GuardedSocket(accepted.getSocketChannel());
            mOpen.incrementAndGet();
            mSockets.add(socket);
            return socket;
        } catch (IOException e) {
            accepted.close();
            throw new TTransportException(e);
        }
    }

    /** Ends the connection whose last message is the oldest, so that a crowd locks nobody out. */
    private void endLongestSilent() {
        long nowNanos = System.nanoTime();
        mSockets.stream()
                .min(Comparator.comparingLong(socket -> socket.mLastReadNanos - nowNanos))
                .ifPresent(GuardedSocket::end);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        super.close();
    }

    private final class GuardedSocket extends TNonblockingSocket {
        private volatile long mLastReadNanos = System.nanoTime();
        private volatile boolean mInFrame;
        private final AtomicBoolean mEnded = new AtomicBoolean();

        GuardedSocket(SocketChannel channel) throws IOException, TTransportException {
            super(channel);
        }

        @Override
        public int read(ByteBuffer buffer) throws TTransportException {
            int bytes = super.read(buffer);
            mLastReadNanos = System.nanoTime();
            mInFrame = buffer.hasRemaining() || buffer.capacity() <= LENGTH_BYTES;
            return bytes;
        }

        /**
         * Ends the input, so that the server closes the connection and counts its frame as freed.
         */
        private void endInputIfStalled(long nowNanos) {
            if (mInFrame && nowNanos - mLastReadNanos >= STALL_NANOS) {
                endInput();
            }
        }

        private void endInput() {
            try {
                getSocketChannel().shutdownInput();
            } catch (IOException e) {
                // The connection has ended already.
            }
        }

        /** Ends the input of the connection, which does not count as open any more. */
        private void end() {
            mSockets.remove(this);
            endInput();
        }

        @Override
        public void close() {
            mSockets.remove(this);
            if (mEnded.compareAndSet(false, true)) {
                mClosed.incrementAndGet();
            }
            super.close();
        }
    }
}
