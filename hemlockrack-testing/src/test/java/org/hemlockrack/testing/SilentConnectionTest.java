package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.peer.PeerServer;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.testing.Relay.SilentDirection;
import org.hemlockrack.wire.Envelope;
import org.hemlockrack.wire.Peer;
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

    private final BlockingQueue<Envelope> mReceived = new LinkedBlockingQueue<>();
    private final PeerServer mServer = PeerServer.open(ANY, handler(), null);
    private final Relay mRelay = Relay.open(0, mServer.address());
    private final PeerNetwork mNetwork =
            PeerNetwork.create(InstanceId.of("a"), Map.of(), null, (address, cause) -> {});

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
                            return null;
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
}
