package org.hemlockrack.daemon.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The exchanges of a gateway that have not ended, and the time at which they all must end because
 * the gateway stops. Thread-safe.
 */
final class OpenExchanges {
    private final Set<GatewayExchange> mExchanges = ConcurrentHashMap.newKeySet();
    private volatile boolean mStopping;
    private volatile long mStopNanos;
    private volatile long mLateNanos;
    private volatile long mEndNanos;

    private OpenExchanges() {}

    static OpenExchanges create() {
        return new OpenExchanges();
    }

    void add(GatewayExchange exchange) {
        mExchanges.add(exchange);
    }

    void remove(GatewayExchange exchange) {
        mExchanges.remove(exchange);
    }

    /**
     * Sets the times of a stop, which begins now.
     *
     * @param lateNanos monotonic time from which on requests are late: no new caller comes any more
     * @param endNanos monotonic time at which all exchanges end
     */
    void stopAt(long lateNanos, long endNanos) {
        mStopNanos = System.nanoTime();
        mLateNanos = lateNanos;
        mEndNanos = endNanos;
        mStopping = true;
    }

    boolean isStopping() {
        return mStopping;
    }

    /** Returns whether a request that has arrived whole at some time is late. */
    boolean isLate(long nowNanos) {
        return mStopping && nowNanos - mLateNanos >= 0;
    }

    /** Returns the time since the stop began. */
    long sinceStopMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - mStopNanos);
    }

    /** Returns the time until all exchanges end because the gateway stops. */
    long remainingMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(mEndNanos - nowNanos);
    }

    /**
     * Returns whether an answer that takes some time can be complete before the gateway stops.
     *
     * @param nowNanos monotonic time
     * @param neededNanos time that the answer takes
     */
    boolean canComplete(long nowNanos, long neededNanos) {
        return !mStopping || neededNanos <= mEndNanos - nowNanos;
    }

    /** Returns the number of exchanges that have not ended. */
    int count() {
        return mExchanges.size();
    }

    /** Ends all exchanges: those without an answer get an error. Returns their number. */
    int endAll() {
        int ended = 0;
        for (GatewayExchange exchange : mExchanges) {
            exchange.onInstanceStops();
            ended++;
        }
        return ended;
    }
}
