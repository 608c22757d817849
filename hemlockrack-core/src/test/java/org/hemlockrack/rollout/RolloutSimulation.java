package org.hemlockrack.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;

/**
 * Simulates three controllers with their own replicas of the state, four instances with traffic and
 * eight backend servers that check fencing tokens. Proposals are lost or end without a known
 * result, leaders change, deposed controllers continue, servers leave and return, and replicas
 * restart from snapshots.
 */
final class RolloutSimulation {
    static final ServiceId SERVICE = ServiceId.of("s");
    static final ModelVersion OLD = ModelVersion.of("m", "1");
    static final ModelVersion NEW = ModelVersion.of("m", "2");
    static final long DEADLINE_MILLIS = 180_000;

    private static final long STEP_MILLIS = 100;
    private static final int VOTERS = 3;
    private static final int INSTANCES = 4;
    private static final int SERVERS = 8;

    /**
     * Time after a leader change in which loads that the deposed leader still ordered may overlap
     * with those of the new leader: the old one continues for up to 10 s, an order takes up to 1 s
     * to arrive and a load up to 5 s.
     */
    private static final long OVERLAP_MILLIS = 16_000;

    /** The mechanism that is disabled. */
    enum Variant {
        CORRECT,
        /** No report of an instance reaches the leader. */
        REPORTS_LOST,
        /** Servers accept orders of deposed controllers. */
        NO_FENCING,
        /** The number of servers that load at a time is not limited. */
        LOADS_UNBOUNDED
    }

    /** How the new version behaves. */
    enum Behaviour {
        GOOD,
        FAILS,
        SLOW
    }

    private record Pending(long millis, long number, Runnable action) {}

    private static final class Server {
        private final Set<ModelVersion> mVersions = new HashSet<>(Set.of(OLD));
        private boolean mPresent = true;
        private long mFencingToken;
        private int mLoading;
    }

    final List<String> mViolations = new ArrayList<>();
    private final SplittableRandom mRandom;
    private final Variant mVariant;
    private final Behaviour mBehaviour;
    private final RolloutSettings mSettings;
    private final int mMaxConcurrentLoads;
    private final List<byte[]> mLog = new ArrayList<>();
    private final List<Long> mLogTimes = new ArrayList<>();
    private final List<RolloutState> mStates = new ArrayList<>();
    private final int[] mApplied = new int[VOTERS];
    private final List<RolloutController> mControllers = new ArrayList<>();
    private final List<LocalTrafficSplit> mTrafficSplits = new ArrayList<>();
    private final List<EvidenceCollector> mCollectors = new ArrayList<>();
    private final Map<BackendId, Server> mServers = new TreeMap<>();
    private final Map<Integer, Long> mDeposedUntil = new HashMap<>();
    private final PriorityQueue<Pending> mQueue =
            new PriorityQueue<>(
                    (a, b) ->
                            a.millis() == b.millis()
                                    ? Long.compare(a.number(), b.number())
                                    : Long.compare(a.millis(), b.millis()));
    private int mLeader;
    private long mNowMillis;
    private long mNumber;
    private long mLeaderChangedMillis = -OVERLAP_MILLIS;

    RolloutSimulation(long seed, Variant variant, Behaviour behaviour) {
        mRandom = new SplittableRandom(seed);
        mVariant = variant;
        mBehaviour = behaviour;
        RolloutSettings defaults = RolloutSettings.forFleet(INSTANCES);
        mMaxConcurrentLoads = defaults.maxConcurrentLoads();
        mSettings =
                new RolloutSettings(
                        defaults.localFalseAlarmRate(),
                        defaults.fleetFalseAlarmRate(),
                        defaults.reportNanos(),
                        defaults.minStageNanos(),
                        defaults.maxStageNanos(),
                        defaults.minStageRequests(),
                        defaults.minJudgedRequests(),
                        variant == Variant.LOADS_UNBOUNDED ? SERVERS : mMaxConcurrentLoads,
                        defaults.loadTimeoutNanos(),
                        defaults.loadEstimateNanos(),
                        defaults.drainNanos());
        for (int i = 0; i < VOTERS; i++) {
            mStates.add(RolloutState.create());
            mControllers.add(newController(i));
        }
        for (int i = 0; i < INSTANCES; i++) {
            mTrafficSplits.add(LocalTrafficSplit.create());
            mCollectors.add(
                    EvidenceCollector.of(
                            InstanceId.of("i" + i), 1, mSettings, mTrafficSplits.get(i)));
        }
        for (int i = 0; i < SERVERS; i++) {
            mServers.put(BackendId.of("b" + i), new Server());
        }
    }

