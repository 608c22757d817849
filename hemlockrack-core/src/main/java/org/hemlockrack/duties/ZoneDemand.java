package org.hemlockrack.duties;

/**
 * The demand for a service in a zone.
 *
 * @param servers servers that run
 * @param slotsPerServer requests that one of them runs concurrently
 * @param running requests in progress at them
 * @param refusedPerSecond requests that gateways of the zone refused because no server had room
 */
public record ZoneDemand(int servers, int slotsPerServer, double running, double refusedPerSecond) {
    /**
     * Returns the demand in slots. A refused request counts as one slot for a second; most take
     * longer, but their callers return as well.
     */
    double slots() {
        return running + refusedPerSecond;
    }
}
