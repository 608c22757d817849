package org.hemlockrack.burn;

/**
 * What is known about a request that missed its latency objective, to determine the cause.
 *
 * @param refused whether it was refused
 * @param zoneUnavailable whether its usual zone was out of service or unreachable
 * @param coldStart whether its backend server was in a cold start
 * @param rolloutVersion whether it was sent to a version that is being rolled out
 * @param queueNanos time in the queue
 * @param totalNanos total time of the request
 * @param reachedBackend whether a backend server began to answer the request
 */
public record MissContext(
        boolean refused,
        boolean zoneUnavailable,
        boolean coldStart,
        boolean rolloutVersion,
        long queueNanos,
        long totalNanos,
        boolean reachedBackend) {}
