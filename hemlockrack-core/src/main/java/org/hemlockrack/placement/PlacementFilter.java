package org.hemlockrack.placement;

import java.util.Set;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;

/**
 * Restricts the servers that a request may use.
 *
 * @param service the service
 * @param model name of the model
 * @param excluded servers that earlier attempts of the request used
 * @param firstTurn whether the request starts a chat, so that no server can have it cached
 */
public record PlacementFilter(
        ServiceId service, String model, Set<BackendId> excluded, boolean firstTurn) {
    /** Copies the set. */
    public PlacementFilter {
        excluded = Set.copyOf(excluded);
    }

    /**
     * Creates a filter for a later turn of a chat, without excluded servers.
     *
     * @param service the service
     * @param model name of the model
     * @return the filter
     */
    public static PlacementFilter of(ServiceId service, String model) {
        return new PlacementFilter(service, model, Set.of(), false);
    }

    /**
     * Returns this filter for the first turn of a chat.
     *
     * @return the filter
     */
    public PlacementFilter forFirstTurn() {
        return new PlacementFilter(service, model, excluded, true);
    }
}
