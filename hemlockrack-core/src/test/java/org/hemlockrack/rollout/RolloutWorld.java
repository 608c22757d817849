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
 * Three controllers with their own copies of the state, four instances with traffic and eight
 * backend servers that check fencing. Proposals get lost or end without a known result, leaders
 * change, deposed controllers go on, servers leave and return, and replicas restart from snapshots.
 */
final class RolloutWorld {
    static final ServiceId SERVICE = ServiceId.of("s");
    static final ModelVersion OLD = ModelVersion.of("m", "1");
    static final ModelVersion NEW = ModelVersion.of("m", "2");
    static final long DEADLINE_MILLIS = 180_000;

    private static final long STEP_MILLIS = 100;
    private static final int VOTERS = 3;
    private static final int INSTANCES = 4;
    private static final int SERVERS = 8;

    /** Loads that a deposed leader ordered in its last 10 s may overlap with those of the next. */
    private static final long OVERLAP_MILLIS = 16_000;

    /** Which mechanism is missing. */
    enum Variant {
        CORRECT,
        /** The leader never learns what the instances saw. */
        REPORTS_LOST,
        /** Servers take orders of deposed controllers. */
        NO_FENCING,
        /** More servers load at a time than the weight store serves. */
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
        private long mFence;
        private int mLoading;
    }

    final List<String> mViolations = new ArrayList<>();
    private final SplittableRandom mRandom;
    private final Variant mVariant;
    private final Behaviour mBehaviour;
    private final RolloutSettings mSettings;
    private final int mLoadBound;
    private final List<byte[]> mLog = new ArrayList<>();
    private final List<Long> mLogTimes = new ArrayList<>();
    private final List<RolloutState> mStates = new ArrayList<>();
    private final int[] mApplied = new int[VOTERS];
    private final List<RolloutController> mControllers = new ArrayList<>();
    private final List<LocalTrafficSplit> mGates = new ArrayList<>();
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
    private long mNow;
    private long mNumber;
    private long mLeaderChangedMillis = -OVERLAP_MILLIS;

    RolloutWorld(long seed, Variant variant, Behaviour behaviour) {
        mRandom = new SplittableRandom(seed);
        mVariant = variant;
        mBehaviour = behaviour;
        RolloutSettings usual = RolloutSettings.forFleet(INSTANCES);
        mLoadBound = usual.maxConcurrentLoads();
        mSettings =
                new RolloutSettings(
                        usual.localFalseAlarmRate(),
                        usual.fleetFalseAlarmRate(),
                        usual.reportNanos(),
                        usual.minStageNanos(),
                        usual.maxStageNanos(),
                        usual.minStageRequests(),
                        usual.minJudgedRequests(),
                        variant == Variant.LOADS_UNBOUNDED ? SERVERS : mLoadBound,
                        usual.loadTimeoutNanos(),
                        usual.loadEstimateNanos(),
                        usual.drainNanos());
        for (int i = 0; i < VOTERS; i++) {
            mStates.add(RolloutState.create());
            mControllers.add(newController(i));
        }
        for (int i = 0; i < INSTANCES; i++) {
            mGates.add(LocalTrafficSplit.create());
            mCollectors.add(
                    EvidenceCollector.of(InstanceId.of("i" + i), 1, mSettings, mGates.get(i)));
        }
        for (int i = 0; i < SERVERS; i++) {
            mServers.put(BackendId.of("b" + i), new Server());
        }
    }

