package org.hemlockrack.daemon.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;

/** Counts the connections of one port and enforces their time limits. */
final class ConnectionTable extends ConnectionListener implements AutoCloseable {
    private static final long MIN_PERIOD_MILLIS = 10;
    private static final long MAX_PERIOD_MILLIS = 500;

    private final HttpLimits mLimits;
    private final AtomicInteger mSessions = new AtomicInteger();
    private final Set<ClientConnection> mConnections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mOpen = new AtomicInteger();
    private final ScheduledExecutorService mTimer;

    private ConnectionTable(String name, HttpLimits limits) {
        mLimits = limits;
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, name + "-limits");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /**
     * Creates a table and starts its timer.
     *
     * @param name name of the port
     * @param limits bounds on what clients can use
     */
    static ConnectionTable start(String name, HttpLimits limits) {
        ConnectionTable table = new ConnectionTable(name, limits);
        long shortestMillis =
                Math.min(
                        limits.headTimeoutMillis(),
                        Math.min(limits.bodyTimeoutMillis(), limits.writeTimeoutMillis()));
        long periodMillis =
                Math.max(MIN_PERIOD_MILLIS, Math.min(MAX_PERIOD_MILLIS, shortestMillis / 4));
        table.mTimer.scheduleWithFixedDelay(
                table::check, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
        return table;
    }

    HttpLimits limits() {
        return mLimits;
    }

    private void check() {
        long nowNanos = System.nanoTime();
        for (ClientConnection connection : mConnections) {
            try {
                connection.check(nowNanos);
            } catch (RuntimeException e) {
                // One faulty connection must not end the time limits of all others.
                connection.closeNow();
            }
        }
    }

    void opened(ClientConnection connection) {
        if (mOpen.incrementAndGet() > mLimits.maxConnections()) {
            connection.refuseAll();
        }
        mConnections.add(connection);
    }

    void closed(ClientConnection connection) {
        if (mConnections.remove(connection)) {
            mOpen.decrementAndGet();
        }
    }

    @Override
    public void connected(IOSession session) {
        if (mSessions.incrementAndGet() > mLimits.hardMaxConnections()) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    @Override
    public void disconnected(IOSession session) {
        mSessions.decrementAndGet();
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
