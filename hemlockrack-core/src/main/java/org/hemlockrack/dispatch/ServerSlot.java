package org.hemlockrack.dispatch;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.registry.RegisteredServer;

/** State of one backend server in the pool: load, health and cold-start pacing. */
final class ServerSlot {
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

    /**
     * A permit for a request to a cold server expires after this time. Unused permits of many
     * gateways would otherwise add up to a burst.
     */
    private static final long COLD_PERMIT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final long mIdHash;

    RegisteredServer mServer;
    int mOwnRequests;
    int mFleetRequests;
    int mOwnRequestsAtReport;

    final ServerStatement mStatement = new ServerStatement();

    private long mFullUntilNanos;
    private int mConsecutiveSuspensions;
    private long mSuspendedUntilNanos;
    private double mDecayedFailures;
    private double mDecayedOutcomes;
    private long mLastDecayNanos;
    private final double mColdPhase;
    private boolean mColdPacingStarted;
    private long mNextColdPermitNanos;
    private long mColdPermitIntervalNanos;

    /**
     * Creates a slot.
     *
     * @param server the server
     * @param nowNanos monotonic time
     * @param coldPhase number in [0, 1) that spreads the permits of the gateways over an interval
     */
    ServerSlot(RegisteredServer server, long nowNanos, double coldPhase) {
        mColdPhase = coldPhase;
        mServer = server;
        mIdHash = PromptHash.of(server.registration().id().value());
        mSuspendedUntilNanos = nowNanos;
        mLastDecayNanos = nowNanos;
        mFullUntilNanos = nowNanos;
    }

    boolean isFull(long nowNanos) {
        return mFullUntilNanos - nowNanos > 0;
    }

    /** Returns the estimated number of requests that all gateways have in progress here. */
    int load() {
        return Math.max(mOwnRequests, mFleetRequests - mOwnRequestsAtReport + mOwnRequests);
    }

    long idHash() {
        return mIdHash;
    }

    int slots() {
        return Math.max(1, mServer.registration().slots());
    }

    boolean isSuspended(long nowNanos) {
        return mSuspendedUntilNanos - nowNanos > 0;
    }

    double failureRate(long nowNanos) {
        decay(nowNanos);
        return mDecayedFailures / (mDecayedOutcomes + PRIOR_OUTCOMES);
    }

    void recordOutcome(long nowNanos, AttemptOutcome outcome) {
        mOwnRequests = Math.max(0, mOwnRequests - 1);
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
        double factor = Math.pow(0.5, (nowNanos - mLastDecayNanos) / HEALTH_HALF_LIFE_NANOS);
        mDecayedFailures *= factor;
        mDecayedOutcomes *= factor;
        mLastDecayNanos = nowNanos;
    }

    /**
     * Returns whether the rate limit of a cold server permits one request; drops expired permits.
     */
    boolean hasColdCapacity(long nowNanos, double perSecond) {
        long intervalNanos = (long) (NANOS_PER_SECOND / perSecond);
        long validNanos = Math.min(intervalNanos, COLD_PERMIT_LIFETIME_NANOS);
        if (!mColdPacingStarted) {
            mColdPacingStarted = true;
            mNextColdPermitNanos = nowNanos + (long) (mColdPhase * intervalNanos) - validNanos;
        }
        long overdueNanos = nowNanos - validNanos - mNextColdPermitNanos;
        if (overdueNanos > 0) {
            long skippedPermits = (overdueNanos + intervalNanos - 1) / intervalNanos;
            mNextColdPermitNanos += skippedPermits * intervalNanos;
        }
        mColdPermitIntervalNanos = intervalNanos;
        return nowNanos - mNextColdPermitNanos >= 0;
    }

    void takeColdPermit() {
        mNextColdPermitNanos += mColdPermitIntervalNanos;
    }
}
