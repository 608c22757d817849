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
 * Sends messages and calls to one other instance over one connection, in order, on a separate
 * thread. Messages that cannot be sent are dropped; the protocols retransmit what must arrive.
 */
public final class PeerClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int READ_TIMEOUT_MILLIS = 3_000;

    /**
     * Minimum time between two connection attempts. Messages that are sent while there is no
     * connection and this time has not passed are dropped.
     */
    private static final long RECONNECT_DELAY_NANOS = 100_000_000L;

    /**
     * Maximum number of queued messages and calls. Excess ones are dropped, because newer messages
     * supersede them.
     */
    private static final int MAX_QUEUED_TASKS = 256;

    private final String mAddress;
    private final @Nullable TlsKeys mKeys;
    private final Consumer<Exception> mOnUnreachable;
    private final ThreadPoolExecutor mExecutor;

    private @Nullable TSocket mSocket;
    private Peer.@Nullable Client mClient;
    private long mNextConnectNanos = System.nanoTime();

    private PeerClient(String address, @Nullable TlsKeys keys, Consumer<Exception> onUnreachable) {
        mAddress = address;
        mKeys = keys;
        mOnUnreachable = onUnreachable;
        mExecutor =
                new ThreadPoolExecutor(
                        1,
                        1,
                        10,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(MAX_QUEUED_TASKS),
                        task -> newThread(task, "peer-to-" + address),
                        new ThreadPoolExecutor.DiscardPolicy());
        mExecutor.allowCoreThreadTimeOut(true);
    }

    private static Thread newThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        // The pool replaces a thread that a call has ended.
        thread.setUncaughtExceptionHandler((ended, cause) -> cause.printStackTrace());
        return thread;
    }

    /**
     * Creates a client, which connects when it is first used.
     *
     * @param address {@code ip:port}
     * @param keys keys for TLS, or null for plain text
     * @param onUnreachable called when a one-way message could not be sent
     * @return the client
     */
    public static PeerClient create(
            String address, @Nullable TlsKeys keys, Consumer<Exception> onUnreachable) {
        return new PeerClient(address, keys, onUnreachable);
    }

    /**
     * Queues one-way messages, which may be lost.
     *
     * @param envelopes the messages
     */
    public void deliver(List<Envelope> envelopes) {
        List<Envelope> copy = new ArrayList<>(envelopes);
        mExecutor.execute(
                () -> {
                    try {
                        call(client -> deliver(client, copy));
                    } catch (ReconnectDelayException ignored) {
                        // The failure of the last connection attempt was reported already.
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
         * @param client client of the open connection
         * @return the reply
         * @throws TException if the call fails
         */
        T invoke(Peer.Client client) throws TException;
    }

    /**
     * Queues a call.
     *
     * @param call the call
     * @param <T> type of the reply
     * @return completes with the reply, or exceptionally if the call failed, was dropped or timed
     *     out
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
        mExecutor.execute(task);
        return reply.orTimeout(2L * READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private <T> T call(Call<T> call) throws TException {
        Peer.Client client = ensureConnected();
        try {
            return call.invoke(client);
        } catch (TException | RuntimeException e) {
            disconnect();
            throw e;
        }
    }

    /** Thrown without a connection attempt during the delay after the previous attempt. */
    private static final class ReconnectDelayException extends TException {
        private static final long serialVersionUID = 1L;

        ReconnectDelayException(String address) {
            super("not connected to " + address);
        }
    }

    private Peer.Client ensureConnected() throws TException {
        if (mClient != null) {
            return mClient;
        }
        long nowNanos = System.nanoTime();
        if (nowNanos - mNextConnectNanos < 0) {
            throw new ReconnectDelayException(mAddress);
        }
        mNextConnectNanos = nowNanos + RECONNECT_DELAY_NANOS;
        var address = Settings.toAddress(mAddress);
        TSocket socket = mKeys == null ? openPlain(address) : openTls(address, mKeys);
        mSocket = socket;
        mClient = new Peer.Client(new TCompactProtocol(new TFramedTransport(socket)));
        return mClient;
    }

    private static TSocket openPlain(InetSocketAddress address) throws TException {
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

    private static TSocket openTls(InetSocketAddress address, TlsKeys keys) throws TException {
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
            // The socket is not used any more.
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
        mExecutor.shutdownNow();
        TSocket socket = mSocket;
        if (socket != null) {
            socket.close();
        }
    }
}
