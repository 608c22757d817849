package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.limits.RequestMemory;
import org.jspecify.annotations.Nullable;

/** Enforces the limits and timeouts of one client connection. Safe for use from any thread. */
final class ClientConnection implements RequestMemory.Holder {
    /**
     * Maximum number of pipelined requests in progress on one connection. Each is handled as soon
     * as it is received, without waiting for earlier ones.
     */
    private static final int MAX_PIPELINED = 16;

    /**
     * Time for which input is discarded after the last response before the connection is closed.
     * Closing immediately would reset the connection, and the client could lose the response.
     */
    private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int SCRATCH_BYTES = 16 << 10;

    /**
     * Memory for each byte of a head: the parser keeps two bytes for each character, and the texts
     * of the fields are a copy of it.
     */
    private static final int HEAD_BYTES_FACTOR = 3;

    /**
     * Memory for each line of a head besides its characters: the buffer of the parser, the field of
     * HttpCore and the field that is passed on, with their texts.
     */
    private static final int LINE_BYTES = 384;

    /** Memory of a request besides its head and body. */
    private static final int REQUEST_BYTES = 2 << 10;

    /** Memory of a connection without a request: its buffers and its session. */
    private static final long CONNECTION_BYTES = 16 << 10;

    /** The same with TLS, which has buffers of its own. */
    private static final long TLS_CONNECTION_BYTES = 96 << 10;

    private final ProtocolIOSession mSession;
    private final ConnectionLimiter mLimiter;
    private final HttpLimits mLimits;
    private final ConcurrentHashMap.KeySetView<ServerExchange, Boolean> mExchanges =
            ConcurrentHashMap.newKeySet();
    private final Object mOrderLock = new Object();
    private final AtomicInteger mOpenExchanges = new AtomicInteger();
    private final Queue<CompletableFuture<Boolean>> mChecks = new ConcurrentLinkedQueue<>();

    private final RequestMemory.Account mAccount;
    private final RequestMemory.Account mResponseAccount;
    private final Object mHeadLock = new Object();

    private final long mOpenedNanos = System.nanoTime();
    private volatile long mLastHeadNanos;
    private long mHeadBytes;
    private long mConnectionBytes;
    private long mResponseBytes;
    private volatile boolean mConnected;
    private volatile boolean mEvicted;
    private volatile boolean mOverLimit;
    private volatile boolean mInHead;
    private volatile long mHeadStartNanos;
    private volatile boolean mLingering;
    private volatile long mLingerUntilNanos;
    private volatile long mMinLingerNanos;
    private volatile long mLastResponseNanos;
    private volatile boolean mHalfClosed;
    private volatile boolean mTruncated;
    private volatile boolean mClosesWhenIdle;
    private boolean mIgnoresRequests;
    private boolean mShutdownRequested;
    private volatile CloseReason mCloseReason = CloseReason.CLIENT;
    private long mDiscardedBytes;
    private volatile @Nullable ServerExchange mLatestExchange;

    ClientConnection(ProtocolIOSession session, ConnectionLimiter limiter) {
        mSession = session;
        mLimiter = limiter;
        mLimits = limiter.limits();
        String peer =
                session.getRemoteAddress() instanceof InetSocketAddress address
                        ? address.getAddress().getHostAddress()
                        : "";
        mAccount = limiter.memory().open(peer, this);
        mResponseAccount = limiter.memory().responses().open(peer, new Responses());
    }

    /** The responses of the connection that the client has not taken. */
    private final class Responses implements RequestMemory.Holder {
        @Override
        public @Nullable Long incompleteSinceNanos() {
            long nowNanos = System.nanoTime();
            Long newestNanos = null;
            for (ServerExchange exchange : mExchanges) {
                Long sinceNanos = exchange.untakenSinceNanos();
                if (sinceNanos != null && (newestNanos == null || sinceNanos - newestNanos > 0)) {
                    newestNanos = sinceNanos;
                }
            }
            // A client that reads is not given up for another one.
            boolean isStalled =
                    newestNanos != null && mLimiter.memory().isStalled(newestNanos, nowNanos);
            return isStalled ? newestNanos : null;
        }

