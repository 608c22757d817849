package org.hemlockrack.soak;

/**
 * Options of a soak run.
 *
 * @param seed seed of all random choices
 * @param seconds how long faults are injected
 * @param brokenVariant whether to run a deliberately broken variant, which tests the checker:
 *     commands may be retried after they may have run, and gateways are killed early in a stop
 */
record SoakOptions(long seed, int seconds, boolean brokenVariant) {}
