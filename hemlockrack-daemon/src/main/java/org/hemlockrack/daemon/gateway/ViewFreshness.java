package org.hemlockrack.daemon.gateway;

import org.hemlockrack.daemon.sync.ConfirmedTime;
import org.hemlockrack.wire.SyncReply;
import org.jspecify.annotations.Nullable;

/**
 * Tells whether the view of a gateway may rest on the newest table. Written on the loop, read from
 * any thread.
 */
final class ViewFreshness {
    /** A view that no majority has confirmed for this long may be outdated. */
    private static final long STALE_NANOS = TableStanding.MAX_AGE_NANOS;

    private final ConfirmedTime mConfirmed = ConfirmedTime.unknown();

    /** The newest time by which the table in force is known to have been the newest one. */
    private final ConfirmedTime mTableConfirmed = ConfirmedTime.unknown();

    private final long mStartNanos;
    private volatile long mNewestVersion;
    private volatile long mNewestSinceNanos;

    private ViewFreshness(long nowNanos) {
        mStartNanos = nowNanos;
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
     * Records that the view holds what a controller has reported, its table excepted.
     *
     * @param reply the report
     * @param requestNanos monotonic time of the request for it
     * @param tableVersion version of the table in force
     */
    void recordConfirmation(SyncReply reply, long requestNanos, long tableVersion) {
        mConfirmed.record(reply, requestNanos);
        if (reply.getTableVersion() <= tableVersion) {
            mTableConfirmed.record(reply, requestNanos);
        }
    }

    /**
     * Records that no table newer than the one in force had been acknowledged.
     *
     * @param atNanos monotonic time
     */
    void recordTableConfirmation(long atNanos) {
        mTableConfirmed.record(atNanos);
    }

    /** Returns the newest time by which the table in force was the newest, null if never. */
    @Nullable Long tableConfirmedNanos() {
        return mTableConfirmed.nanos();
    }

    /** Returns whether a majority has confirmed the view recently. */
    boolean isConfirmed(long nowNanos) {
        return mConfirmed.isWithin(nowNanos, STALE_NANOS);
    }

    /**
     * Returns whether a table may be taken for the newest one. A table is outdated as soon as a
     * controller reports a newer one, even while the newer one is still being fetched.
     *
     * @param nowNanos monotonic time
     * @param tableVersion version of the table
     */
    boolean isNewest(long nowNanos, long tableVersion) {
        return mTableConfirmed.isWithin(nowNanos, STALE_NANOS) && tableVersion >= mNewestVersion;
    }

    /** Returns the time since a majority confirmed the view, or since the creation if none has. */
    long ageNanos(long nowNanos) {
        return nowNanos - mConfirmed.nanosOr(mStartNanos);
    }

    /** Returns the time since the table in force was the newest, or since the creation if never. */
    long tableAgeNanos(long nowNanos) {
        return nowNanos - mTableConfirmed.nanosOr(mStartNanos);
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