        @Override
        public boolean evict() {
            long bytes;
            synchronized (mHeadLock) {
                bytes = mResponseBytes;
                mResponseBytes = 0;
            }
            mResponseAccount.release(RequestMemory.Kind.RESPONSE, bytes);
            execute(() -> closeNow(CloseReason.EVICTED));
            return bytes > 0;
        }
    }

    /**
     * Reserves memory for a response until the client has taken it.
     *
     * @param bytes length of the response
     * @return false if clients have not taken too many others
     */
    boolean tryReserveResponse(long bytes) {
        if (!mResponseAccount.tryReserve(RequestMemory.Kind.RESPONSE, bytes, System.nanoTime())) {
            return false;
        }
        synchronized (mHeadLock) {
            mResponseBytes += bytes;
        }
        return true;
    }

    void releaseResponse(long bytes) {
        long released;
        synchronized (mHeadLock) {
            // After an eviction there is nothing left to release.
            released = Math.min(bytes, mResponseBytes);
            mResponseBytes -= released;
        }
        mResponseAccount.release(RequestMemory.Kind.RESPONSE, released);
    }

    RequestMemory.Account account() {
        return mAccount;
    }

    /**
     * Reserves memory for the connection itself.
     *
     * @param tls whether it uses TLS
     * @return false if there is no memory for it
     */
    boolean tryReserveConnection(boolean tls) {
        long bytes = tls ? TLS_CONNECTION_BYTES : CONNECTION_BYTES;
        if (!mAccount.tryReserve(RequestMemory.Kind.CONNECTION, bytes, mOpenedNanos)) {
            return false;
        }
        synchronized (mHeadLock) {
            mConnectionBytes = bytes;
        }
        return true;
    }

    private void releaseConnection() {
        long bytes;
        synchronized (mHeadLock) {
            bytes = mConnectionBytes;
            mConnectionBytes = 0;
        }
        mAccount.release(RequestMemory.Kind.CONNECTION, bytes);
    }

    /** Called on the connection's I/O thread when it can be used, with TLS after the handshake. */
    void connected() {
        mConnected = true;
    }

    boolean wasConnected() {
        return mConnected;
    }

    /** Runs an action that must not run under the locks of another connection. */
    void execute(Runnable action) {
        mLimiter.execute(action);
    }

    /**
     * Reserves memory for what has arrived of a head. Called on the connection's I/O thread.
     *
     * @param bytes length so far
     * @param lines number of complete lines so far
     * @return false if there is no memory for it
     */
    boolean tryReserveHead(long bytes, int lines) {
        if (bytes == 0) {
            return true;
        }
        mLastHeadNanos = System.nanoTime();
        long missingBytes;
        synchronized (mHeadLock) {
            missingBytes =
                    REQUEST_BYTES
                            + bytes * HEAD_BYTES_FACTOR
                            + (long) lines * LINE_BYTES
                            - mHeadBytes;
        }
        if (missingBytes <= 0) {
            return true;
        }
        // No lock is held: the reservation may evict other connections.
        if (!mAccount.tryReserve(RequestMemory.Kind.HEAD, missingBytes, mLastHeadNanos)) {
            return false;
        }
        synchronized (mHeadLock) {
            if (!mEvicted) {
                mHeadBytes += missingBytes;
                return true;
            }
        }
        releaseHeadBytes(missingBytes);
        return false;
    }

    /** Returns the memory of trailers to the budget once the body has arrived. */
    void releaseTrailers() {
        releaseHeadBytes(takeHeadBytes());
    }

    /** Returns the reserved bytes of the head that has arrived; the exchange releases them. */
    long takeHeadBytes() {
        synchronized (mHeadLock) {
            long bytes = mHeadBytes;
            mHeadBytes = 0;
            return bytes;
        }
    }

    void releaseHeadBytes(long bytes) {
        mAccount.release(RequestMemory.Kind.HEAD, bytes);
    }

