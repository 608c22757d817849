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
import org.hemlockrack.rollout.EvidenceCell;
import org.hemlockrack.rollout.EvidenceEvent;
import org.hemlockrack.rollout.EvidenceReport;
import org.hemlockrack.rollout.Finding;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutCommand;
import org.hemlockrack.rollout.RolloutSettings;
import org.hemlockrack.rollout.VersionStats;
import org.jspecify.annotations.Nullable;

/** Evidence of this instance on one running roll-out, and what of it is still to be reported. */
public final class LocalEvidence {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** A fault is repeated this often until the roll-out has ended. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Pause before the next report if not all cells fitted into one. */
    private static final long BACKLOG_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final InstanceId mInstance;
    private final long mIncarnation;
    private final RolloutSettings mSettings;
    private final long mStartNanos;
    private final EvidenceTable mTable = EvidenceTable.create();
    private final FaultDetector mDetector;
    private final Map<CellKey, Comparison> mPending = new LinkedHashMap<>();
    private Rollout mRollout;
    private @Nullable CellKey mChanged;
    private @Nullable EvidenceReport mUnconfirmed;
    private @Nullable Finding mFault;
    private boolean mBacklog;
    private boolean mFlush;
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
     * Creates evidence without requests.
     *
     * @param rollout the roll-out
     * @param instance this instance
     * @param incarnation incarnation of its process
     * @param settings settings
     * @param nowNanos monotonic time
     * @return the evidence
     */
    public static LocalEvidence of(
            Rollout rollout,
            InstanceId instance,
            long incarnation,
            RolloutSettings settings,
            long nowNanos) {
        return new LocalEvidence(rollout, instance, incarnation, settings, nowNanos);
    }

    /** Returns the roll-out at the stage in which evidence is collected. */
    public Rollout rollout() {
        return mRollout;
    }

    /** Returns whether the next report is about a fault. */
    public boolean urgent() {
        return mFault != null;
    }

    /**
     * Counts an answer.
     *
     * @param nowNanos monotonic time
     * @param event the answer
     */
    public void answered(long nowNanos, EvidenceEvent.RequestAnswered event) {
        VersionStats stats = VersionStats.create();
        stats.addAnswer(event.firstTokenNanos());
        add(nowNanos, new CellKey(event.route(), event.level()), event.version(), stats);
    }

    /**
     * Counts a failure.
     *
     * @param nowNanos monotonic time
     * @param event the failure
     */
    public void failed(long nowNanos, EvidenceEvent.RequestFailed event) {
        VersionStats stats = VersionStats.create();
        stats.addError();
        add(nowNanos, new CellKey(event.route(), event.level()), event.version(), stats);
    }

    /** Returns the fault that the evidence shows after the last request, if it shows one. */
    public Optional<Finding> judge() {
        if (mChanged == null) {
            return Optional.empty();
        }
        return mDetector.test(mTable, mRollout.stage(), List.of(mChanged));
    }

    /**
     * Begins to report a fault.
     *
     * @param finding the fault
     */
    public void stop(Finding finding) {
        mFault = finding;
        mFlush = true;
    }

    /** Makes the next report due at once; evidence of a stage is of no use in the next. */
    public void flush() {
        mFlush = true;
    }

    /**
     * Moves to another stage. Evidence that was not reported by then is dropped.
     *
     * @param rollout the roll-out at its new stage
     */
    public void moveTo(Rollout rollout) {
        mRollout = rollout;
        mTable.nextStage();
        mPending.clear();
        mFlush = false;
        mBacklog = false;
    }

    /**
     * Forgets a report that needs no more repetition.
     *
     * @param requestId request id of its command
     */
    public void reportEnded(String requestId) {
        EvidenceReport report = mUnconfirmed;
        boolean mine =
                report != null
                        && new RolloutCommand.ReportEvidence(report).requestId().equals(requestId);
        if (mine) {
            mUnconfirmed = null;
        }
    }

    /** Returns when the next report is due. */
    public long nextReportNanos() {
        if (mFlush) {
            return mReportedNanos;
        }
        if (mFault != null) {
            return mReportedNanos + RETRY_NANOS;
        }
        return mReportedNanos + (mBacklog ? BACKLOG_NANOS : mSettings.reportNanos());
    }

    /**
     * Returns what is to be reported now.
     *
     * @param nowNanos monotonic time
     * @param sequence sequence number for a new report
     * @return the command, empty if there is nothing to report
     */
    public Optional<RolloutCommand> nextReport(long nowNanos, long sequence) {
        mReportedNanos = nowNanos;
        mFlush = false;
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

    private void add(long nowNanos, CellKey key, ModelVersion version, VersionStats stats) {
        mTable.moveTo((nowNanos - mStartNanos) / WINDOW_NANOS);
        boolean isNew = version.equals(mRollout.to());
        VersionStats none = VersionStats.create();
        CellKey known = mTable.add(key, isNew ? stats : none, isNew ? none : stats);
        mPending.computeIfAbsent(known, any -> Comparison.create())
                .add(isNew ? stats : none, isNew ? none : stats);
        mChanged = known;
    }

    /**
     * Takes the cells in the order of their first requests. When and what is reported must not
     * depend on the outcome of requests: early news of failures, with the answers still to come,
     * would look like a higher failure rate. Cells without a request of the new version are kept
     * back, since they compare nothing yet.
     */
    private List<EvidenceCell> takePending() {
        List<EvidenceCell> cells = new ArrayList<>();
        mBacklog = false;
        Iterator<Map.Entry<CellKey, Comparison>> each = mPending.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<CellKey, Comparison> entry = each.next();
            Comparison pair = entry.getValue();
            if (pair.newer().requests() == 0) {
                continue;
            }
            if (cells.size() == EvidenceReport.MAX_CELLS) {
                mBacklog = true;
                break;
            }
            CellKey key = entry.getKey();
            cells.add(new EvidenceCell(key.route(), key.level(), pair.newer(), pair.older()));
            each.remove();
        }
        return cells;
    }
}
