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

/** Simulates one roll-out with random traffic and message delays. */
final class RolloutSimulation {
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final ModelVersion OLD_VERSION = ModelVersion.of("m", "1");
    private static final ModelVersion NEW_VERSION = ModelVersion.of("m", "2");
    private static final long STEP_MILLIS = 20;
    private static final double REQUESTS_PER_SECOND_PER_SERVER = 8;
    private static final double BASE_ERROR_RATE = 0.005;
    private static final double INCIDENT_ERROR_RATE = 0.05;
    private static final long INCIDENT_MILLIS = 20_000;
    private static final long LOAD_MILLIS = 10_000;
    private static final int FAULTY_SEGMENT = 2;

    /** A rate so low that no evidence suffices, which turns off detection for the baseline. */
    private static final double NO_FALSE_ALARMS = 1e-300;

    /** The baseline rolls back above this error rate of the new version over all traffic. */
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

    /** Size of the fleet and the delays that depend on it. */
    enum FleetSize {
        SMALL(8, 8, 10, 300_000, 100, 700),
        LARGE(330, 34, 40, 600_000, 300, 1_400);

        final int mInstanceCount;
        final int mServerCount;
        private final int mSegmentCount;
        private final long mDeadlineMillis;
        private final long mMinPropagationMillis;
        private final long mMaxPropagationMillis;

        FleetSize(
                int instances,
                int servers,
                int segments,
                long deadlineMillis,
                long minPropagationMillis,
                long maxPropagationMillis) {
            mInstanceCount = instances;
            mServerCount = servers;
            mSegmentCount = segments;
            mDeadlineMillis = deadlineMillis;
            mMinPropagationMillis = minPropagationMillis;
            mMaxPropagationMillis = maxPropagationMillis;
        }
    }

    private record ScheduledAction(long atMillis, long order, Runnable action) {}

