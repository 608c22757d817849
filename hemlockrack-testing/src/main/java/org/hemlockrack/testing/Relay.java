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
import org.jspecify.annotations.Nullable;

/**
 * TCP relay that forwards connections to a target address and can simulate network faults. While it
 * drops traffic, it discards all bytes of open connections silently and accepts new connections
 * without an answer, like a network that loses all packets.
 *
 * <p>While nothing listens at the target, the relay does not listen either, so that connections are
 * refused as they would be without a relay. Only connections that arrive before this is detected
 * are accepted and then closed.
 */
public final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long TARGET_POLL_MILLIS = 20;

    private final InetSocketAddress mAddress;
    private final InetSocketAddress mTarget;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();
    private final AtomicLong mForwardedBytes = new AtomicLong();
    private final AtomicLong mForwardedReads = new AtomicLong();
    private volatile ServerSocket mServerSocket;
    private volatile boolean mDropsTraffic;
    private volatile boolean mDropsAnswers;
    private volatile long mDelayMillis;
    private volatile boolean mClosed;

    /** What happens to bytes of connections that are open, while new connections work. */
    public enum SilentDirection {
        /** Bytes to the target are discarded. */
        TO_TARGET,
        /** Bytes from the target are discarded. */
        FROM_TARGET,
        /** All bytes are discarded. */
        BOTH;

        private boolean includes(boolean fromTarget) {
            return this == BOTH || (this == FROM_TARGET) == fromTarget;
        }
    }

    /** A connection of a client and the one to the target that belongs to it. */
    private static final class Connection {
        private final Socket mClient;
        private final Socket mTarget;
        private volatile @Nullable SilentDirection mSilence;
        private volatile boolean mStalled;

        private Connection(Socket client, Socket target) {
            mClient = client;
            mTarget = target;
        }

        private boolean isSilent(boolean fromTarget) {
            SilentDirection silence = mSilence;
            return silence != null && silence.includes(fromTarget);
        }
    }

    private Relay(ServerSocket server, InetSocketAddress target) {
        mServerSocket = server;
        mAddress = (InetSocketAddress) server.getLocalSocketAddress();
        mTarget = target;
    }

    /**
     * Opens a relay.
     *
     * @param port port to listen on at the loopback address, 0 for a free one
     * @param target address to which connections are forwarded
     * @return the relay
     */
    public static Relay open(int port, InetSocketAddress target) {
        try {
            ServerSocket server =
                    listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            Relay relay = new Relay(server, target);
            relay.startThread(
                    "relay-" + server.getLocalPort(), () -> relay.acceptConnections(server));
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

    /** Returns the {@code ip:port} where the relay listens. */
    public String address() {
        return "127.0.0.1:" + mAddress.getPort();
    }

    /** Returns the number of bytes forwarded so far, in both directions. */
    public long forwardedBytes() {
        return mForwardedBytes.get();
    }

    /** Returns the number of reads that these bytes took, about one for each TCP segment. */
    public long forwardedReads() {
        return mForwardedReads.get();
    }

    /** Drops all traffic in both directions until {@link #heal}. */
    public void dropTraffic() {
        mDropsTraffic = true;
    }

    /**
     * Drops only the traffic from the target to its clients.
     *
     * @param drops whether answers are dropped from now on
     */
    public void setDropAnswers(boolean drops) {
        mDropsAnswers = drops;
    }

    /**
     * Delays all traffic that is read from now on.
     *
     * @param millis delay of each read in milliseconds, 0 for none
     */
    public void setDelayMillis(long millis) {
        mDelayMillis = millis;
    }

    /** Closes all open connections with a TCP reset. */
    public void resetConnections() {
        for (Socket socket : List.copyOf(mSockets)) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException ignored) {
                // The socket is already closed, or is closed without a reset below.
            }
            closeQuietly(socket);
            mSockets.remove(socket);
        }
    }

    /** Ends the dropping of traffic. Connections that were open until now are closed. */
    public void heal() {
        if (!mDropsTraffic) {
            return;
        }
        List<Socket> openSockets = List.copyOf(mSockets);
        mDropsTraffic = false;
        openSockets.forEach(Relay::closeQuietly);
        openSockets.forEach(mSockets::remove);
    }

    /**
     * Discards bytes of the connections that are open now, which stay open; later connections work.
     *
     * @param direction the direction whose bytes are discarded
     */
    public void silenceOpenConnections(SilentDirection direction) {
        mConnections.forEach(connection -> connection.mSilence = direction);
    }

    /** Stops reading from the connections that are open now; later connections work. */
    public void stallOpenConnections() {
        mConnections.forEach(connection -> connection.mStalled = true);
    }

    /**
     * Ends the dropping of traffic for later connections. Those that were open stay open and
     * silent, as TCP pauses about as long as a cut before it sends again.
     */
    public void healForNewConnections() {
        silenceOpenConnections(SilentDirection.BOTH);
        mDropsTraffic = false;
    }

    private void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections(ServerSocket server) {
        while (!server.isClosed()) {
            try {
                Socket client = server.accept();
                mSockets.add(client);
                startThread("relay-connect", () -> connect(client));
            } catch (IOException ignored) {
                // The server socket was closed; the loop ends.
            }
        }
    }

    /** Stops listening until the target accepts connections again. */
    private void refuseUntilTargetListens() {
        synchronized (this) {
            if (mServerSocket.isClosed()) {
                return;
            }
            closeQuietly(mServerSocket);
        }
        while (!mClosed && !isTargetListening()) {
            LocalFleet.sleep(TARGET_POLL_MILLIS);
        }
        while (!mClosed && !tryListen()) {
            LocalFleet.sleep(TARGET_POLL_MILLIS);
        }
    }

    private boolean isTargetListening() {
        try (Socket probe = new Socket()) {
            probe.connect(mTarget, CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private synchronized boolean tryListen() {
        if (mClosed) {
            return true;
        }
        try {
            ServerSocket server = listen(mAddress);
            mServerSocket = server;
            startThread("relay-" + mAddress.getPort(), () -> acceptConnections(server));
            return true;
        } catch (IOException e) {
            // The port may be in use for a moment by an outgoing connection of another process.
            return false;
        }
    }

    private void connect(Socket clientSocket) {
        Socket targetSocket = new Socket();
        mSockets.add(targetSocket);
        try {
            clientSocket.setTcpNoDelay(true);
            targetSocket.setTcpNoDelay(true);
            targetSocket.connect(mTarget, CONNECT_TIMEOUT_MILLIS);
            Connection connection = new Connection(clientSocket, targetSocket);
            mConnections.add(connection);
            startThread("relay-up", () -> forward(connection, false));
            forward(connection, true);
        } catch (IOException e) {
            if (mDropsTraffic) {
                return;
            }
            closeQuietly(clientSocket);
            closeQuietly(targetSocket);
            refuseUntilTargetListens();
        }
    }

    private void forward(Connection connection, boolean fromTarget) {
        Socket from = fromTarget ? connection.mTarget : connection.mClient;
        Socket to = fromTarget ? connection.mClient : connection.mTarget;
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (mDelayMillis > 0) {
                    LocalFleet.sleep(mDelayMillis);
                }
                while (connection.mStalled && !from.isClosed()) {
                    LocalFleet.sleep(TARGET_POLL_MILLIS);
                }
                boolean isDropped =
                        mDropsTraffic
                                || (fromTarget && mDropsAnswers)
                                || connection.isSilent(fromTarget);
                if (!isDropped) {
                    out.write(buffer, 0, count);
                    mForwardedBytes.addAndGet(count);
                    mForwardedReads.incrementAndGet();
                }
                count = in.read(buffer);
            }
        } catch (IOException ignored) {
            // One side closed; the other is closed below.
        }
        if (mDropsTraffic) {
            return;
        }
        mConnections.remove(connection);
        closeQuietly(from);
        closeQuietly(to);
    }

    private static void closeQuietly(Closeable socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // The socket is not used any more.
        }
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        closeQuietly(mServerSocket);
        mSockets.forEach(Relay::closeQuietly);
    }
}
