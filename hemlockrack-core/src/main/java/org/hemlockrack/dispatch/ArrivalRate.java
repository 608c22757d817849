package org.hemlockrack.dispatch;

import java.util.concurrent.TimeUnit;

/** Exponentially weighted rate of the requests of this gateway. Not thread-safe. */
final class ArrivalRate {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Time constant of the average; a gateway of a large fleet sees a few requests a second. */
    private static final double TIME_CONSTANT_SECONDS = 4;

    private double mWeightedRequests;
    private double mObservedSeconds;
    private long mUpdatedNanos;

    private ArrivalRate(long nowNanos) {
        mUpdatedNanos = nowNanos;
    }

    static ArrivalRate start(long nowNanos) {
        return new ArrivalRate(nowNanos);
    }

    void recordArrival(long nowNanos) {
        double seconds = sinceUpdateSeconds(nowNanos);
        mWeightedRequests = 1 + mWeightedRequests * decay(seconds);
        mObservedSeconds += seconds;
        mUpdatedNanos = nowNanos;
    }

    /** Returns the requests per second. */
    double perSecond(long nowNanos) {
        double seconds = sinceUpdateSeconds(nowNanos);
        double observedWeight = 1 - decay(mObservedSeconds + seconds);
        double weightedSeconds = TIME_CONSTANT_SECONDS * observedWeight;
        return weightedSeconds == 0 ? 0 : mWeightedRequests * decay(seconds) / weightedSeconds;
    }

    private double sinceUpdateSeconds(long nowNanos) {
        return Math.max(0, nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
    }

    private static double decay(double seconds) {
        return Math.exp(-seconds / TIME_CONSTANT_SECONDS);
    }
}
