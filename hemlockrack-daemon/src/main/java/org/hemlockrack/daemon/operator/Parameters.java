package org.hemlockrack.daemon.operator;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.Names;
import org.jspecify.annotations.Nullable;

/** Reads what operators put into paths, queries and header fields. */
final class Parameters {
    /** Longest wait that an operator may ask for; the operator port keeps a connection for it. */
    static final long MAX_WAIT_MILLIS = 600_000;

    private Parameters() {}

    /**
     * Reads a version number.
     *
     * @param name where it stands, for the message
     * @param text the text, or null if it is missing
     * @return the number
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is missing or malformed
     */
    static long version(String name, @Nullable String text) {
        if (text == null || !text.matches("[0-9]{1,18}")) {
            throw malformed(name, text, "a version number");
        }
        return Long.parseLong(text);
    }

    /**
     * Reads {@code timeout_ms}.
     *
     * @param call the request
     * @param defaultMillis the value if it is missing
     * @return the wait in milliseconds
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    static long timeoutMillis(HttpCall call, long defaultMillis) {
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
     * Reads a name from a path segment.
     *
     * @param what what is named, for the message
     * @param segment the segment as it stands in the path
     * @return the name
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    static String name(String what, String segment) {
        try {
            String name = URLDecoder.decode(segment, StandardCharsets.UTF_8);
            Names.requireValid(what, name);
            return name;
        } catch (IllegalArgumentException e) {
            throw malformed(what, segment, "a name in URL encoding");
        }
    }

    private static HemlockrackException malformed(
            String name, @Nullable String text, String allowed) {
        String found = text == null ? "missing" : "\"" + text + "\"";
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST, name + " is " + found + "; allowed: " + allowed);
    }
}
