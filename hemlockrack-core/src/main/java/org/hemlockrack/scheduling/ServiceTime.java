package org.hemlockrack.scheduling;

/** Smoothed time from dispatch to the end of requests, and the queue wait estimated from it. */
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

    /** Returns the smoothed time, 0 while no request has finished. */
    public long smoothedNanos() {
        return (long) mSmoothedNanos;
    }

    /**
     * Estimates the wait until a request is dispatched when its servers are at their limit.
     *
     * @param ahead number of queued requests served before it
     * @param limit maximum number of requests in flight
     * @return the wait in nanoseconds, 0 while no request has finished
     */
    public long estimateWaitNanos(double ahead, double limit) {
        return (long) (mSmoothedNanos * (ahead + 1) / Math.max(1, limit));
    }
}
