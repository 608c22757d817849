package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.jspecify.annotations.Nullable;

/** Time limits of one client connection. Safe for use from any thread. */
final class ClientConnection {
    /** Requests of one connection that may be open at once; each runs as soon as it is read. */
    private static final int MAX_PIPELINED = 16;

    /**
     * After a refusal, input is discarded for this long; closing at once would reset the connection
     * and could take the refusal from the client.
     */
    private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final IOSession mSession;
    private final HttpLimits mLimits;
    private final ConcurrentHashMap.KeySetView<ServerExchange, Boolean> mExchanges =
            ConcurrentHashMap.newKeySet();
    private final AtomicInteger mOpenExchanges = new AtomicInteger();

    private volatile boolean mOverLimit;
    private volatile boolean mInHead;
    private volatile long mHeadStartNanos;
    private volatile boolean mLingering;
    private volatile long mLingerUntilNanos;
    private volatile @Nullable ServerExchange mReading;

    ClientConnection(IOSession session, HttpLimits limits) {
        mSession = session;
        mLimits = limits;
    }

    HttpLimits limits() {
        return mLimits;
    }

    void refuseAll() {
        mOverLimit = true;
    }

    void headStarted() {
        if (!mInHead) {
            mHeadStartNanos = System.nanoTime();
            mInHead = true;
        }
    }

    void headComplete() {
        mInHead = false;
    }

    /** Returns why the connection may not send another request, or null. */
    @Nullable String excess() {
        if (mOverLimit) {
            return String.format(ErrorText.HTTP_TOO_MANY_CONNECTIONS, mLimits.maxConnections());
        }
        if (mOpenExchanges.get() >= MAX_PIPELINED) {
            return String.format(ErrorText.HTTP_TOO_MANY_PIPELINED, MAX_PIPELINED);
        }
        return null;
    }

    void opened(ServerExchange exchange) {
        mOpenExchanges.incrementAndGet();
        mExchanges.add(exchange);
        mReading = exchange;
    }

    void closed(ServerExchange exchange) {
        if (mExchanges.remove(exchange)) {
            mOpenExchanges.decrementAndGet();
        }
    }

    /** Refuses the request whose body is malformed. */
    void bodyFault(String message) {
        ServerExchange exchange = mReading;
        if (exchange != null) {
            exchange.refuseBody(ErrorKind.BAD_REQUEST, message);
        }
    }

    /** Closes the connection soon, though the client still sends. */
    void linger() {
        mLingerUntilNanos = System.nanoTime() + LINGER_NANOS;
        mLingering = true;
    }

    /** Acts on limits that have passed. */
    void check(long nowNanos) {
        if (mLingering && nowNanos - mLingerUntilNanos >= 0) {
            mSession.close(CloseMode.IMMEDIATE);
            return;
        }
        for (ServerExchange exchange : mExchanges) {
            exchange.check(nowNanos);
        }
        long headNanos = TimeUnit.MILLISECONDS.toNanos(mLimits.headTimeoutMillis());
        if (mInHead && mExchanges.isEmpty() && nowNanos - mHeadStartNanos >= headNanos) {
            refuseHead();
        }
    }

    /** No exchange exists for an incomplete head, so the refusal is written to the session. */
    private void refuseHead() {
        mInHead = false;
        String json =
                Responder.errorJson(
                                ErrorKind.REQUEST_TIMEOUT,
                                ErrorKind.REQUEST_TIMEOUT.runState(),
                                String.format(ErrorText.HEAD_TIMEOUT, mLimits.headTimeoutMillis()),
                                0)
                        .toString();
        String answer =
                "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n"
                        + "Connection: close\r\nContent-Length: "
                        + json.length()
                        + "\r\n\r\n"
                        + json;
        try {
            mSession.write(ByteBuffer.wrap(answer.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException ignored) {
            // The client has gone; the session is closed below.
        }
        mSession.close(CloseMode.GRACEFUL);
    }

    void closeNow() {
        mSession.close(CloseMode.IMMEDIATE);
    }
}
