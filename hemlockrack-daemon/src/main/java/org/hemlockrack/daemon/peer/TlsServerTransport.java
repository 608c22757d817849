package org.hemlockrack.daemon.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.transport.TServerTransport;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.hemlockrack.daemon.tls.TlsKeys;

/** A Thrift server transport with TLS. Clients must present a trusted certificate. */
final class TlsServerTransport extends TServerTransport {
    private static final int BACKLOG = 128;

    /** Read timeout during the handshake. */
    private static final int HANDSHAKE_TIMEOUT_MILLIS = 5_000;

    /**
     * Read timeout after the handshake. In a large fleet a peer may send nothing for a long time,
     * but a dead one must not occupy its thread forever.
     */
    private static final int IDLE_TIMEOUT_MILLIS = 600_000;

    /** An accepted connection. */
    final class Connection extends TSocket {
        private final Socket mPlain;
        private volatile long mLastFrameNanos = System.nanoTime();

        private Connection(SSLSocket socket, Socket plain) throws TTransportException {
            super(socket);
            mPlain = plain;
        }

        /** Called when a frame has arrived. */
        void onFrame() {
            mLastFrameNanos = System.nanoTime();
        }

        @Override
        public void close() {
            mConnections.remove(this);
            super.close();
        }

        /**
         * Ends the connection while another thread uses it. The close of the TLS socket could wait
         * for that thread.
         */
        void reset() {
            mConnections.remove(this);
            try {
                mPlain.close();
            } catch (IOException ignored) {
                // The socket is not used any more.
            }
        }
    }

    private final ServerSocket mServerSocket;
    private final TlsKeys mKeys;
    private final int mMaxConnections;
    private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();

    private TlsServerTransport(ServerSocket server, TlsKeys keys, int maxConnections) {
        mServerSocket = server;
        mKeys = keys;
        mMaxConnections = maxConnections;
    }

    static TlsServerTransport open(InetSocketAddress address, TlsKeys keys, int maxConnections)
            throws TTransportException {
        try {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(address, BACKLOG);
            return new TlsServerTransport(server, keys, maxConnections);
        } catch (IOException e) {
            throw new TTransportException(e);
        }
    }

    int port() {
        return mServerSocket.getLocalPort();
    }

    @Override
    public void listen() {}

    /**
     * Accepts a connection without running its handshake. The handshake runs on the worker thread
     * that first reads from the connection, so it does not delay other connections. Above the limit
     * the connection whose last frame is the oldest ends, so that a crowd locks nobody out.
     */
    @Override
    public TSocket accept() throws TTransportException {
        try {
            Socket plain = mServerSocket.accept();
            if (mConnections.size() >= mMaxConnections) {
                resetLongestSilent();
            }
            try {
                Connection connection = new Connection(wrapInTls(plain), plain);
                mConnections.add(connection);
                return connection;
            } catch (IOException | TTransportException e) {
                plain.close();
                throw new TTransportException(e);
            }
        } catch (IOException e) {
            throw new TTransportException(e);
        }
    }

    private void resetLongestSilent() {
        long nowNanos = System.nanoTime();
        mConnections.stream()
                .min(Comparator.comparingLong(each -> each.mLastFrameNanos - nowNanos))
                .ifPresent(Connection::reset);
    }

    private SSLSocket wrapInTls(Socket plain) throws IOException {
        SSLSocket socket =
                (SSLSocket)
                        mKeys.currentContext()
                                .getSocketFactory()
                                .createSocket(
                                        plain,
                                        plain.getInetAddress().getHostAddress(),
                                        plain.getPort(),
                                        true);
        socket.setUseClientMode(false);
        socket.setNeedClientAuth(true);
        socket.setSoTimeout(HANDSHAKE_TIMEOUT_MILLIS);
        socket.addHandshakeCompletedListener(event -> setIdleTimeout(event.getSocket()));
        return socket;
    }

    private static void setIdleTimeout(SSLSocket socket) {
        try {
            socket.setSoTimeout(IDLE_TIMEOUT_MILLIS);
        } catch (IOException ignored) {
            // The socket is closed.
        }
    }

    @Override
    public void interrupt() {
        close();
    }

    @Override
    public void close() {
        try {
            mServerSocket.close();
        } catch (IOException ignored) {
            // The socket is not used any more.
        }
    }
}
