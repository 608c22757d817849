package org.hemlockrack.retry;

import org.hemlockrack.retry.internal.TokenBucket;

/**
 * Bounds the retries of one service, so that an outage cannot multiply its load. Over any interval
 * of T seconds with N requests, at most {@code burst + share * N + minPerSecond * T} retries are
 * granted. Not thread-safe; time is monotonic and passed in.
 */
public interface RetryBudget {
    /**
     * Creates a budget that starts with a full burst.
     *
     * @param settings the settings
     * @return the budget
     */
    static RetryBudget create(RetryBudgetSettings settings) {
        return TokenBucket.create(settings);
    }

    /**
     * Counts a request of a caller; retries are not counted.
     *
     * @param nowNanos monotonic time
     */
    void onRequest(long nowNanos);

    /**
     * Takes one retry from the budget.
     *
     * @param nowNanos monotonic time
     * @return false if none is left
     */
    boolean tryTake(long nowNanos);
}
