package org.hemlockrack.daemon.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.ssl.BasicClientTlsStrategy;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.pool.StrictConnPool;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** A pooling HTTP/1.1 client. Safe for use from any thread. */
public final class HttpClient implements AutoCloseable {
    /**
     * Time to live of a pooled connection. It is shorter than the idle timeouts that servers
     * commonly have, so that a connection is rarely closed by the server while a request is being
     * sent.
     */
    private static final int CONNECTION_TTL_SECONDS = 10;

    /**
     * Size of a connection's read buffer and of its parse buffer. HttpCore stops reading only after
     * it has delivered what both hold, so both sizes are subtracted from the window.
     */
    private static final int BUFFER_BYTES = 8 << 10;

    private static final int MAX_CONNECTIONS_PER_TARGET = 10_000;

    private static final int MAX_HEADER_COUNT = 200;
    private static final int MAX_HEADER_LINE_BYTES = 16 << 10;

    private final HttpAsyncRequester mRequester;
    private final SessionRegistry mSessions;
    private final Executor mConnectTimer;
    private final Timeout mIdleTimeout;
    private final boolean mReuseConnections;
    private final URIScheme mScheme;

    private HttpClient(
            HttpAsyncRequester requester,
            SessionRegistry sessions,
            long connectTimeoutMillis,
            Timeout idleTimeout,
            boolean reuse,
            URIScheme scheme) {
        mScheme = scheme;
        mRequester = requester;
        mSessions = sessions;
        mConnectTimer =
                CompletableFuture.delayedExecutor(connectTimeoutMillis, TimeUnit.MILLISECONDS);
        mIdleTimeout = idleTimeout;
        mReuseConnections = reuse;
    }

    /**
     * Opens a client.
     *
     * @param ioThreads threads of the reactor
     * @param connectTimeoutMillis timeout for opening a connection and for its TLS handshake
     * @param idleTimeoutMillis timeout for a connection in use on which no byte is transferred
     * @param reuse whether connections are kept open and reused; a server may close a reused
     *     connection while a request is being sent, which leaves the outcome unknown
     * @return the client
     */
    public static HttpClient open(
            int ioThreads, long connectTimeoutMillis, long idleTimeoutMillis, boolean reuse) {
        return open(ioThreads, connectTimeoutMillis, idleTimeoutMillis, reuse, null);
    }

    /**
     * Opens a client whose calls start with {@link UpstreamCall#NARROW_WINDOW_BYTES}. The
     * parameters are those of {@link #open(int, long, long, boolean)}.
     *
     * @return the client
     */
    public static HttpClient openWithNarrowWindow(
            int ioThreads, long connectTimeoutMillis, long idleTimeoutMillis, boolean reuse) {
        return open(
                ioThreads,
                connectTimeoutMillis,
                idleTimeoutMillis,
                reuse,
                UpstreamCall.NARROW_WINDOW_BYTES,
                true,
                null);
    }

    /**
     * Opens a client that sends the body of a request without "Expect: 100-continue", for servers
     * that never ask for it. Connections are not reused. The parameters are those of {@link
     * #open(int, long, long, boolean)}.
     *
     * @return the client
     */
    public static HttpClient openWithoutExpect(
            int ioThreads, long connectTimeoutMillis, long idleTimeoutMillis) {
        return open(
                ioThreads,
                connectTimeoutMillis,
                idleTimeoutMillis,
                false,
                UpstreamCall.WINDOW_BYTES,
                false,
                null);
    }

    /**
     * Opens a client, optionally with TLS. The other parameters are those of {@link #open(int,
     * long, long, boolean)}.
     *
     * @param tls starts TLS on each connection, or null for plain text
     * @return the client
     */
    public static HttpClient open(
            int ioThreads,
            long connectTimeoutMillis,
            long idleTimeoutMillis,
            boolean reuse,
            @Nullable TlsStrategy tls) {
        return open(
                ioThreads,
                connectTimeoutMillis,
                idleTimeoutMillis,
                reuse,
                UpstreamCall.WINDOW_BYTES,
                true,
                tls);
    }

