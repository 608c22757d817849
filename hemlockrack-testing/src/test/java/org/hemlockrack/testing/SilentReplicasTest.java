package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hemlockrack.consensus.ConsensusCodec;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.control.ControlCommand;
import org.hemlockrack.control.ControlState;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.peer.PeerServer;
import org.hemlockrack.daemon.replica.ProposalOutcome;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.daemon.replica.ReplicaStorage;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.testing.Relay.SilentDirection;
import org.hemlockrack.wire.Envelope;
import org.hemlockrack.wire.Peer;
import org.hemlockrack.wire.Slice;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SilentReplicasTest {
    private static final List<InstanceId> IDS =
            List.of(InstanceId.of("a"), InstanceId.of("b"), InstanceId.of("c"));

    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

    /**
     * {@code contact_ms}, after which controllers are in touch again, and two election timeouts of
     * 1,000 ms.
     */
    private static final long MAX_MILLIS_WITHOUT_LEADER = 3_000 + 2 * 1_000;

    /** How long a leader is waited for. */
    private static final long WAIT_MILLIS = 15_000;

    @TempDir private Path mFolder;
    private final Map<InstanceId, Node> mNodes = new LinkedHashMap<>();
    private final List<Relay> mRelays = new ArrayList<>();
    private long mVersion;

    /** A replica that sends its packets through relays. */
    private final class Node {
        private final InstanceId mId;
        private final EventLoop mLoop = EventLoop.open("log", Throwable::printStackTrace);
        private final PeerServer mServer = PeerServer.open(ANY, handler(), null);
        private @Nullable PeerNetwork mNetwork;
        private volatile @Nullable ReplicaService mReplica;

        Node(InstanceId id) {
            mId = id;
        }

        private Peer.Iface handler() {
            return (Peer.Iface)
                    Proxy.newProxyInstance(
                            Peer.Iface.class.getClassLoader(),
                            new Class<?>[] {Peer.Iface.class},
                            (proxy, method, args) -> {
                                if (method.getName().equals("deliver")) {
                                    ((List<?>) args[0]).forEach(this::receive);
                                }
                                return null;
                            });
        }

        private void receive(Object envelope) {
            ReplicaService replica = mReplica;
            if (replica != null) {
                replica.receive(ConsensusCodec.decode(((Envelope) envelope).getPayload()));
            }
        }

        String address() {
            return "127.0.0.1:" + mServer.address().getPort();
        }

        void start() {
            Map<String, String> routes = new HashMap<>();
            for (Node other : mNodes.values()) {
                if (other != this) {
                    Relay relay = Relay.open(0, other.mServer.address());
                    mRelays.add(relay);
                    routes.put(other.address(), relay.address());
                }
            }
            PeerNetwork network = PeerNetwork.create(mId, routes, null, (address, cause) -> {});
            mNetwork = network;
            ReplicaStorage storage =
                    ReplicaStorage.of(
                            mFolder.resolve(mId.value()),
                            new SecureRandom(),
                            store -> store,
                            new StorageListener());
            ControlState state = ControlState.create();
            ReplicaNode node = storage.start(store -> startNode(store, state));
            mReplica =
                    ReplicaService.start(
                            mLoop,
                            node,
                            failed -> failed,
                            packet ->
                                    network.send(
                                            mNodes.get(packet.to().instance()).address(),
                                            packet.to().instance().value(),
                                            Slice.CONSENSUS,
                                            ConsensusCodec.encode(packet)),
                            EventLog.create(),
                            () -> {});
        }

        private ReplicaNode startNode(LogStore store, ControlState state) {
            return ReplicaNode.start(
                    ConsensusSettings.of(mId, IDS),
                    store,
                    state,
                    400,
                    new SplittableRandom(mId.hashCode()),
                    mLoop.nowNanos());
        }

        void close() {
            mReplica.close();
            mNetwork.close();
            mServer.close();
            mLoop.close();
        }
    }

    private static final class StorageListener implements ReplicaStorage.Listener {
        @Override
        public void onDamaged(HemlockrackException cause) {}

        @Override
        public void onUnavailable(HemlockrackException cause) {}

        @Override
        public void onAvailable() {}
    }

    @BeforeEach
    void start() throws Exception {
        IDS.forEach(id -> mNodes.put(id, new Node(id)));
        mNodes.values().forEach(Node::start);
        awaitChange();
    }

    @AfterEach
    void close() {
        mNodes.values().forEach(Node::close);
        mRelays.forEach(Relay::close);
    }

    /** Proposes changes until one is applied; returns the time that it took in milliseconds. */
    private long awaitChange() throws Exception {
        long startNanos = System.nanoTime();
        long elapsedMillis = 0;
        boolean isApplied = false;
        while (!isApplied && elapsedMillis < WAIT_MILLIS) {
            for (Node node : mNodes.values()) {
                isApplied |= node.mReplica.role() == Role.LEADER && isChangeApplied(node.mReplica);
            }
            TimeUnit.MILLISECONDS.sleep(20);
            elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        }
        return elapsedMillis;
    }

    private boolean isChangeApplied(ReplicaService replica) throws Exception {
        byte[] command = ControlCommand.publishTable(++mVersion, new byte[] {1});
        CompletableFuture<ProposalOutcome> outcome = replica.propose(command);
        try {
            return outcome.get(500, TimeUnit.MILLISECONDS).status() == ProposalStatus.APPLIED;
        } catch (TimeoutException e) {
            return false;
        }
    }

    private void assertChangeIsTakenInTime() throws Exception {
        long elapsedMillis = awaitChange();
        System.out.printf("silent replicas: a change after %d ms%n", elapsedMillis);
        assertTrue(
                elapsedMillis <= MAX_MILLIS_WITHOUT_LEADER,
                "no change was taken for " + elapsedMillis + " ms");
    }

    /**
     * Guards against controllers that never have a leader again after the connections between them
     * fell silent without a reset, while each answers calls on new connections.
     */
    @ParameterizedTest
    @EnumSource(names = {"TO_TARGET", "BOTH"})
    void changeIsTakenAfterAllConnectionsFellSilent(SilentDirection direction) throws Exception {
        for (int round = 0; round < 2; round++) {
            mRelays.forEach(relay -> relay.silenceOpenConnections(direction));
            // Answers that were read before are still delivered.
            TimeUnit.MILLISECONDS.sleep(100);
            assertChangeIsTakenInTime();
        }
    }

    /**
     * Guards against controllers without a leader after a cut has healed, as their old connections
     * stay silent for as long as the cut lasted.
     */
    @Test
    void changeIsTakenAfterACutOfAllConnections() throws Exception {
        mRelays.forEach(Relay::dropTraffic);
        TimeUnit.SECONDS.sleep(5);
        mRelays.forEach(Relay::healForNewConnections);
        assertChangeIsTakenInTime();
    }
}
