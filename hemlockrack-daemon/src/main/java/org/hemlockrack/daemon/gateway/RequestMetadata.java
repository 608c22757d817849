package org.hemlockrack.daemon.gateway;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Routing and authentication data from the header fields of a caller's request.
 *
 * @param attemptId id of the caller's attempt, empty if it has none
 * @param host value of the Host header field, without a port
 * @param timeoutMillis how long the caller waits for the answer, or a negative number if it states
 *     no timeout
 * @param bearerKey the caller's bearer key, or null
 * @param promptPartIds ids of the parts of the prompt in order, empty for requests without a prompt
 */
public record RequestMetadata(
        String attemptId,
        String host,
        long timeoutMillis,
        @Nullable String bearerKey,
        List<String> promptPartIds) {
    /** Copies the list. */
    public RequestMetadata {
        promptPartIds = List.copyOf(promptPartIds);
    }
}