    private static HttpClient open(
            int ioThreads,
            long connectTimeoutMillis,
            long idleTimeoutMillis,
            boolean reuse,
            int windowBytes,
            boolean expectsContinue,
            @Nullable TlsStrategy tls) {
        IOReactorConfig reactor =
                IOReactorConfig.custom()
                        .setIoThreadCount(ioThreads)
                        .setSoTimeout((int) idleTimeoutMillis, TimeUnit.MILLISECONDS)
                        .setTcpNoDelay(true)
                        .build();
        SessionRegistry sessions = SessionRegistry.create();
        Http1Config config =
                Http1Config.custom()
                        .setMaxHeaderCount(MAX_HEADER_COUNT)
                        .setMaxLineLength(MAX_HEADER_LINE_BYTES)
                        .setBufferSize(BUFFER_BYTES)
                        .setInitialWindowSize(windowBytes - 2 * BUFFER_BYTES)
                        .build();
        TlsStrategy tlsStrategy = tls == null ? new BasicClientTlsStrategy() : tls;
        Timeout handshakeTimeout = Timeout.ofMilliseconds(connectTimeoutMillis);
        HttpAsyncRequester requester =
                new HttpAsyncRequester(
                        reactor,
                        ClientConnectionFactory.of(
                                config, tlsStrategy, handshakeTimeout, sessions, expectsContinue),
                        PausableSession::new,
                        null,
                        sessions,
                        new StrictConnPool<>(
                                MAX_CONNECTIONS_PER_TARGET,
                                MAX_CONNECTIONS_PER_TARGET,
                                Timeout.ofSeconds(CONNECTION_TTL_SECONDS),
                                PoolReusePolicy.LIFO,
                                null),
                        tlsStrategy,
                        handshakeTimeout,
                        null,
                        null);
        requester.start();
        return new HttpClient(
                requester,
                sessions,
                connectTimeoutMillis,
                Timeout.ofMilliseconds(idleTimeoutMillis),
                reuse,
                tls == null ? URIScheme.HTTP : URIScheme.HTTPS);
    }

    /**
     * Starts to send a request and returns without waiting.
     *
     * @param target host and port, such as {@code 127.0.0.1:8080}
     * @param method HTTP method
     * @param path path with query
     * @param headers header fields; hop-by-hop fields are dropped
     * @param body the body, empty for none
     * @param listener receives the response or the failure
     * @return the call, for flow control and cancellation
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if the target has no port
     */
    public UpstreamCall send(
            String target,
            String method,
            String path,
            List<HeaderField> headers,
            byte[] body,
            UpstreamListener listener) {
        HttpHost host = parseTarget(target);
        BasicHttpRequest request = new BasicHttpRequest(method, host, path);
        for (HeaderField field : headers) {
            if (!field.isHopByHop()) {
                request.addHeader(field.name(), field.value());
            }
        }
        if (!mReuseConnections) {
            request.addHeader("Connection", "close");
        }
        UpstreamCall call = new UpstreamCall(request, body, listener, mSessions);
        // HttpAsyncRequester.execute would request the message before it connects, so a refused
        // connection would count as sent, and a lease checked in beforeSend could expire before the
        // request is written. The timeout passed to connect remains the socket timeout of the
        // connection, so it must be the idle timeout; the connect timeout has a timer of its own.
        var connecting = mRequester.connect(host, mIdleTimeout, null, call.connectCallback());
        if (!connecting.isDone()) {
            mConnectTimer.execute(call::failIfNotConnected);
        }
        return call;
    }

    private HttpHost parseTarget(String target) {
        int colon = target.lastIndexOf(':');
        if (colon < 0) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, String.format("address \"%s\" has no port", target));
        }
        int port = Integer.parseInt(target.substring(colon + 1));
        return new HttpHost(mScheme.id, target.substring(0, colon), port);
    }

    @Override
    public void close() {
        mRequester.initiateShutdown();
        try {
            mRequester.awaitShutdown(TimeValue.ofMilliseconds(200));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mRequester.close(CloseMode.IMMEDIATE);
    }
}
