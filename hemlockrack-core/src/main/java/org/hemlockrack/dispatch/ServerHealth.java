package org.hemlockrack.dispatch;

import java.util.concurrent.TimeUnit;

/** Failures and rejections of one server. Not thread-safe; time is monotonic and passed in. */
final class ServerHealth {
    /** First suspension after a failure; doubled for each further one without a success between. */
    private static final long FIRST_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Longest suspension; requests use the server again after it. */
    private static final long MAX_SUSPENSION_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Time for which a server counts as full after a rejection: about that of a plain request. */
    private static final long FULL_AFTER_REJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Half-life of the weight of an outcome in the failure rate. */
    private static final double HEALTH_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Assumed earlier successes, so that one failure does not exclude a server. */
    private static final double PRIOR_OUTCOMES = 4;

    private long mFullUntilNanos;
    private int mConsecutiveSuspensions;
    private long mSuspendedUntilNanos;
    private double mDecayedFailures;
    private double mDecayedOutcomes;
    private long mLastDecayNanos;

    ServerHealth(long nowNanos) {
        mSuspendedUntilNanos = nowNanos;
        mLastDecayNanos = nowNanos;
        mFullUntilNanos = nowNanos;
    }

    /** Returns whether the server has just rejected a request. */
    boolean isFull(long nowNanos) {
        return mFullUntilNanos - nowNanos > 0;
    }

    boolean isSuspended(long nowNanos) {
        return mSuspendedUntilNanos - nowNanos > 0;
    }

    /** Returns the share of recent attempts that failed. */
    double failureRate(long nowNanos) {
        double factor = decayFactor(nowNanos);
        return factor * mDecayedFailures / (factor * mDecayedOutcomes + PRIOR_OUTCOMES);
    }

    void recordOutcome(long nowNanos, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.REJECTED) {
            mFullUntilNanos = nowNanos + FULL_AFTER_REJECTION_NANOS;
        }
        if (outcome.isNeutral()) {
            return;
        }
        decay(nowNanos);
        mDecayedOutcomes++;
        if (!outcome.isFailure()) {
            mConsecutiveSuspensions = 0;
            return;
        }
        mDecayedFailures++;
        if (outcome.suspendsServer() && !isSuspended(nowNanos)) {
            long suspensionNanos = FIRST_SUSPENSION_NANOS << Math.min(3, mConsecutiveSuspensions);
            mSuspendedUntilNanos = nowNanos + Math.min(MAX_SUSPENSION_NANOS, suspensionNanos);
            mConsecutiveSuspensions++;
        }
    }

    private void decay(long nowNanos) {
        double factor = decayFactor(nowNanos);
        mDecayedFailures *= factor;
        mDecayedOutcomes *= factor;
        mLastDecayNanos = nowNanos;
    }

    private double decayFactor(long nowNanos) {
        return Math.pow(0.5, (nowNanos - mLastDecayNanos) / HEALTH_HALF_LIFE_NANOS);
    }
}
