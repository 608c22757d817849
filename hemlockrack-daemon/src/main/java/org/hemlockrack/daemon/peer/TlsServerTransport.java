package org.hemlockrack.daemon.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.transport.TServerTransport;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.hemlockrack.daemon.tls.TlsKeys;

/** Accepts connections whose client must present a trusted certificate. */
final class TlsServerTransport extends TServerTransport {
    private static final int BACKLOG = 128;

    /** Longest wait for a byte of the handshake. */
    private static final int HANDSHAKE_TIMEOUT_MILLIS = 5_000;

    /** A peer may be silent for long at full size; a dead one must not hold its thread for ever. */
    private static final int PEER_TIMEOUT_MILLIS = 600_000;

    private final ServerSocket mServer;
    private final TlsKeys mKeys;

    private TlsServerTransport(ServerSocket server, TlsKeys keys) {
        mServer = server;
        mKeys = keys;
    }

    static TlsServerTransport open(InetSocketAddress address, TlsKeys keys)
            throws TTransportException {
        try {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(address, BACKLOG);
            return new TlsServerTransport(server, keys);
        } catch (IOException e) {
            throw new TTransportException(e);
        }
    }

    int port() {
        return mServer.getLocalPort();
    }

    @Override
    public void listen() {}

    /** The handshake runs on the worker that first reads, so it holds up no other connection. */
    @Override
    public TSocket accept() throws TTransportException {
        try {
            Socket plain = mServer.accept();
            try {
                return new TSocket(secure(plain));
            } catch (IOException | TTransportException e) {
                plain.close();
                throw new TTransportException(e);
            }
        } catch (IOException e) {
            throw new TTransportException(e);
        }
    }

    private SSLSocket secure(Socket plain) throws IOException {
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
        socket.addHandshakeCompletedListener(event -> allowSilence(event.getSocket()));
        return socket;
    }

    private static void allowSilence(SSLSocket socket) {
        try {
            socket.setSoTimeout(PEER_TIMEOUT_MILLIS);
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
            mServer.close();
        } catch (IOException ignored) {
            // Nothing is left to be done with the socket.
        }
    }
}
