package org.hemlockrack.soak;

import java.util.List;

/**
 * What a run has seen.
 *
 * @param seed its seed
 * @param faults number of faults
 * @param requests number of requests
 * @param served number of requests that succeeded
 * @param broken promises that were broken, empty in a good run
 */
record SoakResult(long seed, int faults, int requests, int served, List<String> broken) {}
