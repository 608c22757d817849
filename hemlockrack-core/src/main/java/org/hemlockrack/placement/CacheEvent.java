package org.hemlockrack.placement;

import java.util.List;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;

/**
 * A report of a backend server about changes of its prefix cache. Reports may be delayed,
 * duplicated or lost.
 *
 * @param service the service
 * @param backend the backend server
 * @param modelVersion model and version
 * @param incarnation incarnation of the reporting server
 * @param sequence number of the event within the incarnation; the sender leaves no gaps
 * @param ageNanos time since the reported change, 0 if not known
 * @param added chats that were added to the cache
 * @param removed chats that were evicted from the cache
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