    /** Runs one roll-out until 30 s after its deadline and returns its final state. */
    Rollout run() {
        commit(
                new RolloutCommand.Start(
                        "start", "op", SERVICE, OLD, NEW, DEADLINE_MILLIS, 0.05, false));
        sendEvent(mLeader, new RolloutControllerEvent.LeadershipGained());
        for (mNowMillis = STEP_MILLIS;
                mNowMillis < DEADLINE_MILLIS + 30_000;
                mNowMillis += STEP_MILLIS) {
            while (!mQueue.isEmpty() && mQueue.peek().millis() <= mNowMillis) {
                mQueue.poll().action().run();
            }
            if (mRandom.nextInt(300) == 0) {
                changeLeader();
            }
            if (mRandom.nextInt(300) == 0) {
                toggleServer();
            }
            mServers.keySet().forEach(this::announce);
            for (int i = 0; i < VOTERS; i++) {
                int voter = i;
                mControllers.get(i).onTimer(nanos(), output -> handleOutput(voter, output));
            }
            simulateTraffic();
            checkInvariants();
        }
        return catchUp(mLeader).current().get(0);
    }

    private RolloutController newController(int voter) {
        return RolloutController.of(
                InstanceId.of("c" + voter), mStates.get(voter), mSettings, mRandom.split());
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
    }

    /** Changes the leader. The old leader continues for up to 10 s without new log entries. */
    private void changeLeader() {
        int oldLeader = mLeader;
        mLeaderChangedMillis = mNowMillis;
        mDeposedUntil.put(oldLeader, mNowMillis + mRandom.nextLong(10_000));
        schedule(10_000, () -> endDeposed(oldLeader));
        mLeader = (mLeader + 1 + mRandom.nextInt(VOTERS - 1)) % VOTERS;
        mDeposedUntil.remove(mLeader);
        if (mRandom.nextBoolean()) {
            byte[] snapshot = catchUp(mLeader).snapshot();
            RolloutState restored = RolloutState.create();
            restored.restore(snapshot);
            mStates.set(mLeader, restored);
            mControllers.set(mLeader, newController(mLeader));
        }
        catchUp(mLeader);
        sendEvent(mLeader, new RolloutControllerEvent.LeadershipGained());
    }

    private void endDeposed(int voter) {
        if (voter != mLeader) {
            mDeposedUntil.remove(voter);
            sendEvent(voter, new RolloutControllerEvent.LeadershipLost());
        }
    }

    private void toggleServer() {
        BackendId id = BackendId.of("b" + mRandom.nextInt(SERVERS));
        Server server = mServers.get(id);
        server.mPresent = !server.mPresent;
        if (server.mPresent) {
            server.mVersions.clear();
            server.mVersions.add(OLD);
            server.mLoading = 0;
            return;
        }
        for (int i = 0; i < VOTERS; i++) {
            sendEvent(i, new RolloutControllerEvent.BackendGone(id));
        }
        schedule(8_000, () -> server.mPresent = true);
    }

    private void announce(BackendId id) {
        Server server = mServers.get(id);
        if (!server.mPresent) {
            return;
        }
        BackendStatus status =
                new BackendStatus(id, SERVICE, InstanceId.of("i0"), server.mVersions, true);
        for (int i = 0; i < VOTERS; i++) {
            sendEvent(i, new RolloutControllerEvent.BackendUpdated(status));
        }
    }

    private void sendEvent(int voter, RolloutControllerEvent event) {
        mControllers.get(voter).onEvent(nanos(), event, output -> handleOutput(voter, output));
    }

    private void handleOutput(int voter, RolloutControllerOutput output) {
        if (output instanceof RolloutControllerOutput.Propose propose) {
            propose(voter, propose.command());
        } else if (output instanceof RolloutControllerOutput.SendOrder send) {
            schedule(1_000, () -> deliver(send.order()));
        }
    }

    /**
     * Commits a proposal with a delay; some proposals are lost, and the result of some is never
     * returned.
     */
    private void propose(int voter, RolloutCommand command) {
        if (mDeposedUntil.containsKey(voter) || mRandom.nextInt(10) == 0) {
            return;
        }
        schedule(
                200,
                () -> {
                    RolloutResult result = commit(command);
                    if (mRandom.nextInt(10) > 0 && voter == mLeader) {
                        sendEvent(
                                voter,
                                new RolloutControllerEvent.ProposalEnded(
                                        command.requestId(), Optional.of(result)));
                    }
                });
    }