    /** Runs one roll-out to 30 s after its deadline and returns its end. */
    Rollout run() {
        commit(
                new RolloutCommand.Start(
                        "start", "op", SERVICE, OLD, NEW, DEADLINE_MILLIS, 0.05, false));
        event(mLeader, new ControllerEvent.LeadershipGained());
        for (mNow = STEP_MILLIS; mNow < DEADLINE_MILLIS + 30_000; mNow += STEP_MILLIS) {
            while (!mQueue.isEmpty() && mQueue.peek().millis() <= mNow) {
                mQueue.poll().action().run();
            }
            if (mRandom.nextInt(300) == 0) {
                changeLeader();
            }
            if (mRandom.nextInt(300) == 0) {
                churn();
            }
            mServers.keySet().forEach(this::announce);
            for (int i = 0; i < VOTERS; i++) {
                int voter = i;
                mControllers.get(i).onTimer(nanos(), output -> output(voter, output));
            }
            traffic();
            check();
        }
        return replica(mLeader).current().get(0);
    }

    private RolloutController newController(int voter) {
        return RolloutController.of(
                InstanceId.of("c" + voter), mStates.get(voter), mSettings, mRandom.split());
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNow);
    }

    /** The old leader goes on for up to 10 s without new entries of the log. */
    private void changeLeader() {
        int old = mLeader;
        mLeaderChangedMillis = mNow;
        mDeposedUntil.put(old, mNow + mRandom.nextLong(10_000));
        later(10_000, () -> endDeposed(old));
        mLeader = (mLeader + 1 + mRandom.nextInt(VOTERS - 1)) % VOTERS;
        mDeposedUntil.remove(mLeader);
        if (mRandom.nextBoolean()) {
            byte[] snapshot = replica(mLeader).snapshot();
            RolloutState restored = RolloutState.create();
            restored.restore(snapshot);
            mStates.set(mLeader, restored);
            mControllers.set(mLeader, newController(mLeader));
        }
        replica(mLeader);
        event(mLeader, new ControllerEvent.LeadershipGained());
    }

    private void endDeposed(int voter) {
        if (voter != mLeader) {
            mDeposedUntil.remove(voter);
            event(voter, new ControllerEvent.LeadershipLost());
        }
    }

    private void churn() {
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
            event(i, new ControllerEvent.BackendGone(id));
        }
        later(8_000, () -> server.mPresent = true);
    }

    private void announce(BackendId id) {
        Server server = mServers.get(id);
        if (!server.mPresent) {
            return;
        }
        BackendStatus status =
                new BackendStatus(id, SERVICE, InstanceId.of("i0"), server.mVersions, true);
        for (int i = 0; i < VOTERS; i++) {
            event(i, new ControllerEvent.BackendUpdated(status));
        }
    }

    private void event(int voter, ControllerEvent event) {
        mControllers.get(voter).onEvent(nanos(), event, output -> output(voter, output));
    }

    private void output(int voter, ControllerOutput output) {
        if (output instanceof ControllerOutput.Propose propose) {
            propose(voter, propose.command());
        } else if (output instanceof ControllerOutput.SendOrder send) {
            later(1_000, () -> deliver(send.order()));
        }
    }

    /** Some proposals are lost, and the end of some is not known. */
    private void propose(int voter, RolloutCommand command) {
        if (mDeposedUntil.containsKey(voter) || mRandom.nextInt(10) == 0) {
            return;
        }
        later(
                200,
                () -> {
                    RolloutResult result = commit(command);
                    if (mRandom.nextInt(10) > 0 && voter == mLeader) {
                        event(
                                voter,
                                new ControllerEvent.ProposalEnded(
                                        command.requestId(), Optional.of(result)));
                    }
                });
    }

    private void deliver(Order order) {
        Server server = mServers.get(order.backend());
        boolean old = order.fence().value() < server.mFence;
        if (!server.mPresent || (old && mVariant != Variant.NO_FENCING)) {
            return;
        }
        if (old) {
            mViolations.add("order " + order + " took effect after a newer one");
        }
        server.mFence = Math.max(server.mFence, order.fence().value());
        if (order.kind() == OrderKind.UNLOAD) {
            server.mVersions.remove(order.version());
            return;
        }
        if (server.mVersions.contains(order.version()) || server.mLoading > 0) {
            return;
        }
        server.mLoading++;
        later(
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
        mLogTimes.add(mNow);
        int index = mLog.size();
        RolloutResult result = null;
        RolloutState leader = mStates.get(mLeader);
        while (mApplied[mLeader] < index) {
            result = RolloutResult.decode(apply(mLeader));
        }
        event(mLeader, new ControllerEvent.StateChanged());
        byte[] current = Rollout.encode(leader.current());
        for (int i = 0; i < INSTANCES; i++) {
            int instance = i;
            later(
                    1_000,
                    () ->
                            collect(
                                    instance,
                                    new EvidenceEvent.RolloutsLearned(Rollout.decode(current))));
        }
        return result;
    }

    private byte[] apply(int voter) {
        int next = mApplied[voter]++;
        return mStates.get(voter).apply(next + 1, mLogTimes.get(next), mLog.get(next));
    }

    private RolloutState replica(int voter) {
        while (mApplied[voter] < mLog.size()) {
            apply(voter);
        }
        return mStates.get(voter);
    }

    private void collect(int instance, EvidenceEvent event) {
        mCollectors.get(instance).onEvent(nanos(), event, output -> reported(instance, output));
    }

    private void reported(int instance, EvidenceOutput output) {
        boolean lost = mVariant == Variant.REPORTS_LOST || mRandom.nextInt(10) == 0;
        if (output instanceof EvidenceOutput.ProposeReport report && !lost) {
            later(
                    200,
                    () -> {
                        commit(report.command());
                        collect(
                                instance,
                                new EvidenceEvent.ReportEnded(report.command().requestId()));
                    });
        }
    }

    private void traffic() {
        for (int i = 0; i < 12; i++) {
            int instance = mRandom.nextInt(INSTANCES);
            ModelVersion version =
                    mGates.get(instance).chooseVersion(SERVICE, OLD, mRandom.nextLong());
            boolean bad = version.equals(NEW) && mBehaviour != Behaviour.GOOD;
            TrafficSegment route =
                    new TrafficSegment(WorkspaceId.of("w" + mRandom.nextInt(3)), RequestKind.CHAT);
            LoadLevel level = LoadLevel.of(mRandom.nextDouble());
            boolean fails = bad && mBehaviour == Behaviour.FAILS;
            if (mRandom.nextDouble() < (fails ? 0.5 : 0.01)) {
                collect(instance, new EvidenceEvent.RequestFailed(SERVICE, version, route, level));
                continue;
            }
            double millis = 200 * Math.exp(0.4 * mRandom.nextGaussian());
            millis *= bad && mBehaviour == Behaviour.SLOW ? 3 : 1;
            long nanos = (long) (millis * 1_000_000);
            collect(
                    instance,
                    new EvidenceEvent.RequestAnswered(SERVICE, version, route, level, nanos));
        }
        for (int i = 0; i < INSTANCES; i++) {
            int instance = i;
            if (nanos() >= mCollectors.get(i).nextTimerNanos()) {
                mCollectors.get(i).onTimer(nanos(), output -> reported(instance, output));
            }
        }
    }

    private void check() {
        int loading = 0;
        for (Server server : mServers.values()) {
            loading += server.mLoading;
        }
        if (loading > mLoadBound && mNow > mLeaderChangedMillis + OVERLAP_MILLIS) {
            mViolations.add(loading + " servers load at a time");
        }
        Rollout rollout = replica(mLeader).current().get(0);
        for (LocalTrafficSplit gate : mGates) {
            if (rollout.isRunning()
                    && gate.permittedShare(SERVICE, NEW) > rollout.share()
                    && gate.rollout(SERVICE, "m") != null) {
                mViolations.add("share above the stage at " + mNow);
            }
        }
    }

    private void later(long maxMillis, Runnable action) {
        mQueue.add(new Pending(mNow + 1 + mRandom.nextLong(maxMillis), mNumber++, action));
    }
}
