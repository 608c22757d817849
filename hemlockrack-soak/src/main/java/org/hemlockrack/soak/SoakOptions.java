package org.hemlockrack.soak;

/**
 * What decides a run.
 *
 * @param seed seed of all random choices
 * @param seconds how long faults come
 * @param commandsRepeat a broken variant, in which commands may run twice
 */
record SoakOptions(long seed, int seconds, boolean commandsRepeat) {}
