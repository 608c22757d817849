package org.hemlockrack.daemon.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** Sends requests to other servers. Safe for use from any thread. */
public final class HttpClient implements AutoCloseable {
    /** Pooled connections idle for longer are not reused; servers commonly close after more. */
    private static final int MAX_IDLE_SECONDS = 10;

    /**
     * Size of a connection's read and parse buffers. HttpCore closes the window after it has passed
     * on what they hold, so both are kept back from the window.
     */
    private static final int BUFFER_BYTES = 8 << 10;

    private static final int MAX_CONNECTIONS_PER_TARGET = 10_000;

    private final HttpAsyncRequester mRequester;
    private final SessionRegistry mSessions;
    private final Executor mConnectTimer;
    private final Timeout mIdleTimeout;
    private final boolean mReuse;
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
        mReuse = reuse;
    }

    /**
     * Opens a client.
     *
     * @param ioThreads threads of the reactor
     * @param connectTimeoutMillis longest time to open a connection
     * @param idleTimeoutMillis longest time without any byte on a connection in use
     * @param reuse whether connections are kept for later requests; a server may close a kept
     *     connection while a request is on its way, which leaves the outcome unknown
     * @return the client
     */
    public static HttpClient open(
            int ioThreads, long connectTimeoutMillis, long idleTimeoutMillis, boolean reuse) {
        return open(ioThreads, connectTimeoutMillis, idleTimeoutMillis, reuse, null);
    }

    /**
     * Opens a client that may use TLS; the other parameters are those of {@link #open(int, long,
     * long, boolean)}.
     *
     * @param tls starts TLS on each connection, or null for none
     */
    public static HttpClient open(
            int ioThreads,
            long connectTimeoutMillis,
            long idleTimeoutMillis,
            boolean reuse,
            @Nullable TlsStrategy tls) {
        IOReactorConfig reactor =
                IOReactorConfig.custom()
                        .setIoThreadCount(ioThreads)
                        .setSoTimeout((int) idleTimeoutMillis, TimeUnit.MILLISECONDS)
                        .setTcpNoDelay(true)
                        .build();
        SessionRegistry sessions = SessionRegistry.create();
        HttpAsyncRequester requester =
                AsyncRequesterBootstrap.bootstrap()
                        .setIOReactorConfig(reactor)
                        .setTlsStrategy(tls)
                        .setTlsHandshakeTimeout(Timeout.ofMilliseconds(connectTimeoutMillis))
                        .setIOSessionDecorator(PausableSession::new)
                        .setIOSessionListener(sessions)
                        .setHttp1Config(
                                Http1Config.custom()
                                        .setMaxHeaderCount(200)
                                        .setBufferSize(BUFFER_BYTES)
                                        .setInitialWindowSize(
                                                UpstreamCall.WINDOW_BYTES - 2 * BUFFER_BYTES)
                                        .build())
                        .setDefaultMaxPerRoute(MAX_CONNECTIONS_PER_TARGET)
                        .setMaxTotal(MAX_CONNECTIONS_PER_TARGET)
                        .setTimeToLive(Timeout.ofSeconds(MAX_IDLE_SECONDS))
                        .create();
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
     * Sends a request.
     *
     * @param target host and port, such as {@code 127.0.0.1:8080}
     * @param method method
     * @param path path with query
     * @param headers header fields; hop-by-hop fields are dropped
     * @param body the body, empty for none
     * @param listener follows the exchange
     * @return the call, for back-pressure and cancellation
     */
    public UpstreamCall send(
            String target,
            String method,
            String path,
            List<HeaderField> headers,
            byte[] body,
            UpstreamListener listener) {
        HttpHost host = parse(target);
        BasicHttpRequest request = new BasicHttpRequest(method, host, path);
        for (HeaderField field : headers) {
            if (!field.isHopByHop()) {
                request.addHeader(field.name(), field.value());
            }
        }
        if (!mReuse) {
            request.addHeader("Connection", "close");
        }
        UpstreamCall call = new UpstreamCall(request, body, listener, mSessions);
        // HttpAsyncRequester.execute asks for the request before it connects, so a refused
        // connection would count as sent and a lease could end between the check and the send.
        // The timeout given to connect stays that of the socket, so it must be the idle timeout.
        var connecting = mRequester.connect(host, mIdleTimeout, null, call.whenConnected());
        if (!connecting.isDone()) {
            mConnectTimer.execute(call::connectTimedOut);
        }
        return call;
    }

    private HttpHost parse(String target) {
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
