package org.hemlockrack.daemon.controller;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.duties.DutyCommand;
import org.hemlockrack.duties.DutyState;
import org.hemlockrack.duties.UsageCollector;
import org.hemlockrack.duties.UsageSchedule;
import org.hemlockrack.duties.UsageWindow;
import org.hemlockrack.wire.DutyCommandData;

/**
 * Fixes the counts of ended windows in the log and reports them. Guarded by {@link DutyService}.
 */
final class MeteringDuty {
    /** Time until a command that was not applied is proposed again. */
    private static final long PROPOSAL_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final UsageSchedule mSchedule;
    private final UsageCollector mCollector;
    private final DutyCaller mCaller;
    private final DutyCalls mCalls;
    private final DutyReplica mReplica;
    private final DecisionLog mLog;

    /** Windows that the platform accepted and that the log may not show as reported yet. */
    private final Set<Long> mAccepted = new HashSet<>();

    private final Map<Long, Integer> mTries = new HashMap<>();
    private final Map<Long, Long> mProposedNanos = new HashMap<>();
    private long mToken;
    private long mHeldSinceWindow;

    MeteringDuty(
            UsageSchedule schedule,
            UsageCollector collector,
            DutyCaller caller,
            DutyCalls calls,
            DutyReplica replica,
            DecisionLog log) {
        mSchedule = schedule;
        mCollector = collector;
        mCaller = caller;
        mCalls = calls;
        mReplica = replica;
        mLog = log;
    }

    /** Records that this process holds the duty, whether it may act yet or not. */
    void observe(long fleetMillis, long token) {
        if (mToken != token) {
            mToken = token;
            mHeldSinceWindow = mSchedule.windowAt(fleetMillis);
            mTries.clear();
            mProposedNanos.clear();
        }
    }

    /** Runs what is due. Called only while the lease allows to act. */
    void run(DutyState state, DutyTenure tenure, long fleetMillis, long nowNanos) {
        for (UsageWindow window :
                mSchedule.due(state, mCollector, mHeldSinceWindow, fleetMillis, nowNanos)) {
            propose(window.id(), DutyCommand.commitUsage(window), nowNanos);
        }
        forgetOld(state);
        for (long id : mAccepted) {
            if (!state.isReported(id)) {
                propose(id, DutyCommand.markReported(id), nowNanos);
            }
        }
        UsageWindow next = mSchedule.unreported(state, mAccepted, mTries);
        if (next != null && mCaller.isFree(nowNanos)) {
            report(tenure, next, fleetMillis);
        }
    }

    private void report(DutyTenure tenure, UsageWindow window, long fleetMillis) {
        int tries = mTries.merge(window.id(), 1, Integer::sum);
        long token = tenure.lease().token();
        mCaller.call(
                tenure,
                mCalls.reportUsage(tenure.holder(), window),
                answer -> onAnswer(window, token, tries, fleetMillis, answer));
    }

    private void onAnswer(
            UsageWindow window, long token, int tries, long fleetMillis, DutyAnswer answer) {
        mLog.instanceEvent(answer == DutyAnswer.ACCEPTED ? "usage_reported" : "usage_not_accepted")
                .put("window", window.id())
                .put("workspaces", window.counts().size())
                .put("requests", window.counts().values().stream().mapToLong(c -> c).sum())
                .put("token", token)
                .put("tries", tries)
                .put("answer", answer.name())
                .put("age_ms", fleetMillis - mSchedule.endMillis(window.id()))
                .write();
        if (answer == DutyAnswer.ACCEPTED) {
            mAccepted.add(window.id());
            mProposedNanos.remove(window.id());
        }
    }

    private void propose(long windowId, DutyCommandData command, long nowNanos) {
        Long proposedNanos = mProposedNanos.get(windowId);
        if (proposedNanos != null && nowNanos - proposedNanos < PROPOSAL_PERIOD_NANOS) {
            return;
        }
        mProposedNanos.put(windowId, nowNanos);
        mReplica.propose(command);
    }

    private void forgetOld(DutyState state) {
        mAccepted.removeIf(id -> state.isReported(id) || state.window(id) == null);
        mTries.keySet().removeIf(id -> state.isReported(id) || state.window(id) == null);
        mProposedNanos.keySet().removeIf(id -> state.isReported(id));
    }
}
