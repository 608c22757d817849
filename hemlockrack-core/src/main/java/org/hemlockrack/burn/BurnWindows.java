package org.hemlockrack.burn;

import java.util.concurrent.TimeUnit;

/**
 * A pair of sliding windows whose burn rates are compared with a threshold. The long window ensures
 * that a significant part of the error budget is spent, the short one that it is still being spent.
 */
public enum BurnWindows {
    /** A burn rate of 14.4 spends an error budget of 30 days in about 2 days. */
    FAST("5 min/1 h", TimeUnit.MINUTES.toMillis(5), TimeUnit.HOURS.toMillis(1), 14.4),
    MEDIUM("30 min/6 h", TimeUnit.MINUTES.toMillis(30), TimeUnit.HOURS.toMillis(6), 6),
    SLOW("2 h/1 d", TimeUnit.HOURS.toMillis(2), TimeUnit.DAYS.toMillis(1), 3),
    LONG("6 h/3 d", TimeUnit.HOURS.toMillis(6), TimeUnit.DAYS.toMillis(3), 1);

    private final String mLabel;
    private final long mShortMillis;
    private final long mLongMillis;
    private final double mThreshold;

    BurnWindows(String label, long shortMillis, long longMillis, double threshold) {
        mLabel = label;
        mShortMillis = shortMillis;
        mLongMillis = longMillis;
        mThreshold = threshold;
    }

    /** Returns the name shown in reports. */
    public String label() {
        return mLabel;
    }

    /** Returns the length of the short window. */
    public long shortMillis() {
        return mShortMillis;
    }

    /** Returns the length of the long window. */
    public long longMillis() {
        return mLongMillis;
    }

    /**
     * Returns whether to alert: whether both rates reach the threshold of the pair.
     *
     * @param shortRate burn rate over the short window
     * @param longRate burn rate over the long window
     * @return true if they do
     */
    public boolean isAlerting(double shortRate, double longRate) {
        return shortRate >= mThreshold && longRate >= mThreshold;
    }
}
