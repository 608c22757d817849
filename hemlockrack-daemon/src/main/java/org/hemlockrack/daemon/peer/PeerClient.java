package org.hemlockrack.daemon.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.hemlockrack.daemon.tls.TlsKeys;
import org.hemlockrack.wire.Peer;
import org.jspecify.annotations.Nullable;

/** Makes calls to one other instance over one connection, in order, on a separate thread. */
public final class PeerClient implements AutoCloseable {
    /** Time limit in milliseconds for each read of a reply. */
    public static final int READ_TIMEOUT_MILLIS = 3_000;

    /** Time limit of a call, which may read more than once. */
    private static final long CALL_TIMEOUT_MILLIS = 2L * READ_TIMEOUT_MILLIS;

    private final String mAddress;
    private final @Nullable TlsKeys mKeys;
    private final ThreadPoolExecutor mExecutor;
    private final ReconnectDelay mReconnectDelay = new ReconnectDelay();

    private volatile @Nullable PeerSocket mSocket;
    private Peer.@Nullable Client mClient;

    private PeerClient(String address, @Nullable TlsKeys keys) {
        mAddress = address;
        mKeys = keys;
        mExecutor = PeerExecutors.newSender("peer-to-" + address);
    }

    /**
     * Creates a client, which connects when it is first used.
     *
     * @param address {@code ip:port}
     * @param keys keys for TLS, or null for plain text
     * @return the client
     */
    public static PeerClient create(String address, @Nullable TlsKeys keys) {
        return new PeerClient(address, keys);
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
        closeIfBlocked();
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
        return reply.orTimeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Closes a connection that takes no more data; its writes have no time limit. */
    private void closeIfBlocked() {
        PeerSocket socket = mSocket;
        if (socket != null) {
            socket.closeIfUsedFor(TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS));
        }
    }

    private <T> T call(Call<T> call) throws TException {
        PeerSocket socket = ensureConnected();
        socket.beginUse();
        try {
            return call.invoke(mClient);
        } catch (TException | RuntimeException e) {
            disconnect();
            throw e;
        } finally {
            socket.endUse();
        }
    }

    private PeerSocket ensureConnected() throws TException {
        PeerSocket open = mSocket;
        if (open != null) {
            return open;
        }
        if (!mReconnectDelay.tryAcquire()) {
            throw new TException("not connected to " + mAddress);
        }
        PeerSocket socket = PeerSocket.open(mAddress, mKeys);
        mClient = new Peer.Client(new TCompactProtocol(new TFramedTransport(socket.transport())));
        mSocket = socket;
        return socket;
    }

    private void disconnect() {
        PeerSocket socket = mSocket;
        if (socket != null) {
            socket.close();
        }
        mSocket = null;
        mClient = null;
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
        PeerSocket socket = mSocket;
        if (socket != null) {
            socket.close();
        }
    }
}
