package org.hemlockrack.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a {@link LogStore} held when it was opened.
 *
 * @param hardState the small durable state
 * @param snapshot the newest snapshot, if any
 * @param entries consecutive entries; they reach at least to the snapshot if there is a gap-free
 *     log, and start at most one past it
 */
public record RecoveredState(
        HardState hardState, @Nullable SnapshotMeta snapshot, List<Entry> entries) {
    /** Returns whether the folder holds neither log nor snapshot. */
    public boolean isEmpty() {
        return snapshot == null && entries.isEmpty();
    }
}
