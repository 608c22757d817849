package org.hemlockrack.daemon.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.hemlockrack.limits.RequestMemory;

/**
 * Limits the number of connections to one port and enforces their timeouts. Connections above
 * {@link HttpLimits#maxConnections()} get an error response to each request; those above {@link
 * HttpLimits#hardMaxConnections()} are closed without a response.
 */
final class ConnectionLimiter extends ConnectionListener implements AutoCloseable {
    private static final long MIN_PERIOD_MILLIS = 10;
    private static final long MAX_PERIOD_MILLIS = 500;

    private final HttpLimits mLimits;
    private final RequestMemory mMemory;
    private final AtomicInteger mOpenSessions = new AtomicInteger();
    private final Set<ClientConnection> mConnections = ConcurrentHashMap.newKeySet();

    /** Connections that were evicted and have not ended. */
    private final Set<ClientConnection> mEndingConnections = ConcurrentHashMap.newKeySet();

    private final AtomicInteger mOpenConnections = new AtomicInteger();
    private final ScheduledExecutorService mTimer;
    private volatile boolean mClosesAfterResponse;

    private ConnectionLimiter(String name, HttpLimits limits, RequestMemory memory) {
        mLimits = limits;
        mMemory = memory;
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, name + "-limits");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /**
     * Creates a limiter and starts the thread that enforces timeouts.
     *
     * @param name name of the port, used for the thread name
     * @param limits limits of the port
     * @param memory memory for the requests
     * @return the limiter
     */
    static ConnectionLimiter start(String name, HttpLimits limits, RequestMemory memory) {
        ConnectionLimiter limiter = new ConnectionLimiter(name, limits, memory);
        long shortestMillis =
                Math.min(
                        limits.headTimeoutMillis(),
                        Math.min(limits.bodyTimeoutMillis(), limits.writeTimeoutMillis()));
        long periodMillis =
                Math.max(MIN_PERIOD_MILLIS, Math.min(MAX_PERIOD_MILLIS, shortestMillis / 4));
        limiter.mTimer.scheduleWithFixedDelay(
                limiter::enforceTimeouts, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
        return limiter;
    }

    HttpLimits limits() {
        return mLimits;
    }

    RequestMemory memory() {
        return mMemory;
    }

    /** Runs an action on the thread that enforces timeouts. */
    void execute(Runnable action) {
        try {
            mTimer.execute(action);
        } catch (RejectedExecutionException e) {
            // The port is closed, and with it each connection.
        }
    }

    private void enforceTimeouts() {
        long nowNanos = System.nanoTime();
        if (mOpenSessions.get() > mLimits.maxConnections()) {
            evictStalled(nowNanos);
        }
        mMemory.makeRoom(nowNanos);
        for (ClientConnection connection : mConnections) {
            try {
                connection.enforceTimeouts(nowNanos);
            } catch (RuntimeException e) {
                // The exception must not reach the executor, which would cancel the periodic task
                // and with it the timeouts of all other connections.
                connection.closeNow(CloseReason.INTERNAL_ERROR);
            }
        }
    }

    /** Lets each connection close after its next response. */
    void closeAfterNextResponse() {
        mClosesAfterResponse = true;
    }

    boolean closesAfterResponse() {
        return mClosesAfterResponse;
    }

    int openConnections() {
        return mOpenConnections.get();
    }

    int openExchanges() {
        return mConnections.stream().mapToInt(ClientConnection::openExchanges).sum();
    }

    /** Refuses requests whose bodies have not arrived; returns their number. */
    int refuseIncompleteRequests(Predicate<HttpCall> condition, CallHandler refusal) {
        return mConnections.stream()
                .mapToInt(connection -> connection.refuseIncompleteRequests(condition, refusal))
                .sum();
    }

    /** Closes each connection once no request is in progress on it. */
    void closeIdleConnections() {
        mConnections.forEach(ClientConnection::closeWhenIdle);
    }

    /** Returns the number of complete responses that are not written to their end. */
    int untakenResponses() {
        return mConnections.stream().mapToInt(ClientConnection::untakenResponses).sum();
    }

    /** Closes all connections; those whose responses are not written to their end are reset. */
    void closeConnections() {
        mConnections.forEach(ClientConnection::closeAtEnd);
    }

    /**
     * Evicts connections without progress until the others are within the limit, the longest
     * stalled first; returns whether enough connections are ending.
     */
    private boolean evictStalled(long nowNanos) {
        int left = mOpenSessions.get() - mEndingConnections.size() - mLimits.maxConnections();
        if (left <= 0) {
            return true;
        }
        record Stalled(ClientConnection connection, long sinceNanos) {}
        List<Stalled> all = new ArrayList<>();
        for (ClientConnection connection : mConnections) {
            Long sinceNanos = connection.stalledSinceNanos();
            if (sinceNanos != null && mMemory.isStalled(sinceNanos, nowNanos)) {
                all.add(new Stalled(connection, sinceNanos));
            }
        }
        all.sort(Comparator.comparingLong(each -> each.sinceNanos - nowNanos));
        for (Stalled each : all) {
            if (left == 0) {
                break;
            }
            if (mMemory.evict(each.connection.account())) {
                mEndingConnections.add(each.connection);
                left--;
            }
        }
        return left == 0;
    }

    /** Adds a connection that cannot be used yet. */
    void connectionAccepted(ClientConnection connection) {
        mConnections.add(connection);
    }

    void connectionOpened(ClientConnection connection) {
        connection.connected();
        if (mOpenConnections.incrementAndGet() > mLimits.maxConnections()
                && !evictStalled(System.nanoTime())) {
            connection.refuseAllRequests();
        }
    }

    void connectionClosed(ClientConnection connection) {
        connection.disconnected();
        mEndingConnections.remove(connection);
        if (mConnections.remove(connection) && connection.wasConnected()) {
            mOpenConnections.decrementAndGet();
        }
    }

    @Override
    public void connected(IOSession session) {
        if (mOpenSessions.incrementAndGet() > mLimits.hardMaxConnections()) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    @Override
    public void disconnected(IOSession session) {
        mOpenSessions.decrementAndGet();
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
