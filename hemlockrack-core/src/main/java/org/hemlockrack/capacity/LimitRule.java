package org.hemlockrack.capacity;

/** Derives the next concurrency limit of a server from what was observed under the last one. */
interface LimitRule {
    /**
     * What was observed in one period.
     *
     * @param load mean number of requests in progress
     * @param delayRatio mean delay as a multiple of the server's own delay without a queue
     * @param workPercent reported time that work takes, 100 if unknown
     * @param slots requests that the server runs at most
     */
    record Observation(double load, double delayRatio, double workPercent, int slots) {}

    /**
     * Returns the next limit, which the caller keeps between the floor and the slots.
     *
     * @param limit the limit in force
     * @param observed what was observed under it
     */
    double next(double limit, Observation observed);
}
