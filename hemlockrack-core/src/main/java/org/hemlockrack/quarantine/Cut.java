package org.hemlockrack.quarantine;

import java.util.List;
import org.hemlockrack.model.BackendId;
import org.jspecify.annotations.Nullable;

/**
 * A connection that a backend server ended before its answer was complete, or a connection that it
 * refused.
 *
 * @param server the server
 * @param startMillis start of its incarnation in milliseconds since the epoch, 0 if not stated
 * @param attemptHash identifies the attempt; 0 for a refused connection
 * @param parts names of the request's shared prompt parts in order; empty if the server had begun
 *     the answer, which shows that none of them crashes it
 * @param ownPart name of the part that only the request and its repetitions contain, or those of
 *     its session; null if it has none or the server had begun the answer
 */
public record Cut(
        BackendId server,
        long startMillis,
        long attemptHash,
        List<String> parts,
        @Nullable String ownPart) {
    /** Copies the list. */
    public Cut {
        parts = List.copyOf(parts);
    }

    /**
     * Returns a refused connection.
     *
     * @param server the server
     * @param startMillis start of its incarnation, 0 if not stated
     */
    public static Cut refusedConnection(BackendId server, long startMillis) {
        return new Cut(server, startMillis, 0, List.of(), null);
    }

    boolean isRefusedConnection() {
        return attemptHash == 0;
    }
}
