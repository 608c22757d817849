package org.hemlockrack.daemon.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.peer.PeerServer;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.Membership;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.MembershipOutput;
import org.hemlockrack.membership.MembershipSettings;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.ConfigReply;
import org.hemlockrack.wire.Envelope;
import org.hemlockrack.wire.Peer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigServiceTest {
    private static final InstanceId SELF = InstanceId.of("i1");
    private static final InstanceId PEER = InstanceId.of("i2");
    private static final long BUDGET_BYTES = 1 << 20;
    private static final long GOSSIP_INTERVAL_MILLIS = 100;

    private final EventLoop mLoop = EventLoop.open("test", Throwable::printStackTrace);
    private final PeerNetwork mNetwork =
            PeerNetwork.create(SELF, Map.of(), null, (address, cause) -> {});
    private final PeerServer mPeer = openPeer();

    /** Version that the peer has in force. */
    private volatile long mPeerVersion;

    /** Version that the peer confirms as the leader, or 0 if it does not lead. */
    private volatile long mConfirmedVersion;

    private Consumer<byte[]> mGossipReceiver = payload -> {};
    private ConfigService mConfig;

    @SuppressWarnings("unchecked")
    private PeerServer openPeer() {
        Peer.Iface handler =
                (Peer.Iface)
                        Proxy.newProxyInstance(
                                Peer.Iface.class.getClassLoader(),
                                new Class<?>[] {Peer.Iface.class},
                                (proxy, method, args) ->
                                        switch (method.getName()) {
                                            case "fetchConfig" -> reply(mPeerVersion);
                                            case "fetchConfirmedConfig" -> confirmedReply();
                                            case "deliver" -> receive((List<Envelope>) args[0]);
                                            default -> null;
                                        });
        return PeerServer.open(new InetSocketAddress("127.0.0.1", 0), handler, null);
    }

    private static ConfigReply reply(long version) {
        ConfigReply reply = new ConfigReply();
        reply.setVersion(version);
        reply.setDocument("");
        return reply;
    }

    private ConfigReply confirmedReply() {
        long version = mConfirmedVersion;
        return version == 0 ? new ConfigReply() : reply(version).setConfirmed(true);
    }

    private InstanceInfo info(InstanceId id) {
        return new InstanceInfo(
                id, ZoneId.of("a"), "r1", "127.0.0.1:" + mPeer.address().getPort(), "127.0.0.1:1");
    }

    private Membership membership(InstanceId id) {
        long nowNanos = System.nanoTime();
        return Membership.create(
                new MembershipSettings(info(id), 1, List.of("127.0.0.1:1")),
                ControlBudget.of(BUDGET_BYTES, nowNanos),
                new Random(1),
                nowNanos);
    }

    private <T> T onLoop(Supplier<T> task) {
        return mLoop.submit(task).join();
    }

    @BeforeEach
    void openService() {
        FleetMembership fleet =
                onLoop(() -> FleetMembership.create(mLoop, info(SELF), membership(SELF), mNetwork));
        EventLog log = EventLog.create();
        mConfig =
                onLoop(() -> ConfigService.create(mLoop, fleet, mNetwork, Set.of(SELF, PEER), log));
        Membership peer = membership(PEER);
        mGossipReceiver =
                payload -> {
                    var gossip = new MembershipInput.Received(SELF, payload);
                    peer.onEvent(mLoop.nowNanos(), gossip, output -> deliver(output, fleet));
                };
        mLoop.scheduleWithFixedDelay(
                GOSSIP_INTERVAL_MILLIS,
                () ->
                        peer.onTimer(
                                Math.max(mLoop.nowNanos(), peer.nextTimerNanos()),
                                output -> deliver(output, fleet)));
    }

    private void deliver(MembershipOutput output, FleetMembership fleet) {
        if (output instanceof MembershipOutput.Send send) {
            var gossip = new MembershipInput.Received(PEER, send.payload());
            mLoop.execute(() -> fleet.handleEvent(gossip));
        }
    }

    private @Nullable Object receive(List<Envelope> envelopes) {
        for (Envelope envelope : envelopes) {
            byte[] payload = envelope.getPayload();
            mLoop.execute(() -> mGossipReceiver.accept(payload));
        }
        return null;
    }

    @AfterEach
    void close() throws IOException {
        mLoop.close();
        mNetwork.close();
        mPeer.close();
    }

    private void awaitInitialized() throws InterruptedException {
        for (int i = 0; i < 2_000 && !mConfig.isInitialized(); i++) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertTrue(mConfig.isInitialized());
    }

    /**
     * Guards against a version that goes back on an instance that led, acknowledged a change and
     * restarted: its peers do not know yet that the change was committed.
     */
    @Test
    void startedInstanceTakesNoVersionThatNoLeaderConfirms() throws InterruptedException {
        mPeerVersion = 2;
        TimeUnit.MILLISECONDS.sleep(1_500);
        assertFalse(mConfig.isInitialized());
        assertEquals(0, mConfig.current().version());
        mConfirmedVersion = 3;
        awaitInitialized();
        assertEquals(3, mConfig.current().version());
    }

    /** Guards against an instance that cannot start while there is no majority of the voters. */
    @Test
    void startedInstanceTakesTheVersionOfAPeerAfterFiveSecondsWithoutALeader()
            throws InterruptedException {
        mPeerVersion = 2;
        awaitInitialized();
        assertEquals(2, mConfig.current().version());
    }
}
