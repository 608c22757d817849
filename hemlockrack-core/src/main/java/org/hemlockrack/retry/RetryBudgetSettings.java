package org.hemlockrack.retry;

/**
 * Settings of a {@link RetryBudget}.
 *
 * @param requestShare retries permitted per request, such as 0.1
 * @param minPerSecond retries permitted per second without any request
 * @param burst largest number of unused retries that are kept
 */
public record RetryBudgetSettings(double requestShare, double minPerSecond, double burst) {
    /**
     * Returns the default settings.
     *
     * @return settings with a tenth of the requests, 3 a second and a burst of 30
     */
    public static RetryBudgetSettings defaults() {
        return new RetryBudgetSettings(0.1, 3, 30);
    }
}
