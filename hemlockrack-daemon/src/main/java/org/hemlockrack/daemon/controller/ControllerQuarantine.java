package org.hemlockrack.daemon.controller;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.sync.ControllerLink;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.quarantine.CrashAnalysis;
import org.hemlockrack.quarantine.Cut;
import org.hemlockrack.quarantine.ServerActivity;
import org.hemlockrack.quarantine.Verdict;
import org.hemlockrack.wire.CrashEvidenceData;
import org.hemlockrack.wire.CutData;
import org.hemlockrack.wire.QuarantineData;
import org.hemlockrack.wire.SyncRequest;
import org.hemlockrack.wire.VerdictData;
import org.jspecify.annotations.Nullable;

/**
 * Collects what gateways saw of crashing servers and tells them which prompt parts to hold back.
 * Every controller decides by itself on the reports of all gateways, and adopts what the others
 * have decided. Nothing is on disk: a restarted controller gets the evidence and the decisions back
 * from the gateways. Thread-safe.
 */
public final class ControllerQuarantine {
    /** Least time between two analyses; a crash is reported by all gateways at about one time. */
    private static final long MIN_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** Evidence in one request; a request with more was not sent by a gateway of this fleet. */
    private static final int MAX_EVIDENCE = 1_024;

    private final CrashAnalysis mAnalysis;
    private final ServerActivity mActivity;
    private final DecisionLog mLog;
    private Set<String> mWatched = Set.of();
    private long mRevision = 1;
    private boolean mHasNewEvidence;
    private long mEvaluatedNanos;

    private ControllerQuarantine(long nowNanos, ServerActivity activity, DecisionLog log) {
        mAnalysis = CrashAnalysis.create(nowNanos);
        mEvaluatedNanos = nowNanos;
        mActivity = activity;
        mLog = log;
    }

    static ControllerQuarantine create(long nowNanos, ServerActivity activity, DecisionLog log) {
        return new ControllerQuarantine(nowNanos, activity, log);
    }

    /**
     * Records what a gateway reports.
     *
     * @param nowNanos monotonic time at which the request arrived
     * @param request the request
     */
    synchronized void record(long nowNanos, SyncRequest request) {
        if (request.isSetCrashEvidence()) {
            request.getCrashEvidence().stream()
                    .limit(MAX_EVIDENCE)
                    .forEach(each -> recordEvidence(nowNanos, each));
        }
        if (request.isSetVerdicts()) {
            adopt(nowNanos, request.getVerdicts(), request.getSender());
        }
        if (mHasNewEvidence && nowNanos - mEvaluatedNanos >= MIN_PERIOD_NANOS) {
            evaluate(nowNanos);
        }
    }

    private void recordEvidence(long nowNanos, CrashEvidenceData data) {
        long atNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(data.getAgeMillis());
        CutData cut = data.getCut();
        if (cut != null) {
            mAnalysis.recordCut(
                    nowNanos,
                    new Cut(
                            BackendId.of(cut.getServer()),
                            cut.getBornMillis(),
                            cut.getAttemptHash(),
                            cut.getParts(),
                            cut.getOwnPart()),
                    atNanos);
        }
        if (data.getAnsweredPart() != null) {
            mAnalysis.recordAnswer(data.getAnsweredPart(), atNanos);
        }
        mHasNewEvidence = true;
    }

    /** Returns the state that a caller lacks, or null if it has all of it. */
    synchronized @Nullable QuarantineData changesSince(long nowNanos, long revision) {
        if (revision == mRevision) {
            return null;
        }
        List<VerdictData> verdicts =
                mAnalysis.verdicts().all().stream().map(each -> each.toData(nowNanos)).toList();
        return new QuarantineData(mRevision, verdicts, List.copyOf(mWatched));
    }

    /** Adopts the decisions of another instance. */
    synchronized void adopt(long nowNanos, List<VerdictData> verdicts, String sender) {
        for (VerdictData data : verdicts) {
            Verdict verdict = Verdict.of(data, nowNanos);
            if (verdict != null && mAnalysis.verdicts().merge(verdict)) {
                log(nowNanos, verdict, sender);
                mRevision++;
            }
        }
    }

    /** Sets the number of gateways, on which the time between two of their reports depends. */
    synchronized void setGatewayCount(int gateways) {
        mAnalysis.setExchangePeriod(ControllerLink.periodNanos(gateways));
    }

    /** Decides anew, so that decisions also change when no evidence arrives. */
    synchronized void evaluate(long nowNanos) {
        mEvaluatedNanos = nowNanos;
        mHasNewEvidence = false;
        List<Verdict> made = mAnalysis.evaluate(nowNanos, mActivity);
        made.forEach(verdict -> log(nowNanos, verdict, null));
        Set<String> watched = new HashSet<>(mAnalysis.watchedParts());
        if (!made.isEmpty() || !watched.equals(mWatched)) {
            mWatched = watched;
            mRevision++;
        }
    }

    private void log(long nowNanos, Verdict verdict, @Nullable String sender) {
        mLog.instanceEvent(verdict.reason().holds() ? "part_held" : "part_lifted")
                .put("part", verdict.part())
                .put("reason", verdict.reason().name())
                .put("crashes", verdict.crashes())
                .put("holds", verdict.holds())
                .put("for_ms", verdict.remainingMillis(nowNanos))
                .put("from", sender)
                .write();
    }

    /** Returns the newest decision about each part. */
    public synchronized Collection<Verdict> verdicts() {
        return mAnalysis.verdicts().all();
    }

    synchronized int heldParts(long nowNanos) {
        return mAnalysis.verdicts().allInForce(nowNanos).size();
    }

    /** Returns the newest decision about a part, or null if there is none. */
    synchronized @Nullable Verdict verdict(String part) {
        return mAnalysis.verdicts().find(part);
    }

    /**
     * Lifts a decision for the whole fleet.
     *
     * @param nowNanos monotonic time
     * @param verdict the decision
     * @return false if a newer decision about the part was made since
     */
    synchronized boolean lift(long nowNanos, Verdict verdict) {
        if (!verdict.equals(mAnalysis.verdicts().find(verdict.part()))) {
            return false;
        }
        Verdict lifted = mAnalysis.lift(nowNanos, verdict.part());
        if (lifted == null) {
            return false;
        }
        log(nowNanos, lifted, null);
        mRevision++;
        return true;
    }
}
