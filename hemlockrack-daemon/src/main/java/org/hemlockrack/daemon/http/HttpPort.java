package org.hemlockrack.daemon.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.hemlockrack.daemon.GracefulShutdown;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.RequestMemory;
import org.jspecify.annotations.Nullable;

/** An HTTP/1.1 server on one listening port. */
public final class HttpPort implements AutoCloseable {
    /**
     * Time without a byte after which an incomplete request is given up first when memory is short.
     * A client that sends loses a packet now and then; TCP sends it again within a second.
     */
    private static final long STALL_MILLIS = 1_000;

    /** The reactor makes a pass at least once a second without being asked to. */
    private static final long MAX_RELEASE_MILLIS = 1_000;

    private final HttpAsyncServer mServer;
    private final ConnectionLimiter mLimiter;
    private final ListenerEndpoint mListener;

    private HttpPort(HttpAsyncServer server, ConnectionLimiter limiter, ListenerEndpoint listener) {
        mServer = server;
        mLimiter = limiter;
        mListener = listener;
    }

    /**
     * Opens a port.
     *
     * @param name name of the port, used in thread names and error messages
     * @param address address to listen on; port 0 selects a free port
     * @param limits limits on connections and requests
     * @param handler handles the requests
     * @return the open port
     * @throws HemlockrackException with {@link ErrorKind#SETTINGS_INVALID} if the address cannot be
     *     bound
     */
    public static HttpPort open(
            String name, InetSocketAddress address, HttpLimits limits, CallHandler handler) {
        return open(name, address, limits, heapShare(), handler, null);
    }

    /**
     * Returns the bytes that requests to all ports of a process may use by default: three eighths
     * of its heap. Another eighth is for answers, and the rest for buffers of connections and the
     * state of the fleet.
     */
    public static long requestHeapBytes() {
        return Runtime.getRuntime().maxMemory() / 8 * 3;
    }

    private static RequestMemory heapShare() {
        return RequestMemory.of(requestHeapBytes(), STALL_MILLIS);
    }

    /**
     * Opens a port, optionally with TLS. The other parameters are those of {@link #open(String,
     * InetSocketAddress, HttpLimits, CallHandler)}.
     *
     * @param memory memory for the requests, which other ports may share
     * @param tls starts TLS on each accepted connection, or null for plain text
     * @return the open port
     */
    public static HttpPort open(
            String name,
            InetSocketAddress address,
            HttpLimits limits,
            RequestMemory memory,
            CallHandler handler,
            @Nullable TlsStrategy tls) {
        ConnectionLimiter limiter = ConnectionLimiter.start(name, limits, memory);
        HttpAsyncServer server = createServer(limiter, handler, tls);
        server.start();
        try {
            ListenerEndpoint endpoint = server.listen(address, URIScheme.HTTP).get();
            return new HttpPort(server, limiter, endpoint);
        } catch (ExecutionException e) {
            closeQuietly(server, limiter);
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID,
                    String.format("port \"%s\" cannot listen on %s", name, address),
                    e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            closeQuietly(server, limiter);
            throw HemlockrackException.of(
                    ErrorKind.INTERNAL, "interrupted while opening a port", e);
        }
    }

    private static HttpAsyncServer createServer(
            ConnectionLimiter limiter, CallHandler handler, @Nullable TlsStrategy tls) {
        HttpLimits limits = limiter.limits();
        IOReactorConfig reactor =
                IOReactorConfig.custom()
                        .setIoThreadCount(limits.ioThreads())
                        .setSoTimeout((int) limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS)
                        .setTcpNoDelay(true)
                        .setSoReuseAddress(true)
                        .setBacklogSize(1_024)
                        .build();
        return new HttpAsyncServer(
                new ServerConnectionFactory(handler, limiter, tls),
                reactor,
                null,
                null,
                limiter,
                null,
                AcceptThrottle.of(limits),
                null);
    }

    private static void closeQuietly(HttpAsyncServer server, ConnectionLimiter limiter) {
        limiter.closeConnections();
        server.close(CloseMode.IMMEDIATE);
        limiter.close();
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.getAddress();
    }

    /**
     * Stops accepting connections. Those that are open are served, and each closes after its next
     * response. New ones are refused once this returns.
     */
    public void stopAccepting() {
        mLimiter.closeAfterNextResponse();
        if (mListener.isClosed()) {
            return;
        }
        mListener.close(CloseMode.IMMEDIATE);
        releaseListeningSocket();
    }

    /**
     * Makes the reactor release the socket of the closed listener. It does so in its next pass,
     * which can be a second later; until then the kernel accepts connections, which are reset then.
     * Opening another listener starts a pass.
     */
    private void releaseListeningSocket() {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try {
            mServer.listen(anyPort, URIScheme.HTTP)
                    .get(MAX_RELEASE_MILLIS, TimeUnit.MILLISECONDS)
                    .close(CloseMode.IMMEDIATE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (CancellationException | ExecutionException | TimeoutException e) {
            // The socket is released by the reactor's next regular pass, or has been by its end.
        }
    }

    /**
     * Closes the connections on which no request arrives or is served, and the others as soon as
     * that holds for them.
     */
    public void closeIdleConnections() {
        mLimiter.closeIdleConnections();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return mLimiter.openConnections();
    }

    /**
     * Returns the number of requests whose head has arrived and whose response has not been sent to
     * its end.
     */
    public int openExchanges() {
        return mLimiter.openExchanges();
    }

    /**
     * Refuses the requests whose bodies have not arrived, because this instance stops.
     *
     * @return their number
     */
    public int refuseIncompleteRequests() {
        return refuseIncompleteRequests(
                head -> true,
                (head, responder) ->
                        responder.sendError(ErrorKind.NOT_READY, ErrorText.INSTANCE_STOPS, 0));
    }

    /**
     * Refuses requests whose bodies have not arrived.
     *
     * @param condition whether to refuse a request, of which it gets no body
     * @param refusal answers the requests to be refused
     * @return their number
     */
    public int refuseIncompleteRequests(Predicate<HttpCall> condition, CallHandler refusal) {
        return mLimiter.refuseIncompleteRequests(condition, refusal);
    }

    /**
     * Waits until clients have taken the responses that are complete, and closes the port. The
     * output of a connection ends with its last response, and its input is read until the client
     * closes it or the deadline has passed; otherwise the close would reset the connection, and the
     * client could lose the end of the response. A response that was aborted ends by a reset.
     *
     * @param deadlineNanos deadline in monotonic time
     * @return number of complete responses that could not be written to their end
     */
    public int finish(long deadlineNanos) {
        stopAccepting();
        closeIdleConnections();
        GracefulShutdown.awaitDrained(this::openConnections, deadlineNanos);
        int untaken = mLimiter.untakenResponses();
        closeNow();
        return untaken;
    }

    /** Closes the port and its connections without waiting for responses. */
    public void closeNow() {
        closeQuietly(mServer, mLimiter);
    }

    @Override
    public void close() {
        mServer.initiateShutdown();
        try {
            mServer.awaitShutdown(TimeValue.ofSeconds(1));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        closeQuietly(mServer, mLimiter);
    }
}
