package org.hemlockrack.routing;

import org.hemlockrack.model.ServiceId;

/**
 * What the operators state of one service.
 *
 * @param id the service
 * @param maxConnections connections that one backend server accepts from all callers together
 * @param coldRequestsPerSecond requests a second that a cold backend server bears, summed over all
 *     gateways; 0 if the service has no cold start
 * @param engineSlots requests that one engine runs at once, 0 for plain services
 */
public record ServiceSpec(
        ServiceId id, int maxConnections, double coldRequestsPerSecond, int engineSlots) {
    /** Returns whether the service runs model engines. */
    public boolean runsEngines() {
        return engineSlots > 0;
    }
}
