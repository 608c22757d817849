package org.hemlockrack.soak;

/**
 * Options of a soak run.
 *
 * @param seed seed of all random choices
 * @param seconds how long faults are injected
 * @param commandsMayRepeat whether to run a deliberately broken variant, in which commands may be
 *     retried after they may have run; it tests the checker
 */
record SoakOptions(long seed, int seconds, boolean commandsMayRepeat) {}
