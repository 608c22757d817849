package org.hemlockrack.bench;

import java.util.ArrayList;
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
import org.hemlockrack.rollout.BackendStatus;
import org.hemlockrack.rollout.EvidenceCollector;
import org.hemlockrack.rollout.EvidenceEvent;
import org.hemlockrack.rollout.EvidenceOutput;
import org.hemlockrack.rollout.LoadLevel;
import org.hemlockrack.rollout.LocalTrafficSplit;
import org.hemlockrack.rollout.ModelOrder;
import org.hemlockrack.rollout.OrderKind;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutCommand;
import org.hemlockrack.rollout.RolloutController;
import org.hemlockrack.rollout.RolloutControllerEvent;
import org.hemlockrack.rollout.RolloutControllerOutput;
import org.hemlockrack.rollout.RolloutReason;
import org.hemlockrack.rollout.RolloutResult;
import org.hemlockrack.rollout.RolloutSettings;
import org.hemlockrack.rollout.RolloutState;
import org.hemlockrack.rollout.RolloutStatus;
import org.hemlockrack.rollout.TrafficSegment;

/** One roll-out over the decision objects, with drawn traffic and message delays. */
final class RolloutSimulation {
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final ModelVersion OLD = ModelVersion.of("m", "1");
    private static final ModelVersion NEW = ModelVersion.of("m", "2");
    private static final long STEP_MILLIS = 20;
    private static final double REQUESTS_PER_WORKER = 8;
    private static final double BASE_ERROR_RATE = 0.005;
    private static final double INCIDENT_ERROR_RATE = 0.05;
    private static final long INCIDENT_MILLIS = 20_000;
    private static final long LOAD_MILLIS = 10_000;
    private static final int FAULTY_ROUTE = 2;

    /** A rate that no evidence reaches: turns the detection off for the baseline. */
    private static final double NEVER = 1e-300;

    /** The baseline rolls back above this error rate over all routes. */
    private static final double BASELINE_ERROR_RATE = 0.02;

    private static final long BASELINE_WINDOW_MILLIS = 10_000;
    private static final int BASELINE_MIN_REQUESTS = 20;

    /** How the new version behaves. */
    enum VersionBehavior {
        GOOD,
        FAILS_AT_ONCE,
        SLOW_AT_ONCE,
        LATE,
        UNDER_LOAD,
        ONE_ROUTE
    }

    /** Size of the fleet and the delays that go with it. */
    enum FleetSize {
        SMALL(8, 8, 10, 300_000, 100, 700),
        LARGE(330, 34, 40, 600_000, 300, 1_400);

        final int mInstances;
        final int mWorkers;
        private final int mRoutes;
        private final long mDeadlineMillis;
        private final long mMinLearnMillis;
        private final long mMaxLearnMillis;

        FleetSize(
                int instances,
                int workers,
                int routes,
                long deadlineMillis,
                long minLearnMillis,
                long maxLearnMillis) {
            mInstances = instances;
            mWorkers = workers;
            mRoutes = routes;
            mDeadlineMillis = deadlineMillis;
            mMinLearnMillis = minLearnMillis;
            mMaxLearnMillis = maxLearnMillis;
        }
    }

    private record ScheduledAction(long millis, long number, Runnable action) {}

    long mFirstFaultMillis = -1;
    long mLocalStopMillis = -1;
    long mRolledBackMillis = -1;
    long mFleetStopMillis = -1;
    long mRequestsAfterFault;
    long mNewAfterFault;
    long mReportBytes;
    private final FleetSize mSize;
    private final VersionBehavior mFault;
    private final boolean mBaseline;
    private final SplittableRandom mRandom;
    private final RolloutState mState = RolloutState.create();
    private final RolloutController mController;
    private final List<LocalTrafficSplit> mGates = new ArrayList<>();
    private final List<EvidenceCollector> mCollectors = new ArrayList<>();
    private final List<InstanceId> mInstances = new ArrayList<>();
    private final List<TrafficSegment> mRoutes = new ArrayList<>();
    private final Map<BackendId, Set<ModelVersion>> mServers = new TreeMap<>();
    private final PriorityQueue<ScheduledAction> mQueue =
            new PriorityQueue<>(
                    (a, b) ->
                            a.millis() == b.millis()
                                    ? Long.compare(a.number(), b.number())
                                    : Long.compare(a.millis(), b.millis()));
    private final long mIncidentMillis;
    private final long mLateMillis;
    private long mNow;
    private long mNumber;
    private long mIndex;
    private double mDue;
    private long mWindowNew;
    private long mWindowErrors;

