package org.hemlockrack.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.wire.LoadData;

/**
 * Sum of the requests in progress that all gateways have reported to one controller.
 *
 * @param source peer address of the controller
 * @param requestNanos monotonic time at which this gateway asked for the sum
 * @param fleetRequests requests in progress at each server, all gateways together
 * @param ownRequests the part of this gateway in that load
 * @param gateways number of gateways
 */
public record LoadSum(
        String source,
        long requestNanos,
        Map<BackendId, Integer> fleetRequests,
        Map<BackendId, Integer> ownRequests,
        int gateways) {
    /** Copies the maps. */
    public LoadSum {
        fleetRequests = Map.copyOf(fleetRequests);
        ownRequests = Map.copyOf(ownRequests);
    }

    /**
     * Returns the sum that a controller has sent.
     *
     * @param source peer address of the controller
     * @param requestNanos monotonic time at which this gateway asked for the sum
     * @param loads requests in progress at each server, all gateways together
     * @param ownRequests the part of this gateway in that load
     * @param gateways number of gateways
     */
    public static LoadSum of(
            String source,
            long requestNanos,
            List<LoadData> loads,
            Map<BackendId, Integer> ownRequests,
            int gateways) {
        Map<BackendId, Integer> fleetRequests = new HashMap<>();
        for (LoadData each : loads) {
            fleetRequests.put(BackendId.of(each.getServer()), each.getRequests());
        }
        return new LoadSum(source, requestNanos, fleetRequests, ownRequests, gateways);
    }

    /** Returns the requests in progress at a server, all gateways together. */
    int fleetRequests(BackendId server) {
        return fleetRequests.getOrDefault(server, 0);
    }

    /** Returns the part of this gateway in the load of a server. */
    int ownRequests(BackendId server) {
        return ownRequests.getOrDefault(server, 0);
    }
}
