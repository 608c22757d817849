package org.hemlockrack.daemon.fleet;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutorService;
import org.hemlockrack.daemon.peer.PeerClient;
import org.hemlockrack.daemon.peer.PeerExecutors;
import org.hemlockrack.daemon.peer.PeerMessenger;
import org.hemlockrack.daemon.tls.TlsKeys;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.Envelope;
import org.hemlockrack.wire.Slice;
import org.jspecify.annotations.Nullable;

/** Connections to other instances, by peer address. Safe for use from any thread. */
public final class PeerNetwork implements AutoCloseable {
    /** Receives what is known of the delivery of messages. Called on any thread. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when messages to an address could not be delivered.
         *
         * @param address {@code ip:port}
         * @param cause the cause
         */
        void onUnreachable(String address, Exception cause);

        /**
         * Called when a connection for messages is given up because nothing was answered in time;
         * not called again before {@link #onAnswering}.
         *
         * @param address {@code ip:port}
         * @param limitMillis the time limit in milliseconds
         */
        default void onSilent(String address, long limitMillis) {}

        /**
         * Called when an address answers again after {@link #onSilent}.
         *
         * @param address {@code ip:port}
         */
        default void onAnswering(String address) {}
    }

    private final InstanceId mSelf;
    private final Map<String, String> mConnectAddresses;
    private final @Nullable TlsKeys mKeys;
    private final Listener mListener;
    private final ExecutorService mAnswerExecutor = PeerExecutors.newAnswerExecutor();
    private final ConcurrentMap<String, PeerMessenger> mMessengers = new ConcurrentHashMap<>();

    /** Separate connections for calls, whose wait for a reply would delay one-way messages. */
    private final ConcurrentMap<String, PeerClient> mCallClients = new ConcurrentHashMap<>();

    private PeerNetwork(
            InstanceId self,
            Map<String, String> routes,
            @Nullable TlsKeys keys,
            Listener listener) {
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
     * @param listener receives what is known of the delivery of messages
     * @return the network
     */
    public static PeerNetwork create(
            InstanceId self,
            Map<String, String> routes,
            @Nullable TlsKeys keys,
            Listener listener) {
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
        messengerFor(address).deliver(List.of(envelope));
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
        return mCallClients
                .computeIfAbsent(address, key -> PeerClient.create(connectAddress(key), mKeys))
                .callAsync(call);
    }

    private PeerMessenger messengerFor(String address) {
        return mMessengers.computeIfAbsent(
                address,
                key ->
                        PeerMessenger.create(
                                connectAddress(key),
                                mKeys,
                                mAnswerExecutor,
                                new MessengerListener(key)));
    }

    /** Adds the address to what a messenger reports. */
    private final class MessengerListener implements PeerMessenger.Listener {
        private final String mAddress;

        private MessengerListener(String address) {
            mAddress = address;
        }

        @Override
        public void onUnreachable(Exception cause) {
            mListener.onUnreachable(mAddress, cause);
        }

        @Override
        public void onSilent(long limitMillis) {
            mListener.onSilent(mAddress, limitMillis);
        }

        @Override
        public void onAnswering() {
            mListener.onAnswering(mAddress);
        }
    }

    @Override
    public void close() {
        mMessengers.values().forEach(PeerMessenger::close);
        mCallClients.values().forEach(PeerClient::close);
        mAnswerExecutor.shutdownNow();
    }
}
