package org.hemlockrack.dispatch;

import java.util.Set;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;

/**
 * Criteria by which {@link ServerPool} chooses a server for one request.
 *
 * @param service the service
 * @param affinityKey hash of the prompt prefix that the request shares with others, 0 for none
 * @param versionDraw number in [0, 1) that selects the software version; equal for all attempts of
 *     a request
 * @param triedServers servers that earlier attempts of the request used; they are not chosen again
 * @param route name of the route, by which the times of servers are compared; empty if unknown
 */
public record SelectionCriteria(
        ServiceId service,
        long affinityKey,
        double versionDraw,
        Set<BackendId> triedServers,
        String route) {
    /** Creates criteria of a request whose route is not known. */
    public SelectionCriteria(
            ServiceId service, long affinityKey, double versionDraw, Set<BackendId> triedServers) {
        this(service, affinityKey, versionDraw, triedServers, "");
    }
}
