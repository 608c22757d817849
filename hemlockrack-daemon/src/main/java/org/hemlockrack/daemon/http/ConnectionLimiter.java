package org.hemlockrack.daemon.http;

import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/** Closes connections over the limit at once, so that they cost no memory beyond the socket. */
final class ConnectionLimiter implements IOSessionListener {
    private final int mMaxConnections;
    private final AtomicInteger mOpenConnections = new AtomicInteger();

    private ConnectionLimiter(int maxConnections) {
        mMaxConnections = maxConnections;
    }

    static ConnectionLimiter of(HttpLimits limits) {
        return new ConnectionLimiter(limits.maxConnections());
    }

    @Override
    public void connected(IOSession session) {
        if (mOpenConnections.incrementAndGet() > mMaxConnections) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    @Override
    public void disconnected(IOSession session) {
        mOpenConnections.decrementAndGet();
    }

    @Override
    public void startTls(IOSession session) {}

    @Override
    public void inputReady(IOSession session) {}

    @Override
    public void outputReady(IOSession session) {}

    @Override
    public void timeout(IOSession session) {}

    @Override
    public void exception(IOSession session, Exception cause) {}
}
