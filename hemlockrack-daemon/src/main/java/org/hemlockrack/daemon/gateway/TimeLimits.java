package org.hemlockrack.daemon.gateway;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.routing.Route;

/** The times at which an exchange must end: its deadline, and the end of this instance. */
final class TimeLimits {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final GatewayState mState;
    private final OpenExchanges mOpenExchanges;
    private final Route mRoute;
    private final long mStartNanos;
    private final long mDeadlineNanos;

    private TimeLimits(GatewayContext context, Route route, long startNanos, long timeoutMillis) {
        mState = context.state();
        mOpenExchanges = context.openExchanges();
        mRoute = route;
        mStartNanos = startNanos;
        mDeadlineNanos = startNanos + timeoutMillis * NANOS_PER_MILLI;
    }

    /**
     * Returns the limits of an exchange.
     *
     * @param route its route
     * @param metadata what the caller said
     * @param startNanos monotonic time at which the whole request had arrived
     */
    static TimeLimits of(
            GatewayContext context, Route route, RequestMetadata metadata, long startNanos) {
        long timeoutMillis = route.timeoutMillis();
        if (metadata.timeoutMillis() >= 0) {
            timeoutMillis = Math.min(timeoutMillis, metadata.timeoutMillis());
        }
        return new TimeLimits(context, route, startNanos, timeoutMillis);
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    /** Returns the time until the deadline. */
    long remainingMillis() {
        return (mDeadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
    }

    /**
     * Returns the time until an attempt that starts now ends: its answer takes as long as those
     * before it on the route, and ends at the deadline.
     */
    long expectedNanos(long nowNanos) {
        long remainingNanos = mDeadlineNanos - nowNanos;
        return Math.min(remainingNanos, mState.expectedNanos(mRoute, remainingNanos));
    }

    /** Returns whether an attempt that starts now can be complete before this instance stops. */
    boolean canCompleteBeforeStop(long nowNanos) {
        return mOpenExchanges.canComplete(nowNanos, expectedNanos(nowNanos));
    }

    /** Returns whether the request arrived after the last callers that this instance takes in. */
    boolean isLate() {
        return mOpenExchanges.isLate(mStartNanos);
    }

    /**
     * Returns whether the answer may only begin once it is whole. The end of a late answer cannot
     * be foretold, and one that has begun could only be cut when this instance ends. A deadline
     * before that ends it in any case.
     */
    boolean requiresWholeAnswer() {
        return isLate() && !mOpenExchanges.canComplete(mStartNanos, mDeadlineNanos - mStartNanos);
    }
}
