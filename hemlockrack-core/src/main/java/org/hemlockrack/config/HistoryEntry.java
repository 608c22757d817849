package org.hemlockrack.config;

import java.util.List;

/**
 * One accepted version.
 *
 * @param version the version
 * @param timeMillis wall-clock time of the leader at the change, in milliseconds since the epoch
 * @param author who requested the change
 * @param requestId request id of the command
 * @param differences differences from the previous version
 */
public record HistoryEntry(
        long version,
        long timeMillis,
        String author,
        String requestId,
        List<Difference> differences) {
    /** Approximate overhead of an entry or difference beside its texts. */
    private static final int FIXED_CHARS = 100;

    /** Copies the list. */
    public HistoryEntry {
        differences = List.copyOf(differences);
    }

    /** Returns the approximate memory of the entry, in characters. */
    public int sizeChars() {
        int chars = FIXED_CHARS + author.length() + requestId.length();
        for (Difference difference : differences) {
            chars += FIXED_CHARS + difference.sizeChars();
        }
        return chars;
    }
}
