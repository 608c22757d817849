package org.hemlockrack.admission.internal;

/** Smoothed time from dispatch to the end of a request, and the wait that follows from it. */
public final class ServiceTime {
    private static final double SMOOTHING = 0.125;

    private double mSmoothedNanos;

    /**
     * Adds a finished request.
     *
     * @param nanos its time from dispatch to end
     */
    public void add(long nanos) {
        double sample = Math.max(1, nanos);
        mSmoothedNanos =
                mSmoothedNanos == 0
                        ? sample
                        : mSmoothedNanos + SMOOTHING * (sample - mSmoothedNanos);
    }

    /**
     * Estimates the wait for a place when all places are taken.
     *
     * @param ahead requests served before
     * @param places places at the backend server
     * @return the wait in nanoseconds, 0 while no request has finished
     */
    public long waitNanos(int ahead, int places) {
        return (long) (mSmoothedNanos * (ahead + 1) / Math.max(1, places));
    }
}
