package org.hemlockrack.capacity;

import java.util.concurrent.TimeUnit;

/** Smooths how long work takes at one server, as it reports. Not thread-safe. */
final class WorkReports {
    /** Time constant of the estimate that follows slowdowns of parts of a second. */
    private static final double FAST_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time constant of the mean over such slowdowns. */
    private static final double SLOW_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Age at which the fast estimate counts for nothing; slowdowns last about as long. */
    private static final long FAST_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Age at which the reports count for nothing. */
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final double USUAL_PERCENT = 100;

    private boolean mHasReport;
    private long mReportedNanos;
    private double mFastPercent;
    private double mSlowPercent;

    void record(long nowNanos, int workPercent) {
        if (!mHasReport || nowNanos - mReportedNanos >= LIFETIME_NANOS) {
            mHasReport = true;
            mReportedNanos = nowNanos;
            mFastPercent = workPercent;
            mSlowPercent = workPercent;
            return;
        }
        long elapsedNanos = nowNanos - mReportedNanos;
        if (elapsedNanos < 0) {
            // A report that another gateway saw earlier than the newest one seen here.
            return;
        }
        mFastPercent += weight(elapsedNanos, FAST_NANOS) * (workPercent - mFastPercent);
        mSlowPercent += weight(elapsedNanos, SLOW_NANOS) * (workPercent - mSlowPercent);
        mReportedNanos = nowNanos;
    }

    /** Weight of a report; at least a tenth, as reports of one moment come from many requests. */
    private static double weight(long elapsedNanos, double constantNanos) {
        return Math.max(0.1, 1 - Math.exp(-elapsedNanos / constantNanos));
    }

    /** Returns whether a report is young enough to count. */
    boolean isKnown(long nowNanos) {
        return mHasReport && nowNanos - mReportedNanos < LIFETIME_NANOS;
    }

    /** Returns how long work takes: the fast estimate while it is fresh, then the mean. */
    double percent(long nowNanos) {
        if (!isKnown(nowNanos)) {
            return USUAL_PERCENT;
        }
        double age = (nowNanos - mReportedNanos) / (double) FAST_LIFETIME_NANOS;
        double freshness = Math.max(0, Math.min(1, 1 - age));
        return freshness * mFastPercent + (1 - freshness) * mSlowPercent;
    }
}