    RolloutSimulation(FleetSize size, VersionBehavior fault, boolean baseline, long seed) {
        mSize = size;
        mFault = fault;
        mBaseline = baseline;
        mRandom = new SplittableRandom(seed * 31 + fault.ordinal());
        RolloutSettings settings = settings();
        mController = RolloutController.of(InstanceId.of("c"), mState, settings, mRandom.split());
        for (int i = 0; i < size.mInstances; i++) {
            InstanceId id = InstanceId.of("i" + i);
            mInstances.add(id);
            mGates.add(LocalTrafficSplit.create());
            mCollectors.add(EvidenceCollector.of(id, 1, settings, mGates.get(i)));
        }
        for (int i = 0; i < size.mRoutes; i++) {
            mRoutes.add(new TrafficSegment(WorkspaceId.of("w" + i), RequestKind.CHAT));
        }
        for (int i = 0; i < size.mWorkers; i++) {
            mServers.put(BackendId.of("b" + i), new HashSet<>(Set.of(OLD)));
        }
        mIncidentMillis = mRandom.nextLong(size.mDeadlineMillis);
        mLateMillis = size.mDeadlineMillis / 2;
    }

    private RolloutSettings settings() {
        RolloutSettings usual = RolloutSettings.forFleet(mSize.mInstances);
        return new RolloutSettings(
                mBaseline ? NEVER : usual.localFalseAlarmRate(),
                mBaseline ? NEVER : usual.fleetFalseAlarmRate(),
                usual.reportNanos(),
                usual.minStageNanos(),
                usual.maxStageNanos(),
                usual.minStageRequests(),
                usual.minJudgedRequests(),
                usual.maxConcurrentLoads(),
                usual.loadTimeoutNanos(),
                usual.loadEstimateNanos(),
                usual.drainNanos());
    }

    /** Runs to the deadline, or to 10 s after the rollback has reached all instances. */
    Rollout run() {
        commit(
                new RolloutCommand.Start(
                        "start", "op", SERVICE, OLD, NEW, mSize.mDeadlineMillis, 0.05, false));
        event(new RolloutControllerEvent.LeadershipGained());
        long end = mSize.mDeadlineMillis + 1_000;
        for (mNow = STEP_MILLIS; mNow < end; mNow += STEP_MILLIS) {
            while (!mQueue.isEmpty() && mQueue.peek().millis() <= mNow) {
                mQueue.poll().action().run();
            }
            if (nanos() >= mController.nextTimerNanos()) {
                mController.onTimer(nanos(), this::output);
            }
            if (mNow % 500 == 0) {
                announce();
                timers();
            }
            traffic();
            if (mBaseline && mNow % BASELINE_WINDOW_MILLIS == 0) {
                baseline();
            }
            if (mFleetStopMillis >= 0 && mNow > mFleetStopMillis + 10_000) {
                break;
            }
        }
        return mState.current().get(0);
    }

    int instances() {
        return mSize.mInstances;
    }

