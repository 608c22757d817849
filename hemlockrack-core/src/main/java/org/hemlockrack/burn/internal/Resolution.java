package org.hemlockrack.burn.internal;

import java.util.concurrent.TimeUnit;

/** Width and number of the buckets of a ring buffer of counts. */
public enum Resolution {
    /** For windows up to 1 h. */
    MINUTE(TimeUnit.MINUTES.toMillis(1), 61),
    /** For windows up to 6 h. */
    TEN_MINUTES(TimeUnit.MINUTES.toMillis(10), 37),
    /** For windows up to 3 d. */
    HOUR(TimeUnit.HOURS.toMillis(1), 73);

    private final long mWidthMillis;
    private final int mBucketCount;

    Resolution(long widthMillis, int buckets) {
        mWidthMillis = widthMillis;
        mBucketCount = buckets;
    }

    /** Returns the width of a bucket. */
    public long widthMillis() {
        return mWidthMillis;
    }

    /** Returns the number of buckets, which cover the longest window and the current bucket. */
    public int bucketCount() {
        return mBucketCount;
    }

    /**
     * Returns the number of the bucket that contains a time.
     *
     * @param millis milliseconds since the epoch
     * @return the bucket number, counted from the epoch
     */
    public long bucketOf(long millis) {
        return Math.floorDiv(millis, mWidthMillis);
    }

    /**
     * Returns the finest resolution whose buckets cover a window.
     *
     * @param windowMillis length of the window
     * @return the resolution; {@link #HOUR} if no resolution covers the window
     */
    public static Resolution finestCovering(long windowMillis) {
        for (Resolution each : values()) {
            if (windowMillis <= (each.mBucketCount - 1) * each.mWidthMillis) {
                return each;
            }
        }
        return HOUR;
    }
}
