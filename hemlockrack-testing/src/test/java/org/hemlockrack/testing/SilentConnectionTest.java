package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TApplicationException;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.peer.PeerServer;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.testing.Relay.SilentDirection;
import org.hemlockrack.wire.Envelope;
import org.hemlockrack.wire.Peer;
import org.hemlockrack.wire.ProposeRequest;
import org.hemlockrack.wire.Slice;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SilentConnectionTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

    /** {@code contact_ms}, after which instances are in touch again. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long HEARTBEAT_MILLIS = 50;

    private final AtomicInteger mProbes = new AtomicInteger();
    private final BlockingQueue<Envelope> mReceived = new LinkedBlockingQueue<>();
    private final PeerServer mServer = PeerServer.open(ANY, handler(), null);
    private final Relay mRelay = Relay.open(0, mServer.address());
    private final PeerEvents mEvents = new PeerEvents();
    private final PeerNetwork mNetwork =
            PeerNetwork.create(InstanceId.of("a"), Map.of(), null, mEvents);
    private volatile Probe mProbe = () -> {};

    /** Handles a probe. */
    @FunctionalInterface
    private interface Probe {
        void handle() throws Exception;
    }

    /** Records what the network reports. */
    private static final class PeerEvents implements PeerNetwork.Listener {
        private final List<String> mNames = new CopyOnWriteArrayList<>();

        @Override
        public void onUnreachable(String address, Exception cause) {
            mNames.add("unreachable");
        }

        @Override
        public void onSilent(String address, long limitMillis) {
            mNames.add("silent");
        }

        @Override
        public void onAnswering(String address) {
            mNames.add("answering");
        }
    }

    @AfterEach
    void close() {
        mNetwork.close();
        mRelay.close();
        mServer.close();
    }

    private Peer.Iface handler() {
        return (Peer.Iface)
                Proxy.newProxyInstance(
                        Peer.Iface.class.getClassLoader(),
                        new Class<?>[] {Peer.Iface.class},
                        (proxy, method, args) -> {
                            if (method.getName().equals("deliver")) {
                                for (Object envelope : (List<?>) args[0]) {
                                    mReceived.add((Envelope) envelope);
                                }
                            }
                            if (method.getName().equals("ping")) {
                                mProbes.incrementAndGet();
                                mProbe.handle();
                            }
                            return method.getName().equals("abandoned") ? true : null;
                        });
    }

    /** Sends messages until one is received; returns the time that it took in milliseconds. */
    private long awaitMessage() throws InterruptedException {
        mReceived.clear();
        long startNanos = System.nanoTime();
        long elapsedMillis = 0;
        while (elapsedMillis < 5 * CONTACT_MILLIS) {
            mNetwork.send(mRelay.address(), "b", Slice.CONSENSUS, new byte[1]);
            Envelope received = mReceived.poll(HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
            elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            if (received != null) {
                return elapsedMillis;
            }
        }
        return elapsedMillis;
    }

    private static void assertInTouch(long elapsedMillis) {
        System.out.printf("silent connection: a message after %d ms%n", elapsedMillis);
        assertTrue(elapsedMillis <= CONTACT_MILLIS, "no message for " + elapsedMillis + " ms");
    }

    /**
     * Guards against one-way messages that are written for ever into a connection that fell silent
     * without a reset, while new connections work.
     */
    @ParameterizedTest
    @EnumSource(names = {"TO_TARGET", "BOTH"})
    void messagesArriveAgainAfterTheirConnectionFellSilent(SilentDirection direction)
            throws Exception {
        for (int round = 0; round < 2; round++) {
            assertInTouch(awaitMessage());
            mRelay.silenceOpenConnections(direction);
            // What was read from the connection before is still delivered.
            TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
            assertInTouch(awaitMessage());
        }
    }

    /**
     * Guards against a sender that waits for ever for space in the send buffer of a connection
     * whose other end takes no more data.
     */
    @Test
    void messagesArriveAgainAfterTheSendBufferFilledUp() throws Exception {
        assertInTouch(awaitMessage());
        mRelay.stallOpenConnections();
        for (int i = 0; i < 100; i++) {
            mNetwork.send(mRelay.address(), "b", Slice.CONSENSUS, new byte[128 << 10]);
        }
        assertInTouch(awaitMessage());
    }

    /**
     * Guards against messages that are lost after a cut has healed, on the connection from before.
     */
    @Test
    void messagesArriveAgainAfterACut() throws Exception {
        assertInTouch(awaitMessage());
        mRelay.dropTraffic();
        awaitMessage();
        mRelay.healForNewConnections();
        assertInTouch(awaitMessage());
    }

    /** Sends messages for some time. */
    private void sendFor(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() - endNanos < 0) {
            awaitMessage();
        }
    }

    /** Guards against a silence that no log line shows. */
    @Test
    void silenceAndItsEndAreReportedOnce() throws Exception {
        assertInTouch(awaitMessage());
        mRelay.silenceOpenConnections(SilentDirection.BOTH);
        sendFor(2 * CONTACT_MILLIS);
        assertEquals(List.of("silent", "answering"), mEvents.mNames);
    }

    /** Guards against connections to instances of an older version that are given up. */
    @Test
    void errorReplyOfAnInstanceWithoutProbesIsAnAnswer() throws Exception {
        mProbe =
                () -> {
                    throw new TApplicationException(
                            TApplicationException.UNKNOWN_METHOD, "Invalid method name: 'ping'");
                };
        sendFor(2 * CONTACT_MILLIS);
        assertTrue(mProbes.get() > 2, mProbes.get() + " probes");
        assertEquals(List.of(), mEvents.mNames);
    }

    /** Guards against connections to a slow instance that are given up again and again. */
    @Test
    void connectionToASlowInstanceIsGivenUpOnce() throws Exception {
        mProbe = () -> TimeUnit.MILLISECONDS.sleep(1_300);
        sendFor(3 * CONTACT_MILLIS);
        assertTrue(mProbes.get() > 2, mProbes.get() + " probes");
        assertEquals(List.of("silent", "answering"), mEvents.mNames);
    }

    /**
     * Guards against calls that all fail after one was too large for the send buffer of a
     * connection whose other end takes no more data.
     */
    @Test
    void callsAreAnsweredAfterTheSendBufferFilledUp() throws Exception {
        assertTrue(mNetwork.callAsync(mRelay.address(), peer -> peer.abandoned("x")).join());
        mRelay.stallOpenConnections();
        ProposeRequest large = new ProposeRequest();
        large.setSender("a");
        large.setCommand(new byte[32 << 20]);
        CompletableFuture<?> stuck =
                mNetwork.callAsync(mRelay.address(), peer -> peer.propose(large));
        assertThrows(CompletionException.class, stuck::join);
        boolean isAnswered = false;
        for (int i = 0; i < 20 && !isAnswered; i++) {
            isAnswered =
                    mNetwork.callAsync(mRelay.address(), peer -> peer.abandoned("x"))
                            .exceptionally(e -> false)
                            .completeOnTimeout(false, 500, TimeUnit.MILLISECONDS)
                            .join();
        }
        assertTrue(isAnswered);
    }
}
