package org.hemlockrack.daemon.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.hemlockrack.daemon.peer.PeerClient;
import org.hemlockrack.daemon.tls.TlsKeys;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.Envelope;
import org.hemlockrack.wire.Slice;
import org.jspecify.annotations.Nullable;

/** Connections to other instances, by peer address. Safe for use from any thread. */
public final class PeerNetwork implements AutoCloseable {
    /** Told when messages to an address cannot be delivered. */
    @FunctionalInterface
    public interface UnreachableListener {
        /**
         * Called on a connection's thread.
         *
         * @param address {@code ip:port}
         * @param cause the cause
         */
        void onUnreachable(String address, Exception cause);
    }

    private final InstanceId mSelf;
    private final Map<String, String> mRoutes;
    private final @Nullable TlsKeys mKeys;
    private final UnreachableListener mListener;
    private final ConcurrentMap<String, PeerClient> mMessages = new ConcurrentHashMap<>();

    /** Calls that wait for a reply do not hold up gossip and consensus messages. */
    private final ConcurrentMap<String, PeerClient> mCalls = new ConcurrentHashMap<>();

    private PeerNetwork(
            InstanceId self,
            Map<String, String> routes,
            @Nullable TlsKeys keys,
            UnreachableListener listener) {
        mSelf = self;
        mRoutes = Map.copyOf(routes);
        mKeys = keys;
        mListener = listener;
    }

    /**
     * Creates the network.
     *
     * @param self this instance
     * @param routes where to connect instead of an advertised address
     * @param keys keys for TLS, or null for none
     * @param listener told about unreachable addresses
     * @return the network
     */
    public static PeerNetwork create(
            InstanceId self,
            Map<String, String> routes,
            @Nullable TlsKeys keys,
            UnreachableListener listener) {
        return new PeerNetwork(self, routes, keys, listener);
    }

    /**
     * Returns where to connect to reach an address.
     *
     * @param address {@code ip:port} as another instance advertises it
     * @return the address of the route, or the same address if there is none
     */
    public String connectAddress(String address) {
        return mRoutes.getOrDefault(address, address);
    }

    /**
     * Sends one message; it may be lost.
     *
     * @param address {@code ip:port}
     * @param target the receiver, empty if its name is not known
     * @param slice names the package that reads the payload
     * @param payload the payload
     */
    public void send(String address, String target, Slice slice, byte[] payload) {
        Envelope envelope = new Envelope();
        envelope.setSender(mSelf.value());
        envelope.setTarget(target);
        envelope.setSlice(slice);
        envelope.setPayload(ByteBuffer.wrap(payload));
        client(mMessages, address).deliver(List.of(envelope));
    }

    /**
     * Makes a call.
     *
     * @param address {@code ip:port}
     * @param call the call
     * @param <T> type of the reply
     * @return completes with the reply or exceptionally
     */
    public <T> CompletableFuture<T> callAsync(String address, PeerClient.Call<T> call) {
        return client(mCalls, address).callAsync(call);
    }

    private PeerClient client(ConcurrentMap<String, PeerClient> clients, String address) {
        return clients.computeIfAbsent(
                address,
                key ->
                        PeerClient.create(
                                connectAddress(key),
                                mKeys,
                                cause -> mListener.onUnreachable(key, cause)));
    }

    @Override
    public void close() {
        List<PeerClient> all = new ArrayList<>(mMessages.values());
        all.addAll(mCalls.values());
        all.forEach(PeerClient::close);
    }
}
