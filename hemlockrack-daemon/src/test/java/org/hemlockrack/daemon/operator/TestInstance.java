package org.hemlockrack.daemon.operator;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hemlockrack.config.ConfigCommand;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.daemon.burn.BurnService;
import org.hemlockrack.daemon.config.ConfigService;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.daemon.replica.VoterState;
import org.hemlockrack.daemon.rollout.RolloutService;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.Membership;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.MembershipOutput;
import org.hemlockrack.membership.MembershipSettings;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ZoneId;
import org.jspecify.annotations.Nullable;

/** The operator port of one instance, called without sockets. As a voter it is the only one. */
final class TestInstance implements AutoCloseable {
    static final InstanceId SELF = InstanceId.of("i1");
    static final InstanceId PEER = InstanceId.of("i2");
    static final String VOTER_ADDRESS = "192.0.2.1:7000";

    private static final long BUDGET_BYTES = 1 << 20;

    private final List<Throwable> mErrors = new ArrayList<>();
    private final EventLoop mLoop = EventLoop.open("test", mErrors::add);
    private final EventLoop mLogLoop = EventLoop.open("test-log", mErrors::add);
    private final Membership mPeer = membership(PEER);
    private final PeerNetwork mNetwork =
            PeerNetwork.create(SELF, Map.of(), null, (address, cause) -> {});
    private final @Nullable ReplicaService mReplica;
    private final FleetMembership mFleet;
    private final ConfigService mConfig;
    private final OperatorPort mPort;

    private TestInstance(@Nullable Path folder) {
        EventLog log = EventLog.create();
        mFleet =
                onLoop(() -> FleetMembership.create(mLoop, info(SELF), membership(SELF), mNetwork));
        mConfig = onLoop(() -> ConfigService.create(mLoop, mFleet, mNetwork, Set.of(), log));
        VoterState state = folder == null ? null : VoterState.create(mLogLoop);
        mReplica = state == null ? null : replica(folder, state, log);
        Map<InstanceId, String> listed = Map.of(SELF, VOTER_ADDRESS);
        Proposer proposer =
                Proposer.create(
                        mLoop,
                        SELF,
                        () -> mReplica == null ? Map.of() : listed,
                        mNetwork,
                        mReplica);
        VoterAddresses voters = VoterAddresses.of(listed);
        ConfigCommands commands =
                ConfigCommands.create(
                        mLoop,
                        mFleet,
                        mConfig,
                        proposer,
                        state == null ? new EmptyConfigState() : state,
                        voters);
        mPort =
                OperatorPort.create(
                        mFleet,
                        mConfig,
                        proposer,
                        commands,
                        VoterCommands.create(mLoop, mReplica, voters),
                        RolloutCommands.create(proposer, rollouts(proposer, log)),
                        BurnService.create(mLoop, mFleet, mNetwork, mConfig, log, null, mLoop),
                        HealthEndpoints.create(() -> true, Metrics.create()));
    }

    private RolloutService rollouts(Proposer proposer, EventLog log) {
        return onLoop(
                () -> RolloutService.create(mLoop, mFleet, mNetwork, proposer, log, 1, () -> {}));
    }

    static TestInstance withoutLog() {
        return new TestInstance(null);
    }

    static TestInstance leader(Path folder) throws InterruptedException {
        TestInstance instance = new TestInstance(folder);
        while (instance.mReplica.role() != Role.LEADER) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return instance;
    }

    private ReplicaService replica(Path folder, VoterState state, EventLog log) {
        LogStore store = LogStore.open(folder, new Random(1));
        ReplicaNode node =
                ReplicaNode.start(
                        ConsensusSettings.of(SELF, List.of(SELF)),
                        store,
                        state.replicatedState(),
                        1_000,
                        new Random(1),
                        mLogLoop.nowNanos());
        return ReplicaService.start(
                mLogLoop, node, failed -> failed, packet -> {}, log, () -> publish(state));
    }

    private void publish(VoterState state) {
        long version = state.configVersion();
        var configuration = state.configuration();
        if (version > 0) {
            mLoop.execute(() -> mConfig.acceptIfNewer(version, configuration));
        }
    }

    private static InstanceInfo info(InstanceId id) {
        return new InstanceInfo(
                id, ZoneId.of("a"), "r1", "127.0.0.1:" + (id.equals(SELF) ? 1 : 2), "127.0.0.1:3");
    }

    private static Membership membership(InstanceId id) {
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

    /** Delivers a gossip message in which another instance reports its version. */
    void gossipPeerVersion(long version) {
        List<MembershipOutput> outputs = new ArrayList<>();
        long nowNanos = System.nanoTime();
        mPeer.onEvent(
                nowNanos, new MembershipInput.SelfChanged(true, false, version), outputs::add);
        mPeer.onTimer(Math.max(nowNanos, mPeer.nextTimerNanos()), outputs::add);
        for (MembershipOutput output : outputs) {
            if (output instanceof MembershipOutput.Send send) {
                onLoop(() -> deliver(send));
            }
        }
    }

    private boolean deliver(MembershipOutput.Send send) {
        mFleet.handleEvent(new MembershipInput.Received(PEER, send.payload()));
        return true;
    }

    void awaitVersion(long version) throws InterruptedException {
        while (mConfig.current().version() < version) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    Optional<Long> peerVersion() {
        return mFleet.view().member(PEER).map(member -> member.configVersion());
    }

    FakeResponder send(String method, String target, String body, HeaderField... headers) {
        int questionMark = target.indexOf('?');
        FakeResponder responder = new FakeResponder();
        HttpCall call =
                new HttpCall(
                        method,
                        questionMark < 0 ? target : target.substring(0, questionMark),
                        questionMark < 0 ? null : target.substring(questionMark + 1),
                        List.of(headers),
                        body.getBytes(StandardCharsets.UTF_8));
        mPort.handle(call, responder);
        return responder;
    }

    FakeResponder.Response sendAndAwait(String method, String target) {
        return send(method, target, "").await();
    }

    /** Waits until the loop has run all tasks that were submitted before. */
    void runPendingTasks() {
        CompletableFuture<Boolean> done = mLoop.submit(() -> true);
        done.join();
    }

    @Override
    public void close() {
        if (mReplica != null) {
            mReplica.close();
        }
        mNetwork.close();
        mLoop.close();
        mLogLoop.close();
        if (!mErrors.isEmpty()) {
            throw new AssertionError("a task failed", mErrors.get(0));
        }
    }

    private static final class EmptyConfigState implements ConfigCommands.ConfigStateReader {
        @Override
        public @Nullable String historyJson() {
            return null;
        }

        @Override
        public Optional<ConfigCommands.DryRunResult> dryRun(ConfigCommand command) {
            return Optional.empty();
        }
    }
}
