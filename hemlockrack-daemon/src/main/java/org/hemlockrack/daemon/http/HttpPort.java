package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** A listening HTTP/1.1 port. */
public final class HttpPort implements AutoCloseable {
    private final HttpAsyncServer mServer;
    private final ConnectionTable mTable;
    private final InetSocketAddress mAddress;

    private HttpPort(HttpAsyncServer server, ConnectionTable table, InetSocketAddress address) {
        mServer = server;
        mTable = table;
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
        return open(name, address, limits, handler, null);
    }

    /**
     * Opens a port that may use TLS; the other parameters are those of {@link #open(String,
     * InetSocketAddress, HttpLimits, CallHandler)}.
     *
     * @param tls starts TLS on each connection, or null for none
     */
    public static HttpPort open(
            String name,
            InetSocketAddress address,
            HttpLimits limits,
            CallHandler handler,
            @Nullable TlsStrategy tls) {
        ConnectionTable table = ConnectionTable.start(name, limits);
        HttpAsyncServer server = create(table, handler, tls);
        server.start();
        try {
            ListenerEndpoint endpoint = server.listen(address, URIScheme.HTTP).get();
            return new HttpPort(server, table, (InetSocketAddress) endpoint.getAddress());
        } catch (ExecutionException e) {
            closeQuietly(server, table);
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID,
                    String.format("port \"%s\" cannot listen on %s", name, address),
                    e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            closeQuietly(server, table);
            throw HemlockrackException.of(ErrorKind.INTERNAL, "interrupted at start", e);
        }
    }

    private static HttpAsyncServer create(
            ConnectionTable table, CallHandler handler, @Nullable TlsStrategy tls) {
        HttpLimits limits = table.limits();
        IOReactorConfig reactor =
                IOReactorConfig.custom()
                        .setIoThreadCount(limits.ioThreads())
                        .setSoTimeout((int) limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS)
                        .setTcpNoDelay(true)
                        .setSoReuseAddress(true)
                        .setBacklogSize(1_024)
                        .build();
        return new HttpAsyncServer(
                new ServerConnections(handler, table, tls),
                reactor,
                null,
                null,
                table,
                null,
                null,
                null);
    }

    private static void closeQuietly(HttpAsyncServer server, ConnectionTable table) {
        server.close(CloseMode.IMMEDIATE);
        table.close();
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
        closeQuietly(mServer, mTable);
    }
}
