package org.hemlockrack.burn;

/**
 * What is known about a request that missed its promise.
 *
 * @param refused whether it was refused
 * @param zoneOut whether its usual zone was out of service or cut off
 * @param coldStart whether its backend server was in a cold start
 * @param newVersion whether a version that is being rolled out answered or failed
 * @param queueNanos time in the queue
 * @param totalNanos whole time up to the missed promise
 * @param atBackend whether a backend server had the request
 */
public record MissContext(
        boolean refused,
        boolean zoneOut,
        boolean coldStart,
        boolean newVersion,
        long queueNanos,
        long totalNanos,
        boolean atBackend) {}
