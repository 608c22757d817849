package org.hemlockrack.rollout.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.rollout.DetectedFault;
import org.hemlockrack.rollout.EvidenceCell;
import org.hemlockrack.rollout.EvidenceEvent;
import org.hemlockrack.rollout.EvidenceReport;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutCommand;
import org.hemlockrack.rollout.RolloutSettings;
import org.hemlockrack.rollout.VersionStats;
import org.jspecify.annotations.Nullable;

/**
 * Request statistics of this instance for one running roll-out, and the part that is not reported
 * yet.
 */
public final class LocalEvidence {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Interval at which a fault is reported again until the roll-out has ended. */
    private static final long FAULT_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Delay before the next report if not all cells fitted into one. */
    private static final long BACKLOG_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final InstanceId mInstance;
    private final long mIncarnation;
    private final RolloutSettings mSettings;
    private final long mStartNanos;
    private final EvidenceTable mTable = EvidenceTable.create();
    private final FaultDetector mDetector;
    private final Map<CellKey, VersionComparison> mPending = new LinkedHashMap<>();
    private Rollout mRollout;
    private @Nullable CellKey mLastChangedCell;
    private @Nullable EvidenceReport mUnconfirmed;
    private @Nullable DetectedFault mFault;
    private boolean mHasBacklog;
    private boolean mReportRequested;
    private long mReportedNanos;

    private LocalEvidence(
            Rollout rollout,
            InstanceId instance,
            long incarnation,
            RolloutSettings settings,
            long nowNanos) {
        mRollout = rollout;
        mInstance = instance;
        mIncarnation = incarnation;
        mSettings = settings;
        mStartNanos = nowNanos;
        mReportedNanos = nowNanos;
        mDetector = FaultDetector.of(settings.localFalseAlarmRate());
    }

    /**
     * Creates statistics without requests.
     *
     * @param rollout the roll-out
     * @param instance this instance
     * @param incarnation incarnation of its process
     * @param settings settings
     * @param nowNanos monotonic time
     * @return the statistics
     */
    public static LocalEvidence of(
            Rollout rollout,
            InstanceId instance,
            long incarnation,
            RolloutSettings settings,
            long nowNanos) {
        return new LocalEvidence(rollout, instance, incarnation, settings, nowNanos);
    }

    /** Returns the roll-out at the stage for which statistics are collected. */
    public Rollout rollout() {
        return mRollout;
    }

    /** Returns whether the next report is about a fault. */
    public boolean isUrgent() {
        return mFault != null;
    }

    /**
     * Records a request that was answered.
     *
     * @param nowNanos monotonic time
     * @param event the answer
     */
    public void recordAnswer(long nowNanos, EvidenceEvent.RequestAnswered event) {
        VersionStats stats = VersionStats.create();
        stats.addAnswer(event.firstTokenNanos());
        addStats(nowNanos, new CellKey(event.segment(), event.level()), event.version(), stats);
    }

    /**
     * Records a request that failed.
     *
     * @param nowNanos monotonic time
     * @param event the failure
     */
    public void recordFailure(long nowNanos, EvidenceEvent.RequestFailed event) {
        VersionStats stats = VersionStats.create();
        stats.addError();
        addStats(nowNanos, new CellKey(event.segment(), event.level()), event.version(), stats);
    }

    /**
     * Tests the statistics after the last recorded request and returns the fault, if they show one.
     */
    public Optional<DetectedFault> detectFault() {
        if (mLastChangedCell == null) {
            return Optional.empty();
        }
        return mDetector.test(mTable, mRollout.stage(), List.of(mLastChangedCell));
    }

    /**
     * Reports a fault from now on instead of statistics.
     *
     * @param fault the fault
     */
    public void startReportingFault(DetectedFault fault) {
        mFault = fault;
        mReportRequested = true;
    }

    /**
     * Makes the next report due at once. Called when the stage changes, because statistics of a
     * stage are not counted in the next one.
     */
    public void requestReport() {
        mReportRequested = true;
    }

    /**
     * Starts another stage and drops the statistics that are not reported yet.
     *
     * @param rollout the roll-out at its new stage
     */
    public void enterStage(Rollout rollout) {
        mRollout = rollout;
        mTable.startNextStage();
        mPending.clear();
        mReportRequested = false;
        mHasBacklog = false;
    }

    /**
     * Stops the retries of a report.
     *
     * @param requestId request id of its command
     */
    public void onReportEnded(String requestId) {
        EvidenceReport report = mUnconfirmed;
        boolean isPending =
                report != null
                        && new RolloutCommand.ReportEvidence(report).requestId().equals(requestId);
        if (isPending) {
            mUnconfirmed = null;
        }
    }

    /** Returns when the next report is due. */
    public long nextReportNanos() {
        if (mReportRequested) {
            return mReportedNanos;
        }
        if (mFault != null) {
            return mReportedNanos + FAULT_RETRY_NANOS;
        }
        return mReportedNanos + (mHasBacklog ? BACKLOG_REPORT_NANOS : mSettings.reportNanos());
    }

    /**
     * Returns the report that is due.
     *
     * @param nowNanos monotonic time
     * @param sequence sequence number for a new report
     * @return the command, empty if there is nothing to report
     */
    public Optional<RolloutCommand> nextReport(long nowNanos, long sequence) {
        mReportedNanos = nowNanos;
        mReportRequested = false;
        if (mFault != null) {
            String id = mInstance + "/" + mIncarnation + "/fault/" + mRollout.id();
            return Optional.of(new RolloutCommand.ReportFault(id, mRollout.id(), mFault));
        }
        if (mUnconfirmed == null) {
            List<EvidenceCell> cells = takePending();
            if (cells.isEmpty()) {
                return Optional.empty();
            }
            mUnconfirmed =
                    new EvidenceReport(
                            mRollout.id(),
                            mRollout.stage(),
                            mInstance,
                            mIncarnation,
                            sequence,
                            cells);
        }
        return Optional.of(new RolloutCommand.ReportEvidence(mUnconfirmed));
    }

    private void addStats(long nowNanos, CellKey key, ModelVersion version, VersionStats stats) {
        mTable.advanceToWindow((nowNanos - mStartNanos) / WINDOW_NANOS);
        boolean isNew = version.equals(mRollout.to());
        VersionStats none = VersionStats.create();
        CellKey cellKey = mTable.add(key, isNew ? stats : none, isNew ? none : stats);
        mPending.computeIfAbsent(cellKey, any -> VersionComparison.create())
                .add(isNew ? stats : none, isNew ? none : stats);
        mLastChangedCell = cellKey;
    }

    /**
     * Removes pending cells in the order of their first requests. Time and content of a report must
     * not depend on the outcomes of requests: if failures were reported before successes, the
     * failure rate would look higher than it is. Cells without a request of the new version stay
     * pending, because they cannot be compared yet.
     */
    private List<EvidenceCell> takePending() {
        List<EvidenceCell> cells = new ArrayList<>();
        mHasBacklog = false;
        Iterator<Map.Entry<CellKey, VersionComparison>> entries = mPending.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<CellKey, VersionComparison> entry = entries.next();
            VersionComparison pair = entry.getValue();
            if (pair.newer().requests() == 0) {
                continue;
            }
            if (cells.size() == EvidenceReport.MAX_CELLS) {
                mHasBacklog = true;
                break;
            }
            CellKey key = entry.getKey();
            cells.add(new EvidenceCell(key.segment(), key.level(), pair.newer(), pair.older()));
            entries.remove();
        }
        return cells;
    }
}
