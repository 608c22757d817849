package org.hemlockrack.daemon.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Tells whether the view of a gateway may rest on the newest table. Written on the loop, read from
 * any thread.
 */
final class ViewFreshness {
    /** A view that no controller has confirmed for this long may be outdated. */
    private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private volatile long mConfirmedNanos;
    private volatile boolean mEverConfirmed;
    private volatile long mNewestVersion;
    private volatile long mNewestSinceNanos;

    private ViewFreshness(long nowNanos) {
        mConfirmedNanos = nowNanos;
        mNewestSinceNanos = nowNanos;
    }

    /** Creates the freshness of a view that no controller has confirmed. */
    static ViewFreshness create(long nowNanos) {
        return new ViewFreshness(nowNanos);
    }

    /**
     * Records the table that a controller has committed.
     *
     * @param nowNanos monotonic time
     * @param tableVersion version of the table
     */
    void recordReport(long nowNanos, long tableVersion) {
        if (tableVersion > mNewestVersion) {
            mNewestVersion = tableVersion;
            mNewestSinceNanos = nowNanos;
        }
    }

    /**
     * Records that the view includes what a controller has reported, its table excepted.
     *
     * @param requestNanos time at which the report was requested; a report that was held up may
     *     describe a state as old as that
     */
    void recordConfirmation(long requestNanos) {
        if (!mEverConfirmed || requestNanos - mConfirmedNanos > 0) {
            mConfirmedNanos = requestNanos;
        }
        mEverConfirmed = true;
    }

    /** Returns whether any controller has ever reported committed state. */
    boolean everConfirmed() {
        return mEverConfirmed;
    }

    /** Returns whether a controller has reported committed state recently. */
    boolean isConfirmed(long nowNanos) {
        return mEverConfirmed && ageNanos(nowNanos) < STALE_NANOS;
    }

    /**
     * Returns whether a table may be taken for the newest one. A table is outdated as soon as a
     * controller reports a newer one, even while the newer one is still being fetched.
     *
     * @param nowNanos monotonic time
     * @param tableVersion version of the table
     */
    boolean isNewest(long nowNanos, long tableVersion) {
        return isConfirmed(nowNanos) && tableVersion >= mNewestVersion;
    }

    /**
     * Returns the time since a controller last reported committed state, or since the creation if
     * none has.
     */
    long ageNanos(long nowNanos) {
        return nowNanos - mConfirmedNanos;
    }

    /** Returns the highest version of a committed table that a controller has reported. */
    long newestVersion() {
        return mNewestVersion;
    }

    /** Returns the time since {@link #newestVersion()} was first reported. */
    long newestAgeNanos(long nowNanos) {
        return nowNanos - mNewestSinceNanos;
    }
}
