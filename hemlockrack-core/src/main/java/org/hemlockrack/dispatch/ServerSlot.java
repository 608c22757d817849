package org.hemlockrack.dispatch;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.registry.RegisteredServer;

/** One backend server in the pool: load, health and cold limit. */
final class ServerSlot {
    /** A failed connection suspends a server for this long, doubled for each further one. */
    private static final long SUSPEND_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Longest suspension; then one request tries the server again. */
    private static final long MAX_SUSPEND_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** A server that rejected a request is full for about the time that a plain request takes. */
    private static final long FULL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time in which the weight of an outcome falls to a half. */
    private static final double HEALTH_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Outcomes that are assumed to be good, so that one failure does not condemn a server. */
    private static final double PRIOR_OUTCOMES = 4;

    /**
     * A turn at a cold server lapses after this time. Unused turns of many gateways would otherwise
     * add up to a burst.
     */
    private static final long COLD_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final long mIdHash;

    RegisteredServer mServer;
    int mOwn;
    int mFleet;
    int mOwnAtReport;

    private long mFullUntilNanos;
    private int mSuspensions;
    private long mSuspendedUntilNanos;
    private double mFailures;
    private double mOutcomes;
    private long mHealthNanos;
    private final double mColdPhase;
    private boolean mColdStarted;
    private long mColdTurnNanos;
    private long mColdIntervalNanos;

    /**
     * Creates a slot.
     *
     * @param server the server
     * @param nowNanos monotonic time
     * @param coldPhase number from 0 to below 1 that spreads the turns of the gateways
     */
    ServerSlot(RegisteredServer server, long nowNanos, double coldPhase) {
        mColdPhase = coldPhase;
        mServer = server;
        mIdHash = PromptHash.of(server.registration().id().value());
        mSuspendedUntilNanos = nowNanos;
        mHealthNanos = nowNanos;
        mFullUntilNanos = nowNanos;
    }

    boolean isFull(long nowNanos) {
        return mFullUntilNanos - nowNanos > 0;
    }

    /** Requests of the whole fleet in progress here, as far as this gateway can know. */
    int load() {
        return Math.max(mOwn, mFleet - mOwnAtReport + mOwn);
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
        return mFailures / (mOutcomes + PRIOR_OUTCOMES);
    }

    void finished(long nowNanos, AttemptOutcome outcome) {
        mOwn = Math.max(0, mOwn - 1);
        if (outcome == AttemptOutcome.REJECTED) {
            mFullUntilNanos = nowNanos + FULL_NANOS;
        }
        if (outcome.isNeutral()) {
            return;
        }
        decay(nowNanos);
        mOutcomes++;
        if (!outcome.isFailure()) {
            mSuspensions = 0;
            return;
        }
        mFailures++;
        if (outcome.suspendsServer() && !isSuspended(nowNanos)) {
            long nanos = SUSPEND_NANOS << Math.min(3, mSuspensions);
            mSuspendedUntilNanos = nowNanos + Math.min(MAX_SUSPEND_NANOS, nanos);
            mSuspensions++;
        }
    }

    private void decay(long nowNanos) {
        double factor = Math.pow(0.5, (nowNanos - mHealthNanos) / HEALTH_HALF_LIFE_NANOS);
        mFailures *= factor;
        mOutcomes *= factor;
        mHealthNanos = nowNanos;
    }

    /** Returns whether the cold limit leaves room for one request now. */
    boolean coldRoom(long nowNanos, double perSecond) {
        long intervalNanos = (long) (NANOS_PER_SECOND / perSecond);
        long validNanos = Math.min(intervalNanos, COLD_TURN_NANOS);
        if (!mColdStarted) {
            mColdStarted = true;
            mColdTurnNanos = nowNanos + (long) (mColdPhase * intervalNanos) - validNanos;
        }
        long missedNanos = nowNanos - validNanos - mColdTurnNanos;
        if (missedNanos > 0) {
            long turns = (missedNanos + intervalNanos - 1) / intervalNanos;
            mColdTurnNanos += turns * intervalNanos;
        }
        mColdIntervalNanos = intervalNanos;
        return nowNanos - mColdTurnNanos >= 0;
    }

    void takeColdTurn() {
        mColdTurnNanos += mColdIntervalNanos;
    }
}
