package org.hemlockrack.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a {@link LogStore} held when it was opened.
 *
 * @param hardState replica id, term and vote
 * @param snapshot the newest snapshot, if any
 * @param entries consecutive entries; the first one follows the snapshot's last entry or is covered
 *     by the snapshot, and they reach at least to the end of the snapshot unless empty
 */
public record RecoveredState(
        HardState hardState, @Nullable SnapshotMeta snapshot, List<Entry> entries) {
    /** Returns whether the store holds neither entries nor a snapshot. */
    public boolean isEmpty() {
        return snapshot == null && entries.isEmpty();
    }
}