    @Override
    public @Nullable Long incompleteSinceNanos() {
        for (ServerExchange exchange : mExchanges) {
            Long sinceNanos = exchange.incompleteSinceNanos();
            if (sinceNanos != null) {
                return sinceNanos;
            }
        }
        return mInHead && mExchanges.isEmpty() ? mLastHeadNanos : null;
    }

    /** Returns since when nothing has arrived that is needed to go on, or null. */
    @Nullable Long stalledSinceNanos() {
        Long sinceNanos = incompleteSinceNanos();
        return sinceNanos == null ? idleSinceNanos() : sinceNanos;
    }

    @Override
    public @Nullable Long idleSinceNanos() {
        if (mHalfClosed) {
            return mLastResponseNanos;
        }
        if (mInHead || mLingering || mEvicted || hasOpenExchanges()) {
            return null;
        }
        return mLastResponseNanos == 0 ? mOpenedNanos : mLastResponseNanos;
    }

    @Override
    public boolean evict() {
        for (ServerExchange exchange : mExchanges) {
            if (exchange.evict()) {
                return true;
            }
        }
        if (!mExchanges.isEmpty() && !mHalfClosed) {
            return false;
        }
        synchronized (mHeadLock) {
            if (mEvicted) {
                return false;
            }
            mEvicted = true;
        }
        releaseHeadBytes(takeHeadBytes());
        if (mInHead || mHalfClosed || !mConnected) {
            execute(() -> closeNow(CloseReason.EVICTED));
        } else {
            // A request that arrives now is refused.
            execute(this::closeWhenIdle);
        }
        return true;
    }

    /** Called on the connection's I/O thread when the connection has ended. */
    void disconnected() {
        releaseHeadBytes(takeHeadBytes());
        releaseConnection();
        mAccount.close();
        releaseResponse(Long.MAX_VALUE);
        mResponseAccount.close();
    }

    HttpLimits limits() {
        return mLimits;
    }

    /**
     * Returns whether the connection closes after the response to an exchange. It does so after the
     * last one only, as requests that were handled before would get no response; later ones are
     * ignored.
     */
    boolean closesAfter(ServerExchange exchange) {
        if (!mLimiter.closesAfterResponse()) {
            return false;
        }
        synchronized (mOrderLock) {
            boolean isLatest = exchange == mLatestExchange;
            mIgnoresRequests |= isLatest;
            return isLatest;
        }
    }

    int openExchanges() {
        return mOpenExchanges.get();
    }

    /** Refuses requests whose bodies have not arrived; returns their number. */
    int refuseIncompleteRequests(Predicate<HttpCall> condition, CallHandler refusal) {
        int refused = 0;
        for (ServerExchange exchange : mExchanges) {
            refused += exchange.refuseIfIncomplete(condition, refusal) ? 1 : 0;
        }
        return refused;
    }

    /** Closes the connection once no request is in progress. */
    void closeWhenIdle() {
        mClosesWhenIdle = true;
        closeIfIdle();
    }

    private void closeIfIdle() {
        synchronized (mOrderLock) {
            if (!mClosesWhenIdle || mShutdownRequested || mOpenExchanges.get() > 0) {
                return;
            }
            mShutdownRequested = true;
        }
        mSession.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
    }

