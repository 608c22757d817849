package org.hemlockrack.placement;

import java.util.List;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;

/**
 * What a backend server reports about its prefix cache. It may arrive late, twice or not at all.
 *
 * @param service the service
 * @param backend the backend server
 * @param modelVersion model and version
 * @param incarnation incarnation of the server that reports
 * @param sequence number of the event within the incarnation, without gaps at the sender
 * @param ageNanos time since the reported change, 0 if not known
 * @param added chats that entered the cache
 * @param removed chats that left the cache
 * @param cleared whether the whole cache was emptied before the additions
 */
public record CacheEvent(
        ServiceId service,
        BackendId backend,
        ModelVersion modelVersion,
        long incarnation,
        long sequence,
        long ageNanos,
        List<PlacementKey> added,
        List<PlacementKey> removed,
        boolean cleared) {
    /** Copies the lists. */
    public CacheEvent {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
    }
}
