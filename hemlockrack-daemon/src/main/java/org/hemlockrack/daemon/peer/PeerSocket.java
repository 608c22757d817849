package org.hemlockrack.daemon.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.TException;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.daemon.tls.TlsKeys;
import org.jspecify.annotations.Nullable;

/** An open connection to another instance, which any thread may close. */
final class PeerSocket implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final TSocket mTransport;

    /** The TCP socket, closed in place of the transport, whose close waits for a blocked write. */
    private final Socket mSocket;

    private volatile boolean mInUse;
    private volatile long mUsedSinceNanos;

    private PeerSocket(TSocket transport, Socket socket) {
        mTransport = transport;
        mSocket = socket;
    }

    /**
     * Connects.
     *
     * @param address {@code ip:port}
     * @param keys keys for TLS, or null for plain text
     * @return the open connection
     * @throws TException if the connection cannot be opened
     */
    static PeerSocket open(String address, @Nullable TlsKeys keys) throws TException {
        InetSocketAddress target = Settings.toAddress(address);
        return keys == null ? openPlain(target) : openTls(target, keys);
    }

    private static PeerSocket openPlain(InetSocketAddress address) throws TException {
        TSocket transport =
                new TSocket(
                        null,
                        address.getHostString(),
                        address.getPort(),
                        PeerClient.READ_TIMEOUT_MILLIS,
                        CONNECT_TIMEOUT_MILLIS);
        transport.open();
        return new PeerSocket(transport, transport.getSocket());
    }

    private static PeerSocket openTls(InetSocketAddress address, TlsKeys keys) throws TException {
        Socket plain = new Socket();
        try {
            plain.connect(address, CONNECT_TIMEOUT_MILLIS);
            SSLSocket socket =
                    (SSLSocket)
                            keys.currentContext()
                                    .getSocketFactory()
                                    .createSocket(
                                            plain,
                                            address.getHostString(),
                                            address.getPort(),
                                            true);
            socket.setSoTimeout(PeerClient.READ_TIMEOUT_MILLIS);
            socket.startHandshake();
            TSocket transport = new TSocket(socket);
            transport.setTimeout(PeerClient.READ_TIMEOUT_MILLIS);
            return new PeerSocket(transport, plain);
        } catch (IOException e) {
            closeQuietly(plain);
            throw new TTransportException(TTransportException.NOT_OPEN, e);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // The socket is not used any more.
        }
    }

    TSocket transport() {
        return mTransport;
    }

    /** Marks the start of an operation that may block. */
    void beginUse() {
        mUsedSinceNanos = System.nanoTime();
        mInUse = true;
    }

    /** Marks the end of the operation. */
    void endUse() {
        mInUse = false;
    }

    /**
     * Closes the connection if its current operation has taken too long.
     *
     * @param limitNanos time limit in nanoseconds
     * @return whether the connection was closed
     */
    boolean closeIfUsedFor(long limitNanos) {
        boolean isStuck = mInUse && System.nanoTime() - mUsedSinceNanos > limitNanos;
        if (isStuck) {
            close();
        }
        return isStuck;
    }

    boolean isClosed() {
        return mSocket.isClosed();
    }

    @Override
    public void close() {
        closeQuietly(mSocket);
    }
}