    private void deliver(ModelOrder order) {
        Server server = mServers.get(order.backend());
        boolean isOutdated = order.fencingToken().value() < server.mFencingToken;
        if (!server.mPresent || (isOutdated && mVariant != Variant.NO_FENCING)) {
            return;
        }
        if (isOutdated) {
            mViolations.add("order " + order + " took effect after a newer one");
        }
        server.mFencingToken = Math.max(server.mFencingToken, order.fencingToken().value());
        if (order.kind() == OrderKind.UNLOAD) {
            server.mVersions.remove(order.version());
            return;
        }
        if (server.mVersions.contains(order.version()) || server.mLoading > 0) {
            return;
        }
        server.mLoading++;
        schedule(
                5_000,
                () -> {
                    if (server.mLoading > 0) {
                        server.mLoading = 0;
                        server.mVersions.add(order.version());
                    }
                });
    }

    private RolloutResult commit(RolloutCommand command) {
        mLog.add(command.encode());
        mLogTimes.add(mNowMillis);
        int index = mLog.size();
        RolloutResult result = null;
        RolloutState leader = mStates.get(mLeader);
        while (mApplied[mLeader] < index) {
            result = RolloutResult.decode(apply(mLeader));
        }
        sendEvent(mLeader, new RolloutControllerEvent.StateChanged());
        byte[] current = Rollout.encode(leader.current());
        for (int i = 0; i < INSTANCES; i++) {
            int instance = i;
            schedule(
                    1_000,
                    () ->
                            collectEvidence(
                                    instance,
                                    new EvidenceEvent.RolloutsLearned(Rollout.decode(current))));
        }
        return result;
    }

    private byte[] apply(int voter) {
        int next = mApplied[voter]++;
        return mStates.get(voter).apply(next + 1, mLogTimes.get(next), mLog.get(next));
    }

    private RolloutState catchUp(int voter) {
        while (mApplied[voter] < mLog.size()) {
            apply(voter);
        }
        return mStates.get(voter);
    }

    private void collectEvidence(int instance, EvidenceEvent event) {
        mCollectors
                .get(instance)
                .onEvent(nanos(), event, output -> handleEvidenceOutput(instance, output));
    }

    private void handleEvidenceOutput(int instance, EvidenceOutput output) {
        boolean isLost = mVariant == Variant.REPORTS_LOST || mRandom.nextInt(10) == 0;
        if (output instanceof EvidenceOutput.ProposeReport report && !isLost) {
            schedule(
                    200,
                    () -> {
                        commit(report.command());
                        collectEvidence(
                                instance,
                                new EvidenceEvent.ReportEnded(report.command().requestId()));
                    });
        }
    }

    private void simulateTraffic() {
        for (int i = 0; i < 12; i++) {
            int instance = mRandom.nextInt(INSTANCES);
            ModelVersion version =
                    mTrafficSplits.get(instance).chooseVersion(SERVICE, OLD, mRandom.nextLong());
            boolean isFaulty = version.equals(NEW) && mBehaviour != Behaviour.GOOD;
            TrafficSegment segment =
                    new TrafficSegment(WorkspaceId.of("w" + mRandom.nextInt(3)), RequestKind.CHAT);
            LoadLevel level = LoadLevel.of(mRandom.nextDouble());
            boolean fails = isFaulty && mBehaviour == Behaviour.FAILS;
            if (mRandom.nextDouble() < (fails ? 0.5 : 0.01)) {
                collectEvidence(
                        instance,
                        new EvidenceEvent.RequestFailed(SERVICE, version, segment, level));
                continue;
            }
            double millis = 200 * Math.exp(0.4 * mRandom.nextGaussian());
            millis *= isFaulty && mBehaviour == Behaviour.SLOW ? 3 : 1;
            long nanos = (long) (millis * 1_000_000);
            collectEvidence(
                    instance,
                    new EvidenceEvent.RequestAnswered(SERVICE, version, segment, level, nanos));
        }
        for (int i = 0; i < INSTANCES; i++) {
            int instance = i;
            if (nanos() >= mCollectors.get(i).nextTimerNanos()) {
                mCollectors
                        .get(i)
                        .onTimer(nanos(), output -> handleEvidenceOutput(instance, output));
            }
        }
    }

    private void checkInvariants() {
        int loading = 0;
        for (Server server : mServers.values()) {
            loading += server.mLoading;
        }
        if (loading > mMaxConcurrentLoads && mNowMillis > mLeaderChangedMillis + OVERLAP_MILLIS) {
            mViolations.add(loading + " servers load a version at the same time");
        }
        Rollout rollout = catchUp(mLeader).current().get(0);
        for (LocalTrafficSplit trafficSplit : mTrafficSplits) {
            if (rollout.isRunning()
                    && trafficSplit.permittedShare(SERVICE, NEW) > rollout.share()
                    && trafficSplit.rollout(SERVICE, "m") != null) {
                mViolations.add("traffic share above that of the stage at " + mNowMillis);
            }
        }
    }

    private void schedule(long maxMillis, Runnable action) {
        mQueue.add(new Pending(mNowMillis + 1 + mRandom.nextLong(maxMillis), mNumber++, action));
    }
}
