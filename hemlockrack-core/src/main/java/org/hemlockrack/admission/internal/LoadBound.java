package org.hemlockrack.admission.internal;

/**
 * The bound of the load of one backend server by the mean load of its service.
 *
 * <p>The bound is {@code ceil(multiple * max(mean, 1))} of the last mean known here. Below a mean
 * of one the promise is {@code ceil(multiple)} requests. A late mean is used until the next one
 * comes: an owner cut off from the others goes on serving at its last bound and does not raise it.
 * Before the first mean the bound is that of a mean of one.
 */
public final class LoadBound {
    // Keeps 1.25 * 4 at 5 when the product is a few units in the last place above it.
    private static final double ROUNDING = 1e-9;
    private static final double UNKNOWN = 0.0;

    private double mMean = UNKNOWN;
    private long mTakenNanos = Long.MIN_VALUE;

    /**
     * Takes a load summary unless an older one is newer by its age.
     *
     * @param nowNanos monotonic time
     * @param mean mean requests in flight per backend server
     * @param ageNanos age of the mean
     */
    public void summary(long nowNanos, double mean, long ageNanos) {
        long taken = nowNanos - Math.max(0, ageNanos);
        if (taken < mTakenNanos || !Double.isFinite(mean)) {
            return;
        }
        mTakenNanos = taken;
        mMean = mean;
    }

    /**
     * Returns the bound.
     *
     * @param multiple configured multiple of the mean
     * @return most requests in flight, at least 1
     */
    public int value(double multiple) {
        double product = multiple * Math.max(mMean, 1.0);
        return (int) Math.min(Integer.MAX_VALUE, Math.ceil(product - ROUNDING));
    }
}
