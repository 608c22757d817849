package org.hemlockrack.testing;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Passes TCP connections to another port, until it is cut: then it swallows all bytes of open
 * connections silently and accepts new ones without an answer, like a network that loses packets.
 * While nothing listens at the target, it does not listen either, so that callers are refused as
 * they would be without a relay; only the connection that finds this out is accepted and closed.
 */
public final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long TARGET_POLL_MILLIS = 20;

    private final InetSocketAddress mAddress;
    private final InetSocketAddress mTarget;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong mPassedBytes = new AtomicLong();
    private final AtomicLong mPassedReads = new AtomicLong();
    private volatile ServerSocket mServer;
    private volatile boolean mCut;
    private volatile boolean mSilent;
    private volatile long mDelayMillis;
    private volatile boolean mClosed;

    private Relay(ServerSocket server, InetSocketAddress target) {
        mServer = server;
        mAddress = (InetSocketAddress) server.getLocalSocketAddress();
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
            ServerSocket server =
                    listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            Relay relay = new Relay(server, target);
            relay.start("relay-" + server.getLocalPort(), () -> relay.accept(server));
            return relay;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ServerSocket listen(InetSocketAddress address) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(address);
        return server;
    }

    /** Returns {@code ip:port} of the relay. */
    public String address() {
        return "127.0.0.1:" + mAddress.getPort();
    }

    /** Returns the bytes passed on so far in both directions. */
    public long forwardedBytes() {
        return mPassedBytes.get();
    }

    /** Returns in how many reads these bytes arrived, about one for each TCP segment. */
    public long forwardedReads() {
        return mPassedReads.get();
    }

    /** Loses everything from now on. */
    public void cut() {
        mCut = true;
    }

    /**
     * Loses only what comes back from the target.
     *
     * @param silent whether answers are lost from now on
     */
    public void silenceAnswers(boolean silent) {
        mSilent = silent;
    }

    /**
     * Holds back whatever is read from now on.
     *
     * @param millis time by which each read is passed on later
     */
    public void delay(long millis) {
        mDelayMillis = millis;
    }

    /** Resets all open connections. */
    public void reset() {
        for (Socket socket : List.copyOf(mSockets)) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException ignored) {
                // The socket is closed already, or is closed without a reset below.
            }
            closeQuietly(socket);
            mSockets.remove(socket);
        }
    }

    /** Passes new connections on again; the connections of the cut time are closed. */
    public void heal() {
        if (!mCut) {
            return;
        }
        List<Socket> old = List.copyOf(mSockets);
        mCut = false;
        old.forEach(Relay::closeQuietly);
        old.forEach(mSockets::remove);
    }

    private void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket server) {
        while (!server.isClosed()) {
            try {
                Socket client = server.accept();
                mSockets.add(client);
                start("relay-connect", () -> connect(client));
            } catch (IOException ignored) {
                // The server socket was closed; the loop ends.
            }
        }
    }

    /** Stops listening until the target listens again. */
    private void refuse() {
        synchronized (this) {
            if (mServer.isClosed()) {
                return;
            }
            closeQuietly(mServer);
        }
        while (!mClosed && !targetListens()) {
            LocalFleet.sleep(TARGET_POLL_MILLIS);
        }
        while (!mClosed && !listenAgain()) {
            LocalFleet.sleep(TARGET_POLL_MILLIS);
        }
    }

    private boolean targetListens() {
        try (Socket probe = new Socket()) {
            probe.connect(mTarget, CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private synchronized boolean listenAgain() {
        if (mClosed) {
            return true;
        }
        try {
            ServerSocket server = listen(mAddress);
            mServer = server;
            start("relay-" + mAddress.getPort(), () -> accept(server));
            return true;
        } catch (IOException e) {
            // An outgoing connection of another process holds the port for a moment.
            return false;
        }
    }

    private void connect(Socket client) {
        Socket server = new Socket();
        mSockets.add(server);
        try {
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            server.connect(mTarget, CONNECT_TIMEOUT_MILLIS);
            start("relay-up", () -> pump(client, server, false));
            pump(server, client, true);
        } catch (IOException e) {
            if (mCut) {
                return;
            }
            closeQuietly(client);
            closeQuietly(server);
            refuse();
        }
    }

    private void pump(Socket from, Socket to, boolean answers) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (mDelayMillis > 0) {
                    LocalFleet.sleep(mDelayMillis);
                }
                if (!mCut && !(answers && mSilent)) {
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

    private static void closeQuietly(Closeable socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to be done with the socket.
        }
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        closeQuietly(mServer);
        mSockets.forEach(Relay::closeQuietly);
    }
}
