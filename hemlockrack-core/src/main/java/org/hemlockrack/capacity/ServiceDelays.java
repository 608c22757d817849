package org.hemlockrack.capacity;

/**
 * Turns the times that servers of one service take into multiples of the usual time, without the
 * delay that all servers have in common. Not thread-safe; time is monotonic and passed in.
 */
public final class ServiceDelays {
    private final DelayBaselines mBaselines = DelayBaselines.create();
    private final CommonDelay mCommon = new CommonDelay();

    private ServiceDelays() {}

    /** Creates the delays of a service without samples. */
    public static ServiceDelays create() {
        return new ServiceDelays();
    }

    /**
     * Records the time of one piece of work.
     *
     * @param nowNanos monotonic time
     * @param kind the kind of work, see {@link DelayBaselines}
     * @param nanos the time
     * @return the time as a multiple of what is usual at the moment
     */
    public double record(long nowNanos, String kind, long nanos) {
        double ratio = nanos / mBaselines.usualNanos(kind, Math.max(1, nanos));
        double common = mCommon.record(nowNanos, ratio);
        // Without the common delay, so that the baselines of frequent and of rare kinds of work do
        // not follow a slowdown of all servers at different rates.
        mBaselines.record(kind, nanos / common);
        return ratio / common;
    }

    /**
     * Returns the usual time of a kind of work.
     *
     * @param kind the kind of work
     * @param defaultNanos the result if no time is known
     */
    public double usualNanos(String kind, double defaultNanos) {
        return mBaselines.usualNanos(kind, defaultNanos);
    }
}
