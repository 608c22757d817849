package org.hemlockrack.burn;

/**
 * Requests over a window.
 *
 * @param good requests that kept the promise
 * @param bad requests that missed it
 */
public record BurnCounts(long good, long bad) {
    /**
     * Returns the burn rate.
     *
     * @param objective share of requests that must keep the promise
     * @return 1 if the error budget is spent exactly; 0 without requests
     */
    public double rate(double objective) {
        if (bad == 0) {
            return 0;
        }
        double budget = Math.max(1 - objective, 1e-9);
        return (double) bad / (good + bad) / budget;
    }
}
