package org.hemlockrack.admission.internal;

/**
 * Bounds the load of one backend server by a multiple of the mean load of its service.
 *
 * <p>The bound is {@code ceil(multiple * max(mean, 1))} for the last mean received, so a mean below
 * one gives {@code ceil(multiple)} requests. A mean is used until the next one arrives, however
 * old: an owner partitioned from the others continues at its last bound and does not raise it.
 * Before the first mean the bound is that of a mean of one.
 */
public final class LoadBound {
    // Subtracted before ceil, so that a rounding error in 1.25 * 4 does not give 6.
    private static final double ROUNDING_TOLERANCE = 1e-9;
    private static final double NO_MEAN = 0.0;

    private double mMean = NO_MEAN;
    private long mMeasuredNanos = Long.MIN_VALUE;

    /**
     * Sets the mean load unless the current one was measured later.
     *
     * @param nowNanos monotonic time
     * @param mean mean number of requests in flight per backend server
     * @param ageNanos age of the mean
     */
    public void updateMean(long nowNanos, double mean, long ageNanos) {
        long measuredNanos = nowNanos - Math.max(0, ageNanos);
        if (measuredNanos < mMeasuredNanos || !Double.isFinite(mean)) {
            return;
        }
        mMeasuredNanos = measuredNanos;
        mMean = mean;
    }

    /**
     * Returns the bound.
     *
     * @param multiple configured multiple of the mean
     * @return maximum number of requests in flight, at least 1
     */
    public int value(double multiple) {
        double product = multiple * Math.max(mMean, 1.0);
        return (int) Math.min(Integer.MAX_VALUE, Math.ceil(product - ROUNDING_TOLERANCE));
    }
}
