package org.hemlockrack.daemon.controller;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.duties.Duty;
import org.hemlockrack.duties.DutyCommand;
import org.hemlockrack.duties.DutyHolder;
import org.hemlockrack.duties.DutyLease;
import org.hemlockrack.duties.DutyState;
import org.jspecify.annotations.Nullable;

/** Takes one duty for this process while it leads the log. Guarded by {@link DutyService}. */
final class DutyTenure {
    /** Time until an order to take the duty that was not applied is proposed again. */
    private static final long PROPOSAL_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Duty mDuty;
    private final String mMachine;
    private final String mIncarnation;
    private final DutyReplica mReplica;
    private final DecisionLog mLog;
    private final DutyLease mLease;
    private final long mRetakeNanos;
    private boolean mFollowsOther;
    private boolean mProposed;
    private long mProposedNanos;

    DutyTenure(
            Duty duty,
            String machine,
            String incarnation,
            DutySettings settings,
            DutyReplica replica,
            DecisionLog log) {
        mDuty = duty;
        mMachine = machine;
        mIncarnation = incarnation;
        mReplica = replica;
        mLog = log;
        mLease = DutyLease.create(settings.leaseMillis(), settings.fenced());
        mRetakeNanos = TimeUnit.MILLISECONDS.toNanos(settings.leaseMillis());
    }

    DutyLease lease() {
        return mLease;
    }

    /** Returns this process as the holder under its token. */
    DutyHolder holder() {
        return new DutyHolder(mLease.token(), mMachine, mIncarnation);
    }

    /** Ends the tenure because this process does not lead the log. */
    void end() {
        if (mLease.token() != 0) {
            mLog.instanceEvent("duty_left")
                    .put("duty", mDuty.id())
                    .put("token", mLease.token())
                    .write();
        }
        mLease.revoke();
        mProposed = false;
    }

    /**
     * Takes the duty unless this process holds it. After a refusal it is taken again, which gives a
     * higher token: while this process leads, no other one can have taken the duty.
     */
    void run(DutyState state, long nowNanos, long nowWallMillis) {
        DutyHolder current = state.holder(mDuty);
        boolean holds = current != null && current.isProcess(mMachine, mIncarnation);
        if (!holds && mLease.token() != 0) {
            end();
        }
        if (holds && current != null && mLease.token() != current.token()) {
            mLease.recordToken(nowNanos, current.token(), mFollowsOther);
            mLog.instanceEvent("duty_taken")
                    .put("duty", mDuty.id())
                    .put("token", current.token())
                    .put("waits", mFollowsOther ? "yes" : "no")
                    .write();
        }
        if (holds && !mLease.isRefused() || !mLease.isConfirmed(nowNanos, nowWallMillis)) {
            return;
        }
        propose(current, holds, nowNanos);
    }

    private void propose(@Nullable DutyHolder current, boolean holds, long nowNanos) {
        long pauseNanos = holds ? mRetakeNanos : PROPOSAL_PERIOD_NANOS;
        if (mProposed && nowNanos - mProposedNanos < pauseNanos) {
            return;
        }
        mProposed = true;
        mProposedNanos = nowNanos;
        mFollowsOther = current != null && !holds;
        long expectedToken = current == null ? 0 : current.token();
        mReplica.propose(DutyCommand.take(mDuty, mMachine, mIncarnation, expectedToken));
    }
}
