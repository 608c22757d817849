package org.hemlockrack.retry;

/**
 * Settings of a {@link RetryBudget}.
 *
 * @param requestShare retries permitted per request, such as 0.1
 * @param minPerSecond retries permitted per second without any request
 * @param burst maximum number of unused retries that accumulate
 */
public record RetryBudgetSettings(double requestShare, double minPerSecond, double burst) {
    /**
     * Returns the default settings.
     *
     * @return settings that permit retries for a tenth of the requests plus 3 per second, with a
     *     burst of 30
     */
    public static RetryBudgetSettings defaults() {
        return new RetryBudgetSettings(0.1, 3, 30);
    }
}
