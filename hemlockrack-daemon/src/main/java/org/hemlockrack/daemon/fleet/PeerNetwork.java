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
    /** Called when messages to an address could not be delivered. */
    @FunctionalInterface
    public interface UnreachableListener {
        /**
         * Called on the thread of the connection to that address.
         *
         * @param address {@code ip:port}
         * @param cause the cause
         */
        void onUnreachable(String address, Exception cause);
    }

    private final InstanceId mSelf;
    private final Map<String, String> mConnectAddresses;
    private final @Nullable TlsKeys mKeys;
    private final UnreachableListener mListener;
    private final ConcurrentMap<String, PeerClient> mMessageClients = new ConcurrentHashMap<>();

    /** Separate connections for calls, whose wait for a reply would delay one-way messages. */
    private final ConcurrentMap<String, PeerClient> mCallClients = new ConcurrentHashMap<>();

    private PeerNetwork(
            InstanceId self,
            Map<String, String> routes,
            @Nullable TlsKeys keys,
            UnreachableListener listener) {
        mSelf = self;
        mConnectAddresses = Map.copyOf(routes);
        mKeys = keys;
        mListener = listener;
    }

    /**
     * Creates the network.
     *
     * @param self this instance
     * @param routes addresses to connect to instead of advertised addresses, by advertised address
     * @param keys keys for TLS, or null for plain text
     * @param listener called when an address is unreachable
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
     * Returns the address to connect to for an advertised address.
     *
     * @param address {@code ip:port} as another instance advertises it
     * @return the configured replacement, or the same address if there is none
     */
    public String connectAddress(String address) {
        return mConnectAddresses.getOrDefault(address, address);
    }

    /**
     * Sends a one-way message, which may be lost.
     *
     * @param address {@code ip:port}
     * @param target id of the receiver, empty if it is not known
     * @param slice protocol of the payload
     * @param payload the payload
     */
    public void send(String address, String target, Slice slice, byte[] payload) {
        Envelope envelope = new Envelope();
        envelope.setSender(mSelf.value());
        envelope.setTarget(target);
        envelope.setSlice(slice);
        envelope.setPayload(ByteBuffer.wrap(payload));
        clientFor(mMessageClients, address).deliver(List.of(envelope));
    }

    /**
     * Makes a call without waiting for its reply.
     *
     * @param address {@code ip:port}
     * @param call the call
     * @param <T> type of the reply
     * @return completes with the reply, or exceptionally if the call failed
     */
    public <T> CompletableFuture<T> callAsync(String address, PeerClient.Call<T> call) {
        return clientFor(mCallClients, address).callAsync(call);
    }

    private PeerClient clientFor(ConcurrentMap<String, PeerClient> clients, String address) {
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
        List<PeerClient> all = new ArrayList<>(mMessageClients.values());
        all.addAll(mCallClients.values());
        all.forEach(PeerClient::close);
    }
}
