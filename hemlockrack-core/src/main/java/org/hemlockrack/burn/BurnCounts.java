package org.hemlockrack.burn;

/**
 * Numbers of requests in a window.
 *
 * @param good requests that met the latency objective
 * @param bad requests that missed it
 */
public record BurnCounts(long good, long bad) {
    /**
     * Returns the burn rate: the share of misses divided by the share that the objective allows.
     *
     * @param targetShare share of requests that must meet the objective
     * @return 1 if the error budget is spent exactly; 0 without misses
     */
    public double rate(double targetShare) {
        if (bad == 0) {
            return 0;
        }
        double budget = Math.max(1 - targetShare, 1e-9);
        return (double) bad / (good + bad) / budget;
    }
}
