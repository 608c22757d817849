package org.hemlockrack.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Passes TCP connections to another port, until it is cut: then it swallows all bytes of open
 * connections silently and accepts new ones without an answer, like a network that loses packets.
 */
public final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final ServerSocket mServer;
    private final InetSocketAddress mTarget;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong mPassedBytes = new AtomicLong();
    private final AtomicLong mPassedReads = new AtomicLong();
    private volatile boolean mCut;

    private Relay(ServerSocket server, InetSocketAddress target) {
        mServer = server;
        mTarget = target;
    }

    /**
     * Opens a relay.
     *
     * @param port port to listen on at the loopback address, 0 for a free one
     * @param target where connections go
     * @return the relay
     */
    public static Relay open(int port, InetSocketAddress target) {
        try {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            Relay relay = new Relay(server, target);
            relay.start("relay-" + server.getLocalPort(), relay::accept);
            return relay;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns {@code ip:port} of the relay. */
    public String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Returns the bytes passed on so far in both directions. */
    public long passedBytes() {
        return mPassedBytes.get();
    }

    /** Returns in how many reads these bytes arrived, about one for each TCP segment. */
    public long passedReads() {
        return mPassedReads.get();
    }

    /** Loses everything from now on. */
    public void cut() {
        mCut = true;
    }

    /** Passes new connections on again; the connections of the cut time are closed. */
    public void heal() {
        mCut = false;
        mSockets.forEach(Relay::closeQuietly);
    }

    private void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket client = mServer.accept();
                mSockets.add(client);
                start("relay-connect", () -> connect(client));
            } catch (IOException ignored) {
                // The relay was closed; the loop ends.
            }
        }
    }

    private void connect(Socket client) {
        Socket server = new Socket();
        mSockets.add(server);
        try {
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            server.connect(mTarget, CONNECT_TIMEOUT_MILLIS);
            start("relay-up", () -> pump(client, server));
            pump(server, client);
        } catch (IOException e) {
            closeQuietly(client);
            closeQuietly(server);
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (!mCut) {
                    out.write(buffer, 0, count);
                    mPassedBytes.addAndGet(count);
                    mPassedReads.incrementAndGet();
                }
                count = in.read(buffer);
            }
        } catch (IOException ignored) {
            // One side closed; the other is closed below.
        }
        if (mCut) {
            return;
        }
        closeQuietly(from);
        closeQuietly(to);
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to be done with the socket.
        }
    }

    @Override
    public void close() {
        try {
            mServer.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mSockets.forEach(Relay::closeQuietly);
    }
}
