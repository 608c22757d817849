package org.hemlockrack.config;

import java.util.List;

/**
 * One accepted version.
 *
 * @param version the version
 * @param timeMillis leader time of the change, in milliseconds since the epoch
 * @param author who made it
 * @param requestId request id of the patch
 * @param differences differences from the version before
 */
public record HistoryEntry(
        long version,
        long timeMillis,
        String author,
        String requestId,
        List<Difference> differences) {
    private static final int FIXED_CHARS = 100;

    /** Copies the list. */
    public HistoryEntry {
        differences = List.copyOf(differences);
    }

    /** Returns the memory that the entry takes, in characters. */
    public int sizeChars() {
        int chars = FIXED_CHARS + author.length() + requestId.length();
        for (Difference difference : differences) {
            chars += FIXED_CHARS + difference.sizeChars();
        }
        return chars;
    }
}
