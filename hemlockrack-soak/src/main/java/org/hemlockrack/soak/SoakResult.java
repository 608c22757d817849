package org.hemlockrack.soak;

import java.util.List;

/**
 * Result of a soak run.
 *
 * @param seed seed of the run
 * @param faults number of injected faults
 * @param requests number of requests that callers sent
 * @param served number of requests with status 200
 * @param violations descriptions of violated guarantees, empty in a successful run
 */
record SoakResult(long seed, int faults, int requests, int served, List<String> violations) {}