    long mFirstFaultMillis = -1;
    long mLocalStopMillis = -1;
    long mRolledBackMillis = -1;
    long mFleetStopMillis = -1;
    long mRequestsAfterFault;
    long mNewVersionRequestsAfterFault;
    long mReportBytes;
    private final FleetSize mSize;
    private final VersionBehavior mBehavior;
    private final boolean mIsBaseline;
    private final SplittableRandom mRandom;
    private final RolloutState mState = RolloutState.create();
    private final RolloutController mController;
    private final List<LocalTrafficSplit> mTrafficSplits = new ArrayList<>();
    private final List<EvidenceCollector> mCollectors = new ArrayList<>();
    private final List<InstanceId> mInstances = new ArrayList<>();
    private final List<TrafficSegment> mSegments = new ArrayList<>();
    private final Map<BackendId, Set<ModelVersion>> mLoadedVersions = new TreeMap<>();
    private final PriorityQueue<ScheduledAction> mQueue =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atMillis() == b.atMillis()
                                    ? Long.compare(a.order(), b.order())
                                    : Long.compare(a.atMillis(), b.atMillis()));
    private final long mIncidentStartMillis;
    private final long mLateFaultMillis;
    private long mNowMillis;
    private long mNextOrder;
    private long mLogIndex;
    private double mDueRequests;
    private long mWindowNewVersionRequests;
    private long mWindowNewVersionErrors;

    RolloutSimulation(FleetSize size, VersionBehavior behavior, boolean baseline, long seed) {
        mSize = size;
        mBehavior = behavior;
        mIsBaseline = baseline;
        mRandom = new SplittableRandom(seed * 31 + behavior.ordinal());
        RolloutSettings settings = createSettings();
        mController = RolloutController.of(InstanceId.of("c"), mState, settings, mRandom.split());
        for (int i = 0; i < size.mInstanceCount; i++) {
            InstanceId id = InstanceId.of("i" + i);
            mInstances.add(id);
            mTrafficSplits.add(LocalTrafficSplit.create());
            mCollectors.add(EvidenceCollector.of(id, 1, settings, mTrafficSplits.get(i)));
        }
        for (int i = 0; i < size.mSegmentCount; i++) {
            mSegments.add(new TrafficSegment(WorkspaceId.of("w" + i), RequestKind.CHAT));
        }
        for (int i = 0; i < size.mServerCount; i++) {
            mLoadedVersions.put(BackendId.of("b" + i), new HashSet<>(Set.of(OLD_VERSION)));
        }
        mIncidentStartMillis = mRandom.nextLong(size.mDeadlineMillis);
        mLateFaultMillis = size.mDeadlineMillis / 2;
    }

    private RolloutSettings createSettings() {
        RolloutSettings defaults = RolloutSettings.forFleet(mSize.mInstanceCount);
        return new RolloutSettings(
                mIsBaseline ? NO_FALSE_ALARMS : defaults.localFalseAlarmRate(),
                mIsBaseline ? NO_FALSE_ALARMS : defaults.fleetFalseAlarmRate(),
                defaults.reportNanos(),
                defaults.minStageNanos(),
                defaults.maxStageNanos(),
                defaults.minStageRequests(),
                defaults.minJudgedRequests(),
                defaults.maxConcurrentLoads(),
                defaults.loadTimeoutNanos(),
                defaults.loadEstimateNanos(),
                defaults.drainNanos());
    }

    /** Runs until the deadline, or until 10 s after all instances have the rollback. */
    Rollout run() {
        commit(
                new RolloutCommand.Start(
                        "start",
                        "op",
                        SERVICE,
                        OLD_VERSION,
                        NEW_VERSION,
                        mSize.mDeadlineMillis,
                        0.05,
                        false));
        handleEvent(new RolloutControllerEvent.LeadershipGained());
        long endMillis = mSize.mDeadlineMillis + 1_000;
        for (mNowMillis = STEP_MILLIS; mNowMillis < endMillis; mNowMillis += STEP_MILLIS) {
            while (!mQueue.isEmpty() && mQueue.peek().atMillis() <= mNowMillis) {
                mQueue.poll().action().run();
            }
            if (nowNanos() >= mController.nextTimerNanos()) {
                mController.onTimer(nowNanos(), this::handleOutput);
            }
            if (mNowMillis % 500 == 0) {
                announceServers();
                runCollectorTimers();
            }
            generateTraffic();
            if (mIsBaseline && mNowMillis % BASELINE_WINDOW_MILLIS == 0) {
                checkBaselineThreshold();
            }
            if (mFleetStopMillis >= 0 && mNowMillis > mFleetStopMillis + 10_000) {
                break;
            }
        }
        return mState.current().get(0);
    }

    int instanceCount() {
        return mSize.mInstanceCount;
    }

    /** Returns the simulated duration of the run. */
    double durationSeconds() {
        return mNowMillis / 1_000.0;
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
    }

    private void announceServers() {
        mLoadedVersions.forEach(
                (id, versions) ->
                        handleEvent(
                                new RolloutControllerEvent.BackendUpdated(
                                        new BackendStatus(
                                                id, SERVICE, mInstances.get(0), versions, true))));
    }

    private void runCollectorTimers() {
        for (int i = 0; i < mSize.mInstanceCount; i++) {
            int instance = i;
            if (nowNanos() >= mCollectors.get(i).nextTimerNanos()) {
                mCollectors
                        .get(i)
                        .onTimer(nowNanos(), output -> handleEvidenceOutput(instance, output));
            }
        }
    }

    private void handleEvent(RolloutControllerEvent event) {
        mController.onEvent(nowNanos(), event, this::handleOutput);
    }

    private void handleOutput(RolloutControllerOutput output) {
        if (output instanceof RolloutControllerOutput.Propose propose) {
            scheduleWithin(5, 30, () -> completeProposal(propose.command()));
        } else if (output instanceof RolloutControllerOutput.SendOrder send) {
            scheduleWithin(5, 30, () -> deliverOrder(send.order()));
        }
    }

    private void completeProposal(RolloutCommand command) {
        RolloutResult result = commit(command);
        handleEvent(
                new RolloutControllerEvent.ProposalEnded(command.requestId(), Optional.of(result)));
    }

    private void deliverOrder(ModelOrder order) {
        Set<ModelVersion> versions = mLoadedVersions.get(order.backend());
        if (order.kind() == OrderKind.UNLOAD) {
            versions.remove(order.version());
        } else {
            scheduleWithin(LOAD_MILLIS, 2 * LOAD_MILLIS, () -> versions.add(order.version()));
        }
    }

    private RolloutResult commit(RolloutCommand command) {
        long revisionBefore = revision();
        byte[] bytes = command.encode();
        RolloutResult result = RolloutResult.decode(mState.apply(++mLogIndex, mNowMillis, bytes));
        handleEvent(new RolloutControllerEvent.StateChanged());
        if (revision() != revisionBefore) {
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
            mRolledBackMillis = mNowMillis;
        }
        for (int i = 0; i < mSize.mInstanceCount; i++) {
            int instance = i;
            scheduleWithin(
                    mSize.mMinPropagationMillis,
                    mSize.mMaxPropagationMillis,
                    () -> handleEvidence(instance, new EvidenceEvent.RolloutsLearned(current)));
        }
        if (mRolledBackMillis == mNowMillis) {
            scheduleWithin(
                    mSize.mMaxPropagationMillis,
                    mSize.mMaxPropagationMillis + 1,
                    () -> mFleetStopMillis = mNowMillis);
        }
    }

    private void handleEvidence(int instance, EvidenceEvent event) {
        mCollectors
                .get(instance)
                .onEvent(nowNanos(), event, output -> handleEvidenceOutput(instance, output));
    }

    private void handleEvidenceOutput(int instance, EvidenceOutput output) {
        if (output instanceof EvidenceOutput.LocallyStopped && mLocalStopMillis < 0) {
            mLocalStopMillis = mNowMillis;
        } else if (output instanceof EvidenceOutput.ProposeReport report) {
            mReportBytes += report.command().encode().length;
            scheduleWithin(5, 60, () -> completeReport(instance, report.command()));
        }
    }

    private void completeReport(int instance, RolloutCommand command) {
        commit(command);
        handleEvidence(instance, new EvidenceEvent.ReportEnded(command.requestId()));
    }

    private void generateTraffic() {
        mDueRequests += mSize.mServerCount * REQUESTS_PER_SECOND_PER_SERVER * STEP_MILLIS / 1_000;
        for (; mDueRequests >= 1; mDueRequests--) {
            sendRequest(mRandom.nextInt(mSize.mInstanceCount));
        }
    }

    private void sendRequest(int instance) {
        ModelVersion version =
                mTrafficSplits
                        .get(instance)
                        .chooseVersion(SERVICE, OLD_VERSION, mRandom.nextLong());
        boolean isNew = version.equals(NEW_VERSION);
        // A few workspaces are large: squaring a uniform number makes low indexes more likely.
        double position = mRandom.nextDouble();
        int segment = (int) (position * position * mSize.mSegmentCount);
        LoadLevel level = LoadLevel.of(0.55 + 0.25 * mRandom.nextGaussian());
        boolean faulty = isNew && isFaulty(segment, level);
        if (faulty && mFirstFaultMillis < 0) {
            mFirstFaultMillis = mNowMillis;
        }
        if (mFirstFaultMillis >= 0) {
            mRequestsAfterFault++;
            mNewVersionRequestsAfterFault += isNew ? 1 : 0;
        }
        mWindowNewVersionRequests += isNew ? 1 : 0;
        boolean slow = faulty && mBehavior == VersionBehavior.SLOW_AT_ONCE;
        double errorRate = faulty && !slow ? 0.5 : errorRate(level);
        TrafficSegment key = mSegments.get(segment);
        if (mRandom.nextDouble() < errorRate) {
            mWindowNewVersionErrors += isNew ? 1 : 0;
            handleEvidence(instance, new EvidenceEvent.RequestFailed(SERVICE, version, key, level));
            return;
        }
        double latencyMillis = 250 * (1 + segment % 3) * (1 + level.ordinal() * 0.5);
        latencyMillis *= Math.exp(0.5 * mRandom.nextGaussian()) * (slow ? 3 : 1);
        handleEvidence(
                instance,
                new EvidenceEvent.RequestAnswered(
                        SERVICE, version, key, level, (long) (latencyMillis * 1_000_000)));
    }

    private boolean isFaulty(int segment, LoadLevel level) {
        return switch (mBehavior) {
            case GOOD -> false;
            case FAILS_AT_ONCE, SLOW_AT_ONCE -> true;
            case LATE -> mNowMillis >= mLateFaultMillis;
            case UNDER_LOAD -> level == LoadLevel.HIGH;
            case ONE_ROUTE -> segment == FAULTY_SEGMENT;
        };
    }

    /** Returns the error rate of both versions without the fault; incidents raise it. */
    private double errorRate(LoadLevel level) {
        boolean isIncident =
                mNowMillis >= mIncidentStartMillis
                        && mNowMillis < mIncidentStartMillis + INCIDENT_MILLIS;
        double baseRate = isIncident ? INCIDENT_ERROR_RATE : BASE_ERROR_RATE;
        return level == LoadLevel.HIGH ? 2 * baseRate : baseRate;
    }

    private void checkBaselineThreshold() {
        boolean isAboveThreshold =
                mWindowNewVersionRequests >= BASELINE_MIN_REQUESTS
                        && mWindowNewVersionErrors
                                > BASELINE_ERROR_RATE * mWindowNewVersionRequests;
        mWindowNewVersionRequests = 0;
        mWindowNewVersionErrors = 0;
        Rollout rollout = mState.current().get(0);
        if (isAboveThreshold && rollout.isRunning()) {
            commit(
                    new RolloutCommand.RollBack(
                            "baseline",
                            mState.authority(),
                            rollout.id(),
                            RolloutReason.ERRORS,
                            "threshold"));
        }
    }

    private void scheduleWithin(long minMillis, long maxMillis, Runnable action) {
        long millis = mNowMillis + mRandom.nextLong(minMillis, maxMillis);
        mQueue.add(new ScheduledAction(millis, mNextOrder++, action));
    }
}
