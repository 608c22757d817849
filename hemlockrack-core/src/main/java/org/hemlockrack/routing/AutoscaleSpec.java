package org.hemlockrack.routing;

/**
 * Bounds for the number of servers that a service has in each zone.
 *
 * @param minReplicas smallest number of servers in a zone
 * @param maxReplicas largest number of servers in a zone
 * @param bootMillis time until an ordered server serves
 * @param coldMillis time that it is cold afterwards
 */
public record AutoscaleSpec(int minReplicas, int maxReplicas, long bootMillis, long coldMillis) {}