    /** Refuses all requests of this connection, because too many connections are open. */
    void refuseAllRequests() {
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

    /** Returns an error message if the connection exceeds a limit, or null. */
    @Nullable String findExceededLimit() {
        if (mOverLimit) {
            return String.format(ErrorText.HTTP_TOO_MANY_CONNECTIONS, mLimits.maxConnections());
        }
        if (mOpenExchanges.get() >= MAX_PIPELINED) {
            return String.format(ErrorText.HTTP_TOO_MANY_PIPELINED, MAX_PIPELINED);
        }
        return null;
    }

    /** Returns whether the response to any request is not complete. */
    boolean hasOpenExchanges() {
        return mOpenExchanges.get() > 0;
    }

    /** Adds an exchange; returns false if its request has to be ignored. */
    boolean exchangeStarted(ServerExchange exchange) {
        synchronized (mOrderLock) {
            if (mIgnoresRequests) {
                return false;
            }
            mLatestExchange = exchange;
            mOpenExchanges.incrementAndGet();
            // HttpCore completes one response after its shutdown was requested, and no more.
            mIgnoresRequests = mShutdownRequested;
        }
        mExchanges.add(exchange);
        return true;
    }

    void exchangeReleased(ServerExchange exchange) {
        mLastResponseNanos = System.nanoTime();
        mTruncated |= exchange.isTruncated();
        if (mExchanges.remove(exchange)) {
            mOpenExchanges.decrementAndGet();
            closeIfIdle();
        }
    }

    /**
     * Checks whether the client is still connected, once the connection's I/O thread has seen all
     * input that had arrived before this call.
     */
    CompletableFuture<Boolean> checkConnected() {
        CompletableFuture<Boolean> check = new CompletableFuture<>();
        mChecks.add(check);
        // The I/O thread is called when the connection accepts output.
        mSession.setEvent(SelectionKey.OP_WRITE);
        if (!mSession.isOpen()) {
            takeChecks().forEach(each -> each.complete(false));
        }
        return check;
    }

    boolean hasChecks() {
        return !mChecks.isEmpty();
    }

    /** Returns the checks that were requested and removes them. */
    List<CompletableFuture<Boolean>> takeChecks() {
        List<CompletableFuture<Boolean>> checks = new ArrayList<>();
        CompletableFuture<Boolean> check = mChecks.poll();
        while (check != null) {
            checks.add(check);
            check = mChecks.poll();
        }
        return checks;
    }

    /** Refuses the request whose body is being received. */
    void refuseMalformedBody(String message) {
        ServerExchange exchange = mLatestExchange;
        if (exchange != null) {
            exchange.refuseBody(ErrorKind.BAD_REQUEST, message);
        }
    }

    /** Refuses the request whose body is being received, because memory is short. */
    void refuseBodyForMemory() {
        ServerExchange exchange = mLatestExchange;
        if (exchange != null) {
            exchange.refuseForMemory();
        }
    }

    /**
     * Closes the connection after a response whose request has not arrived to its end: once the
     * response is written, the output ends, and input is discarded while the client may still send
     * the rest of the body.
     *
     * @param endNanos monotonic time until which the rest of the body may arrive
     */
    void closeAfterRefusal(long endNanos) {
        lingerUntil(endNanos);
    }

    /** Closes the connection once the last response is written. */
    void closeAfterLastResponse() {
        lingerUntil(System.nanoTime());
    }

    private void lingerUntil(long untilNanos) {
        mLastResponseNanos = System.nanoTime();
        mLingerUntilNanos = untilNanos;
        mLingering = true;
        mSession.setEvent(SelectionKey.OP_WRITE);
    }

    /** Called on the connection's I/O thread when nothing is left to write. */
    void onOutputWritten() {
        if (mLingering && !mHalfClosed && mOpenExchanges.get() <= 1) {
            halfClose();
        }
    }

    /**
     * Closes the connection so that the client can read all responses. After one that is not
     * complete the connection is reset, because its end could be taken for that of the response.
     */
    void closeGracefully() {
        if (mTruncated || mExchanges.stream().anyMatch(ServerExchange::isTruncated)) {
            mSession.close(CloseMode.IMMEDIATE);
            return;
        }
        long nowNanos = System.nanoTime();
        boolean hasResponded =
                mLastResponseNanos != 0 && nowNanos - mLastResponseNanos < LINGER_NANOS;
        if (!hasResponded) {
            mSession.close(CloseMode.GRACEFUL);
            return;
        }
        if (!mLingering) {
            closeAfterLastResponse();
        }
        halfClose();
    }

    /** Ends the output and discards the input from now on. */
    private void halfClose() {
        if (mSession.getTlsDetails() != null
                || !(mSession.channel() instanceof SocketChannel channel)) {
            // The end of a TLS connection needs a message of its own.
            if (!hasOpenExchanges()) {
                mSession.close(CloseMode.GRACEFUL);
            }
            return;
        }
        try {
            channel.shutdownOutput();
            mMinLingerNanos = System.nanoTime() + LINGER_NANOS;
            if (mMinLingerNanos - mLingerUntilNanos > 0) {
                mLingerUntilNanos = mMinLingerNanos;
            }
            mHalfClosed = true;
            mSession.setEventMask(SelectionKey.OP_READ);
        } catch (IOException e) {
            mSession.close(CloseMode.GRACEFUL);
        }
    }

    /** Returns whether all responses are written and the output has ended. */
    boolean isHalfClosed() {
        return mHalfClosed;
    }

    /** Reads and discards the input that has arrived; closes the connection at its end. */
    void discardInput() throws IOException {
        ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);
        int count = mSession.read(scratch);
        if (count < 0) {
            mSession.close(CloseMode.GRACEFUL);
            return;
        }
        mDiscardedBytes += count;
        if (mDiscardedBytes > mLimits.maxBodyBytes()) {
            mLingerUntilNanos = mMinLingerNanos;
        }
    }

