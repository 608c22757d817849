package org.hemlockrack.retry;

import org.hemlockrack.retry.internal.TokenBucket;

/**
 * Bounds the retries of one service, so that retries cannot multiply its load during an outage.
 * Over any interval of T seconds with N requests, at most {@code burst + share * N + minPerSecond *
 * T} retries are granted. Not thread-safe; time is monotonic and passed in.
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
     * Records a new request; must not be called for retries.
     *
     * @param nowNanos monotonic time
     */
    void onRequest(long nowNanos);

    /**
     * Takes one retry from the budget.
     *
     * @param nowNanos monotonic time
     * @return false if the budget is exhausted
     */
    boolean tryTake(long nowNanos);
}
