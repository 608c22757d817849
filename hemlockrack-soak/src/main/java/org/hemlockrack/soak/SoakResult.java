package org.hemlockrack.soak;

import java.util.List;
import java.util.SortedMap;

/**
 * Result of a soak run.
 *
 * @param seed seed of the run
 * @param faults number of injected faults or planned stops
 * @param statusCounts number of requests by the status of their answer, 0 without a complete one
 * @param violations descriptions of violated guarantees, empty in a successful run
 */
record SoakResult(
        long seed, int faults, SortedMap<Integer, Integer> statusCounts, List<String> violations) {
    /** Returns the number of requests with status 200. */
    int served() {
        return statusCounts.getOrDefault(200, 0);
    }
}