    /** Enforces all timeouts that have passed at the given time. */
    void enforceTimeouts(long nowNanos) {
        if (mHalfClosed) {
            if (nowNanos - mLingerUntilNanos >= 0) {
                mSession.close(CloseMode.GRACEFUL);
            }
            return;
        }
        if (mLingering && mOpenExchanges.get() <= 1) {
            long writeNanos = TimeUnit.MILLISECONDS.toNanos(mLimits.writeTimeoutMillis());
            if (nowNanos - mLastResponseNanos >= Math.max(writeNanos, LINGER_NANOS)) {
                closeNow(CloseReason.WRITE_TIMEOUT);
                return;
            }
        }
        for (ServerExchange exchange : mExchanges) {
            exchange.enforceTimeouts(nowNanos);
        }
        long headNanos = TimeUnit.MILLISECONDS.toNanos(mLimits.headTimeoutMillis());
        if (mInHead && mExchanges.isEmpty() && nowNanos - mHeadStartNanos >= headNanos) {
            sendHeadTimeout();
        }
    }

    /**
     * Refuses an incomplete request head and closes the connection. No exchange exists for it, so
     * the response is written directly to the session.
     */
    private void sendHeadTimeout() {
        mInHead = false;
        String json =
                Responder.errorJson(
                                ErrorKind.REQUEST_TIMEOUT,
                                ErrorKind.REQUEST_TIMEOUT.runState(),
                                String.format(ErrorText.HEAD_TIMEOUT, mLimits.headTimeoutMillis()),
                                0)
                        .toString();
        String response =
                "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n"
                        + "Connection: close\r\nContent-Length: "
                        + json.length()
                        + "\r\n\r\n"
                        + json;
        try {
            mSession.write(ByteBuffer.wrap(response.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException ignored) {
            // The client has disconnected; the session is closed below.
        }
        mLastResponseNanos = System.nanoTime();
        closeGracefully();
    }

    /** Returns the number of complete responses that are not written to their end. */
    int untakenResponses() {
        return mHalfClosed
                ? 0
                : (int) mExchanges.stream().filter(ServerExchange::isEndedUnsent).count();
    }

    /** Closes the connection; resets it if a response is not written to its end. */
    void closeAtEnd() {
        if (mHalfClosed) {
            mSession.close(CloseMode.GRACEFUL);
            return;
        }
        closeNow(CloseReason.PORT_CLOSED);
    }

    /** Resets the connection. */
    void closeNow(CloseReason reason) {
        if (mCloseReason == CloseReason.CLIENT) {
            mCloseReason = reason;
        }
        mSession.close(CloseMode.IMMEDIATE);
    }

    /** Returns why the connection was closed before its responses were complete. */
    CloseReason closeReason() {
        return mCloseReason;
    }
}
