package org.hemlockrack.burn.internal;

import java.util.concurrent.TimeUnit;

/** Bucket width and reach of one ring. */
public enum Resolution {
    /** For windows up to 1 h. */
    MINUTE(TimeUnit.MINUTES.toMillis(1), 61),
    /** For windows up to 6 h. */
    TEN_MINUTES(TimeUnit.MINUTES.toMillis(10), 37),
    /** For windows up to 3 d. */
    HOUR(TimeUnit.HOURS.toMillis(1), 73);

    private final long mWidthMillis;
    private final int mBuckets;

    Resolution(long widthMillis, int buckets) {
        mWidthMillis = widthMillis;
        mBuckets = buckets;
    }

    /** Returns the width of a bucket. */
    public long widthMillis() {
        return mWidthMillis;
    }

    /** Returns the number of buckets: the window and the bucket in progress. */
    public int buckets() {
        return mBuckets;
    }

    /**
     * Returns the bucket of a time.
     *
     * @param millis milliseconds since the epoch
     * @return the bucket
     */
    public long bucket(long millis) {
        return Math.floorDiv(millis, mWidthMillis);
    }

    /**
     * Returns the finest resolution that reaches over a window.
     *
     * @param windowMillis length of the window
     * @return the resolution
     */
    public static Resolution of(long windowMillis) {
        for (Resolution each : values()) {
            if (windowMillis <= (each.mBuckets - 1) * each.mWidthMillis) {
                return each;
            }
        }
        return HOUR;
    }
}
