package org.hemlockrack.dispatch;

/**
 * Estimates from completed answers how long a further one takes: the mean and the mean deviation,
 * both as moving averages. Not thread-safe.
 */
public final class DurationEstimate {
    /** Weight of one answer in the averages, as in the estimate of TCP's retransmission timeout. */
    private static final double MEAN_WEIGHT = 0.125;

    private static final double DEVIATION_WEIGHT = 0.25;

    /** Deviations above the mean that few answers exceed. */
    private static final double DEVIATION_FACTOR = 4;

    private double mMeanNanos;
    private double mDeviationNanos;
    private boolean mHasSample;

    private DurationEstimate() {}

    /** Creates an estimate without samples. */
    public static DurationEstimate create() {
        return new DurationEstimate();
    }

    /**
     * Adds the duration of a completed answer.
     *
     * @param nanos the duration
     */
    public void record(long nanos) {
        if (!mHasSample) {
            mHasSample = true;
            mMeanNanos = nanos;
            mDeviationNanos = nanos / 2.0;
            return;
        }
        double difference = nanos - mMeanNanos;
        mMeanNanos += MEAN_WEIGHT * difference;
        mDeviationNanos += DEVIATION_WEIGHT * (Math.abs(difference) - mDeviationNanos);
    }

    /**
     * Returns a duration that few answers exceed.
     *
     * @param defaultNanos the result if there is no sample yet
     */
    public long upperNanos(long defaultNanos) {
        return mHasSample ? (long) (mMeanNanos + DEVIATION_FACTOR * mDeviationNanos) : defaultNanos;
    }
}
