package org.hemlockrack.admission.internal;

import org.hemlockrack.admission.AdmissionSettings;

/**
 * Most requests in flight at one backend server, learned from its answers.
 *
 * <p>The limit starts at a setting. It rises by the number of good answers since the last rise, at
 * most to its double, at most once per growth period, and only if the load reached it since then:
 * answers under less load say nothing about more. Errors and timeouts halve it; above half of the
 * limit that failed it then rises by one per period.
 */
public final class ConcurrencyLimit {
    private AdmissionSettings.Ramp mSettings;
    private int mStated = Integer.MAX_VALUE;
    private int mLimit;
    private int mSlowFrom = Integer.MAX_VALUE;
    private int mGood;
    private boolean mReached;
    private long mLastChangeNanos;
    private long mLastFallNanos;
    private boolean mChanged;
    private boolean mFell;

    private ConcurrencyLimit(AdmissionSettings.Ramp settings) {
        mSettings = settings;
        mLimit = settings.startLimit();
    }

    /**
     * Creates a limit at its start.
     *
     * @param settings the settings
     * @return the limit
     */
    public static ConcurrencyLimit create(AdmissionSettings.Ramp settings) {
        return new ConcurrencyLimit(settings);
    }

    /** Returns the limit, at least 0. */
    public int value() {
        return Math.min(mLimit, mStated);
    }

    /**
     * Goes back to the start.
     *
     * @param nowNanos monotonic time
     */
    public void reset(long nowNanos) {
        mLimit = mSettings.startLimit();
        mSlowFrom = Integer.MAX_VALUE;
        clearEvidence(nowNanos);
    }

    /**
     * Takes the limit that the backend server states.
     *
     * @param stated most requests it handles at once
     */
    public void stated(int stated) {
        mStated = Math.max(0, stated);
        mLimit = Math.max(1, Math.min(mLimit, mStated));
    }

    /**
     * Notes the load after a dispatch.
     *
     * @param load requests in flight
     */
    public void load(int load) {
        mReached |= load >= value();
    }

    /**
     * Takes a finished request within the promise.
     *
     * @param nowNanos monotonic time
     */
    public void good(long nowNanos) {
        mGood++;
        boolean due = !mChanged || nowNanos - mLastChangeNanos >= mSettings.growthPeriodNanos();
        if (!due || !mReached || mLimit >= mStated) {
            return;
        }
        int step = mLimit >= mSlowFrom ? 1 : Math.min(mLimit, mGood);
        mLimit = (int) Math.min(mStated, (long) mLimit + step);
        clearEvidence(nowNanos);
    }

    /**
     * Takes an error or a timeout.
     *
     * @param nowNanos monotonic time
     */
    public void failed(long nowNanos) {
        if (mFell && nowNanos - mLastFallNanos < mSettings.fallPeriodNanos()) {
            return;
        }
        mFell = true;
        mLastFallNanos = nowNanos;
        mLimit = Math.max(1, mLimit / 2);
        mSlowFrom = mLimit;
        clearEvidence(nowNanos);
    }

    /**
     * Replaces the settings; a limit above the start value stays.
     *
     * @param settings the settings
     */
    public void settings(AdmissionSettings.Ramp settings) {
        mSettings = settings;
    }

    private void clearEvidence(long nowNanos) {
        mChanged = true;
        mLastChangeNanos = nowNanos;
        mGood = 0;
        mReached = false;
    }
}
