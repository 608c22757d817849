package org.hemlockrack.daemon.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A request that was received completely.
 *
 * @param method the method as received
 * @param path the path without the query
 * @param query the query without the question mark, or null
 * @param headers all header fields in their order
 * @param body the whole body, empty if there is none
 */
public record HttpCall(
        String method,
        String path,
        @Nullable String query,
        List<HeaderField> headers,
        byte[] body) {

    /**
     * Returns the first value of a header field.
     *
     * @param name name of the field, case-insensitive
     * @return the value, or null if there is no such field
     */
    public @Nullable String header(String name) {
        return HeaderField.firstValue(headers, name);
    }

    /**
     * Returns the first value of a query parameter.
     *
     * @param name name of the parameter, matched without URL decoding
     * @return the decoded value, empty for a parameter without "=", or null if there is none
     */
    public @Nullable String queryParameter(String name) {
        if (query == null) {
            return null;
        }
        for (String pair : query.split("&")) {
            int eq = pair.indexOf('=');
            String key = eq < 0 ? pair : pair.substring(0, eq);
            if (!key.equals(name)) {
                continue;
            }
            return eq < 0 ? "" : URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8);
        }
        return null;
    }

    /** Returns the path with the query. */
    public String target() {
        return query == null ? path : path + "?" + query;
    }

    /** Returns the body as UTF-8 text. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
