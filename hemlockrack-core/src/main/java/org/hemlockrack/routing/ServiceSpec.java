package org.hemlockrack.routing;

import org.hemlockrack.model.ServiceId;
import org.jspecify.annotations.Nullable;

/**
 * Configuration of one service.
 *
 * @param id the service
 * @param maxConnections connections that one backend server accepts from all clients together
 * @param coldRequestsPerSecond requests per second that a cold backend server can handle, summed
 *     over all gateways; 0 if the service has no cold start
 * @param engineSlots requests that one model engine runs concurrently, 0 for services without
 *     engines
 * @param autoscale bounds for the number of servers, or null if it is fixed
 */
public record ServiceSpec(
        ServiceId id,
        int maxConnections,
        double coldRequestsPerSecond,
        int engineSlots,
        @Nullable AutoscaleSpec autoscale) {
    /** Creates the configuration of a service whose number of servers is fixed. */
    public ServiceSpec(
            ServiceId id, int maxConnections, double coldRequestsPerSecond, int engineSlots) {
        this(id, maxConnections, coldRequestsPerSecond, engineSlots, null);
    }

    /** Returns whether the service runs model engines. */
    public boolean runsEngines() {
        return engineSlots > 0;
    }
}
