package org.hemlockrack.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Time between two sums of the same controller. It is the age that the parts of the other gateways
 * in a sum have at most, as they report to a controller as often as they ask it. Not thread-safe.
 */
final class SumInterval {
    /** A controller that answers after a longer time was out of reach. */
    private static final long MAX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Long> mLastNanos = new HashMap<>();
    private long mIntervalNanos;

    private SumInterval() {}

    static SumInterval create() {
        return new SumInterval();
    }

    void recordSum(LoadSum sum) {
        Long lastNanos = mLastNanos.put(sum.source(), sum.requestNanos());
        if (lastNanos == null) {
            return;
        }
        long intervalNanos = sum.requestNanos() - lastNanos;
        if (intervalNanos > MAX_INTERVAL_NANOS) {
            mLastNanos.values().removeIf(each -> sum.requestNanos() - each > MAX_INTERVAL_NANOS);
            return;
        }
        mIntervalNanos = intervalNanos;
    }

    /** Returns the last interval, or 0 if none is known. */
    long nanos() {
        return mIntervalNanos;
    }
}
