package org.hemlockrack.daemon.operator;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.Names;
import org.jspecify.annotations.Nullable;

/** Parses path segments, query parameters and header fields of operators' requests. */
final class RequestParameters {
    /** Longest timeout that an operator may set; the request occupies a connection until then. */
    static final long MAX_WAIT_MILLIS = 600_000;

    private RequestParameters() {}

    /**
     * Parses a version number.
     *
     * @param name name of the parameter or header field, for the error message
     * @param text the text, or null if it is missing
     * @return the version number
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is missing or malformed
     */
    static long parseVersion(String name, @Nullable String text) {
        if (text == null || !text.matches("[0-9]{1,18}")) {
            throw malformed(name, text, "a version number");
        }
        return Long.parseLong(text);
    }

    /**
     * Parses the query parameter {@code timeout_ms}.
     *
     * @param call the request
     * @param defaultMillis the value if it is missing
     * @return the timeout in milliseconds
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    static long parseTimeoutMillis(HttpCall call, long defaultMillis) {
        String text = call.queryParameter("timeout_ms");
        if (text == null) {
            return defaultMillis;
        }
        boolean digits = text.matches("[0-9]{1,9}");
        if (!digits || Long.parseLong(text) > MAX_WAIT_MILLIS) {
            throw malformed("timeout_ms", text, "0 to " + MAX_WAIT_MILLIS);
        }
        return Long.parseLong(text);
    }

    /**
     * Decodes a name from a path segment.
     *
     * @param label kind of name, for the error message
     * @param segment the segment in URL encoding
     * @return the name
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    static String decodeName(String label, String segment) {
        try {
            String name = URLDecoder.decode(segment, StandardCharsets.UTF_8);
            Names.requireValid(label, name);
            return name;
        } catch (IllegalArgumentException e) {
            throw malformed(label, segment, "a name in URL encoding");
        }
    }

    private static HemlockrackException malformed(
            String name, @Nullable String text, String allowed) {
        String found = text == null ? "missing" : "\"" + text + "\"";
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST, name + " is " + found + "; allowed: " + allowed);
    }
}
