package org.hemlockrack.daemon.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The exchanges of a gateway that have not ended, and the time at which they all must end because
 * the gateway stops. Thread-safe.
 */
final class OpenExchanges {
    private final Set<GatewayExchange> mExchanges = ConcurrentHashMap.newKeySet();
    private volatile boolean mStopping;
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

    /** Sets the time at which all exchanges end. */
    void stopAt(long endNanos) {
        mEndNanos = endNanos;
        mStopping = true;
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
