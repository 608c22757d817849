package org.hemlockrack.daemon.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.daemon.tls.TlsKeys;
import org.hemlockrack.wire.Envelope;
import org.hemlockrack.wire.Peer;
import org.jspecify.annotations.Nullable;

/**
 * Sends to one other instance over one connection, in order, on a thread of its own. Messages that
 * cannot be sent are dropped; the deciders send again what matters.
 */
public final class PeerClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int READ_TIMEOUT_MILLIS = 3_000;

    /** After a failed connection attempt, messages are dropped for this long. */
    private static final long RECONNECT_PAUSE_NANOS = 100_000_000L;

    /** Messages that may wait; more are dropped, because newer messages supersede them. */
    private static final int MAX_QUEUED = 256;

    private final String mAddress;
    private final @Nullable TlsKeys mKeys;
    private final Consumer<Exception> mOnUnreachable;
    private final ThreadPoolExecutor mThread;

    private @Nullable TSocket mSocket;
    private Peer.@Nullable Client mClient;
    private long mPausedUntilNanos = System.nanoTime();

    private PeerClient(String address, @Nullable TlsKeys keys, Consumer<Exception> onUnreachable) {
        mAddress = address;
        mKeys = keys;
        mOnUnreachable = onUnreachable;
        mThread =
                new ThreadPoolExecutor(
                        1,
                        1,
                        10,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(MAX_QUEUED),
                        task -> newThread(task, "peer-to-" + address),
                        new ThreadPoolExecutor.DiscardPolicy());
        mThread.allowCoreThreadTimeOut(true);
    }

    private static Thread newThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Creates a client; it connects when first used.
     *
     * @param address {@code ip:port}
     * @param keys keys for TLS, or null for none
     * @param onUnreachable told when a message could not be sent
     * @return the client
     */
    public static PeerClient create(
            String address, @Nullable TlsKeys keys, Consumer<Exception> onUnreachable) {
        return new PeerClient(address, keys, onUnreachable);
    }

    /**
     * Sends one-way messages.
     *
     * @param envelopes the messages
     */
    public void deliver(List<Envelope> envelopes) {
        List<Envelope> copy = new ArrayList<>(envelopes);
        mThread.execute(
                () -> {
                    try {
                        call(client -> deliver(client, copy));
                    } catch (PausedException ignored) {
                        // The failed attempt before was reported.
                    } catch (TException e) {
                        mOnUnreachable.accept(e);
                    }
                });
    }

    private static boolean deliver(Peer.Client client, List<Envelope> envelopes) throws TException {
        client.deliver(envelopes);
        return true;
    }

    /** One Thrift call. */
    @FunctionalInterface
    public interface Call<T> {
        /**
         * Makes the call.
         *
         * @param client an open client
         * @return the reply
         * @throws TException if the call fails
         */
        T make(Peer.Client client) throws TException;
    }

    /**
     * Makes a call and passes on its reply.
     *
     * @param call the call
     * @param <T> type of the reply
     * @return completes with the reply, or exceptionally if the call failed
     */
    public <T> CompletableFuture<T> callAsync(Call<T> call) {
        CompletableFuture<T> reply = new CompletableFuture<>();
        Runnable task =
                () -> {
                    try {
                        reply.complete(call(call));
                    } catch (TException | RuntimeException e) {
                        reply.completeExceptionally(e);
                    }
                };
        mThread.execute(task);
        return reply.orTimeout(2L * READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private <T> T call(Call<T> call) throws TException {
        Peer.Client client = connected();
        try {
            return call.make(client);
        } catch (TException | RuntimeException e) {
            disconnect();
            throw e;
        }
    }

    /** Thrown without an attempt to connect, shortly after one failed. */
    private static final class PausedException extends TException {
        private static final long serialVersionUID = 1L;

        PausedException(String address) {
            super("not connected to " + address);
        }
    }

    private Peer.Client connected() throws TException {
        if (mClient != null) {
            return mClient;
        }
        long nowNanos = System.nanoTime();
        if (nowNanos - mPausedUntilNanos < 0) {
            throw new PausedException(mAddress);
        }
        mPausedUntilNanos = nowNanos + RECONNECT_PAUSE_NANOS;
        var address = Settings.toAddress(mAddress);
        TSocket socket = mKeys == null ? plain(address) : secure(address, mKeys);
        mSocket = socket;
        mClient = new Peer.Client(new TCompactProtocol(new TFramedTransport(socket)));
        return mClient;
    }

    private static TSocket plain(InetSocketAddress address) throws TException {
        TSocket socket =
                new TSocket(
                        null,
                        address.getHostString(),
                        address.getPort(),
                        READ_TIMEOUT_MILLIS,
                        CONNECT_TIMEOUT_MILLIS);
        socket.open();
        return socket;
    }

    private static TSocket secure(InetSocketAddress address, TlsKeys keys) throws TException {
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
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.startHandshake();
            TSocket transport = new TSocket(socket);
            transport.setTimeout(READ_TIMEOUT_MILLIS);
            return transport;
        } catch (IOException e) {
            closeQuietly(plain);
            throw new TTransportException(TTransportException.NOT_OPEN, e);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to be done with the socket.
        }
    }

    private void disconnect() {
        if (mSocket != null) {
            mSocket.close();
        }
        mSocket = null;
        mClient = null;
    }

    @Override
    public void close() {
        mThread.shutdownNow();
        TSocket socket = mSocket;
        if (socket != null) {
            socket.close();
        }
    }
}
