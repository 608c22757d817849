package org.hemlockrack.admission.internal;

import org.hemlockrack.admission.AdmissionSettings;

/**
 * Adaptive limit of requests in flight at one backend server.
 *
 * <p>The limit starts at {@code startLimit}. It is increased by the number of successful requests
 * since the last change, at most doubled, at most once per growth period, and only if the load
 * reached the limit since then: answers at lower load are no evidence for a higher limit. Errors
 * and timeouts halve it; from there on it increases by one per period.
 */
public final class ConcurrencyLimit {
    private AdmissionSettings.Ramp mSettings;
    private int mStatedLimit = Integer.MAX_VALUE;
    private int mLimit;
    private int mSlowGrowthThreshold = Integer.MAX_VALUE;
    private int mSuccesses;
    private boolean mLimitReached;
    private long mLastChangeNanos;
    private long mLastFallNanos;
    private boolean mHasChanged;
    private boolean mHasFallen;

    private ConcurrencyLimit(AdmissionSettings.Ramp settings) {
        mSettings = settings;
        mLimit = settings.startLimit();
    }

    /**
     * Creates a limit with the start value.
     *
     * @param settings the settings
     * @return the limit
     */
    public static ConcurrencyLimit create(AdmissionSettings.Ramp settings) {
        return new ConcurrencyLimit(settings);
    }

    /** Returns the limit, at least 0. */
    public int value() {
        return Math.min(mLimit, mStatedLimit);
    }

    /**
     * Resets the limit to the start value.
     *
     * @param nowNanos monotonic time
     */
    public void reset(long nowNanos) {
        mLimit = mSettings.startLimit();
        mSlowGrowthThreshold = Integer.MAX_VALUE;
        clearEvidence(nowNanos);
    }

    /**
     * Sets the limit that the backend server states, which caps this limit.
     *
     * @param stated maximum number of requests it handles concurrently
     */
    public void setStatedLimit(int stated) {
        mStatedLimit = Math.max(0, stated);
        mLimit = Math.max(1, Math.min(mLimit, mStatedLimit));
    }

    /**
     * Records the load after a dispatch.
     *
     * @param load requests in flight
     */
    public void recordLoad(int load) {
        mLimitReached |= load >= value();
    }

    /**
     * Records a request that finished within the target time to first token.
     *
     * @param nowNanos monotonic time
     */
    public void recordSuccess(long nowNanos) {
        mSuccesses++;
        boolean due = !mHasChanged || nowNanos - mLastChangeNanos >= mSettings.growthPeriodNanos();
        if (!due || !mLimitReached || mLimit >= mStatedLimit) {
            return;
        }
        int step = mLimit >= mSlowGrowthThreshold ? 1 : Math.min(mLimit, mSuccesses);
        mLimit = (int) Math.min(mStatedLimit, (long) mLimit + step);
        clearEvidence(nowNanos);
    }

    /**
     * Records an error or a timeout.
     *
     * @param nowNanos monotonic time
     */
    public void recordFailure(long nowNanos) {
        if (mHasFallen && nowNanos - mLastFallNanos < mSettings.fallPeriodNanos()) {
            return;
        }
        mHasFallen = true;
        mLastFallNanos = nowNanos;
        mLimit = Math.max(1, mLimit / 2);
        mSlowGrowthThreshold = mLimit;
        clearEvidence(nowNanos);
    }

    /**
     * Replaces the settings; the current limit stays.
     *
     * @param settings the settings
     */
    public void updateSettings(AdmissionSettings.Ramp settings) {
        mSettings = settings;
    }

    private void clearEvidence(long nowNanos) {
        mHasChanged = true;
        mLastChangeNanos = nowNanos;
        mSuccesses = 0;
        mLimitReached = false;
    }
}
