package org.hemlockrack.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Permits of this gateway for requests to one cold server. Not thread-safe; time is monotonic and
 * passed in.
 */
final class ColdPacing {
    /**
     * A permit for a request to a cold server expires after this time. Unused permits of many
     * gateways would otherwise add up to a burst.
     */
    private static final long PERMIT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final double mPhase;
    private boolean mStarted;
    private long mNextPermitNanos;
    private long mIntervalNanos;

    /**
     * Creates the pacing.
     *
     * @param phase number in [0, 1) that spreads the permits of the gateways over an interval
     */
    ColdPacing(double phase) {
        mPhase = phase;
    }

    /**
     * Returns whether the rate limit permits one request.
     *
     * @param perSecond requests per second that this gateway may send
     */
    boolean hasPermit(long nowNanos, double perSecond) {
        return nowNanos - nextPermitNanos(nowNanos, perSecond) >= 0;
    }

    /** Starts the pacing at the first request that asks for a permit, and drops expired permits. */
    void advance(long nowNanos, double perSecond) {
        mNextPermitNanos = nextPermitNanos(nowNanos, perSecond);
        mStarted = true;
        mIntervalNanos = intervalNanos(perSecond);
    }

    private long nextPermitNanos(long nowNanos, double perSecond) {
        long intervalNanos = intervalNanos(perSecond);
        long validNanos = Math.min(intervalNanos, PERMIT_LIFETIME_NANOS);
        long nextNanos =
                mStarted
                        ? mNextPermitNanos
                        : nowNanos + (long) (mPhase * intervalNanos) - validNanos;
        long overdueNanos = nowNanos - validNanos - nextNanos;
        if (overdueNanos <= 0) {
            return nextNanos;
        }
        long skippedPermits = (overdueNanos + intervalNanos - 1) / intervalNanos;
        return nextNanos + skippedPermits * intervalNanos;
    }

    private static long intervalNanos(double perSecond) {
        return (long) (NANOS_PER_SECOND / perSecond);
    }

    void takePermit() {
        mNextPermitNanos += mIntervalNanos;
    }
}
