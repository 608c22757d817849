package org.hemlockrack.daemon.gateway;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a caller's request says beside method, path and body.
 *
 * @param attemptId id of the caller's attempt, empty if it has none
 * @param host value of the Host header field, without a port
 * @param waitMillis how long the caller waits, or a negative number if it does not say
 * @param bearerKey the caller's key, or null
 * @param promptParts ids of the prompt's parts in order, empty for plain requests
 */
public record CallerFacts(
        String attemptId,
        String host,
        long waitMillis,
        @Nullable String bearerKey,
        List<String> promptParts) {
    /** Copies the list. */
    public CallerFacts {
        promptParts = List.copyOf(promptParts);
    }
}
