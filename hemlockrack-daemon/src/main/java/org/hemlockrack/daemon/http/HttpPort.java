package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.AsyncServerBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/** A listening HTTP/1.1 port. */
public final class HttpPort implements AutoCloseable {
    private final HttpAsyncServer mServer;
    private final InetSocketAddress mAddress;

    private HttpPort(HttpAsyncServer server, InetSocketAddress address) {
        mServer = server;
        mAddress = address;
    }

    /**
     * Opens a port.
     *
     * @param name name of the port for thread names
     * @param address address to listen on; port 0 takes a free port
     * @param limits bounds on what a client can use
     * @param handler answers the requests
     * @return the open port
     * @throws HemlockrackException with {@link ErrorKind#SETTINGS_INVALID} if the address cannot be
     *     bound
     */
    public static HttpPort open(
            String name, InetSocketAddress address, HttpLimits limits, CallHandler handler) {
        HttpAsyncServer server = bootstrap(limits, handler);
        server.start();
        try {
            ListenerEndpoint endpoint = server.listen(address, URIScheme.HTTP).get();
            return new HttpPort(server, (InetSocketAddress) endpoint.getAddress());
        } catch (ExecutionException e) {
            server.close(CloseMode.IMMEDIATE);
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID,
                    String.format("port \"%s\" cannot listen on %s", name, address),
                    e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            server.close(CloseMode.IMMEDIATE);
            throw HemlockrackException.of(ErrorKind.INTERNAL, "interrupted at start", e);
        }
    }

    private static HttpAsyncServer bootstrap(HttpLimits limits, CallHandler handler) {
        IOReactorConfig reactor =
                IOReactorConfig.custom()
                        .setIoThreadCount(limits.ioThreads())
                        .setSoTimeout((int) limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS)
                        .setTcpNoDelay(true)
                        .setSoReuseAddress(true)
                        .setBacklogSize(1_024)
                        .build();
        Http1Config http =
                Http1Config.custom()
                        .setMaxHeaderCount(limits.maxHeaderCount())
                        .setMaxLineLength(limits.maxHeaderLineBytes())
                        .build();
        ConnectionLimiter limiter = ConnectionLimiter.of(limits);
        return AsyncServerBootstrap.bootstrap()
                .setIOReactorConfig(reactor)
                .setHttp1Config(http)
                .setIOSessionListener(limiter)
                .setRequestRouter(
                        (request, context) ->
                                () -> new ServerExchange(handler, limits.maxBodyBytes()))
                .create();
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return mAddress;
    }

    /** Stops accepting connections; open exchanges go on. */
    public void stopAccepting() throws IOException {
        mServer.initiateShutdown();
    }

    @Override
    public void close() {
        mServer.initiateShutdown();
        try {
            mServer.awaitShutdown(TimeValue.ofSeconds(1));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mServer.close(CloseMode.IMMEDIATE);
    }
}
