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
 */
public record SelectionCriteria(
        ServiceId service, long affinityKey, double versionDraw, Set<BackendId> triedServers) {}