    /** Returns how long the run lasted. */
    double seconds() {
        return mNow / 1_000.0;
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNow);
    }

    private void announce() {
        mServers.forEach(
                (id, versions) ->
                        event(
                                new RolloutControllerEvent.BackendUpdated(
                                        new BackendStatus(
                                                id, SERVICE, mInstances.get(0), versions, true))));
    }

    private void timers() {
        for (int i = 0; i < mSize.mInstances; i++) {
            int instance = i;
            if (nanos() >= mCollectors.get(i).nextTimerNanos()) {
                mCollectors.get(i).onTimer(nanos(), output -> reported(instance, output));
            }
        }
    }

    private void event(RolloutControllerEvent event) {
        mController.onEvent(nanos(), event, this::output);
    }

    private void output(RolloutControllerOutput output) {
        if (output instanceof RolloutControllerOutput.Propose propose) {
            later(5, 30, () -> ended(propose.command()));
        } else if (output instanceof RolloutControllerOutput.SendOrder send) {
            later(5, 30, () -> deliver(send.order()));
        }
    }

    private void ended(RolloutCommand command) {
        RolloutResult result = commit(command);
        event(new RolloutControllerEvent.ProposalEnded(command.requestId(), Optional.of(result)));
    }

    private void deliver(ModelOrder order) {
        Set<ModelVersion> versions = mServers.get(order.backend());
        if (order.kind() == OrderKind.UNLOAD) {
            versions.remove(order.version());
        } else {
            later(LOAD_MILLIS, 2 * LOAD_MILLIS, () -> versions.add(order.version()));
        }
    }

    private RolloutResult commit(RolloutCommand command) {
        long before = revision();
        byte[] bytes = command.encode();
        RolloutResult result = RolloutResult.decode(mState.apply(++mIndex, mNow, bytes));
        event(new RolloutControllerEvent.StateChanged());
        if (revision() != before) {
            publish(mState.current());
        }
        return result;
    }

    private long revision() {
        List<Rollout> current = mState.current();
        return current.isEmpty() ? 0 : current.get(0).revision();
    }

    private void publish(List<Rollout> current) {
        if (current.get(0).status() == RolloutStatus.ROLLED_BACK) {
            mRolledBackMillis = mNow;
        }
        for (int i = 0; i < mSize.mInstances; i++) {
            int instance = i;
            later(
                    mSize.mMinLearnMillis,
                    mSize.mMaxLearnMillis,
                    () -> collect(instance, new EvidenceEvent.RolloutsLearned(current)));
        }
        if (mRolledBackMillis == mNow) {
            later(mSize.mMaxLearnMillis, mSize.mMaxLearnMillis + 1, () -> mFleetStopMillis = mNow);
        }
    }

    private void collect(int instance, EvidenceEvent event) {
        mCollectors.get(instance).onEvent(nanos(), event, output -> reported(instance, output));
    }

    private void reported(int instance, EvidenceOutput output) {
        if (output instanceof EvidenceOutput.LocallyStopped && mLocalStopMillis < 0) {
            mLocalStopMillis = mNow;
        } else if (output instanceof EvidenceOutput.ProposeReport report) {
            mReportBytes += report.command().encode().length;
            later(5, 60, () -> reportEnded(instance, report.command()));
        }
    }

    private void reportEnded(int instance, RolloutCommand command) {
        commit(command);
        collect(instance, new EvidenceEvent.ReportEnded(command.requestId()));
    }

    private void traffic() {
        mDue += mSize.mWorkers * REQUESTS_PER_WORKER * STEP_MILLIS / 1_000;
        for (; mDue >= 1; mDue--) {
            request(mRandom.nextInt(mSize.mInstances));
        }
    }

    private void request(int instance) {
        ModelVersion version = mGates.get(instance).chooseVersion(SERVICE, OLD, mRandom.nextLong());
        boolean isNew = version.equals(NEW);
        // A few workspaces are large: the square of a uniform number prefers low ones.
        double position = mRandom.nextDouble();
        int route = (int) (position * position * mSize.mRoutes);
        LoadLevel level = LoadLevel.of(0.55 + 0.25 * mRandom.nextGaussian());
        boolean faulty = isNew && faulty(route, level);
        if (faulty && mFirstFaultMillis < 0) {
            mFirstFaultMillis = mNow;
        }
        if (mFirstFaultMillis >= 0) {
            mRequestsAfterFault++;
            mNewAfterFault += isNew ? 1 : 0;
        }
        mWindowNew += isNew ? 1 : 0;
        boolean slow = faulty && mFault == VersionBehavior.SLOW_AT_ONCE;
        double errors = faulty && !slow ? 0.5 : errorRate(level);
        TrafficSegment key = mRoutes.get(route);
        if (mRandom.nextDouble() < errors) {
            mWindowErrors += isNew ? 1 : 0;
            collect(instance, new EvidenceEvent.RequestFailed(SERVICE, version, key, level));
            return;
        }
        double millis = 250 * (1 + route % 3) * (1 + level.ordinal() * 0.5);
        millis *= Math.exp(0.5 * mRandom.nextGaussian()) * (slow ? 3 : 1);
        collect(
                instance,
                new EvidenceEvent.RequestAnswered(
                        SERVICE, version, key, level, (long) (millis * 1_000_000)));
    }

    private boolean faulty(int route, LoadLevel level) {
        return switch (mFault) {
            case GOOD -> false;
            case FAILS_AT_ONCE, SLOW_AT_ONCE -> true;
            case LATE -> mNow >= mLateMillis;
            case UNDER_LOAD -> level == LoadLevel.HIGH;
            case ONE_ROUTE -> route == FAULTY_ROUTE;
        };
    }

    /** During an incident both versions fail more often. */
    private double errorRate(LoadLevel level) {
        boolean incident = mNow >= mIncidentMillis && mNow < mIncidentMillis + INCIDENT_MILLIS;
        double base = incident ? INCIDENT_ERROR_RATE : BASE_ERROR_RATE;
        return level == LoadLevel.HIGH ? 2 * base : base;
    }

    private void baseline() {
        boolean above =
                mWindowNew >= BASELINE_MIN_REQUESTS
                        && mWindowErrors > BASELINE_ERROR_RATE * mWindowNew;
        mWindowNew = 0;
        mWindowErrors = 0;
        Rollout rollout = mState.current().get(0);
        if (above && rollout.isRunning()) {
            commit(
                    new RolloutCommand.RollBack(
                            "baseline",
                            mState.authority(),
                            rollout.id(),
                            RolloutReason.ERRORS,
                            "threshold"));
        }
    }

    private void later(long minMillis, long maxMillis, Runnable action) {
        long millis = mNow + mRandom.nextLong(minMillis, maxMillis);
        mQueue.add(new ScheduledAction(millis, mNumber++, action));
    }
}
