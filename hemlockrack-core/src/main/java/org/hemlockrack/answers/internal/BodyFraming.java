package org.hemlockrack.answers.internal;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.answers.Header;

/**
 * How the end of an HTTP message body is determined.
 *
 * @param mode the method
 * @param lengthBytes the Content-Length; 0 unless the mode is LENGTH
 */
record BodyFraming(Mode mode, long lengthBytes) {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Methods to determine the end of a body. */
    enum Mode {
        NONE,
        LENGTH,
        CHUNKED,
        /** Missing, contradictory or malformed; it cannot be verified that the body is complete. */
        INVALID
    }

    static BodyFraming of(int status, List<Header> headers, boolean bodyExpected) {
        if (!bodyExpected || status == NO_CONTENT || status == NOT_MODIFIED) {
            return new BodyFraming(Mode.NONE, 0);
        }
        List<String> codings = values(headers, "Transfer-Encoding");
        List<String> lengths = values(headers, "Content-Length");
        // Both fields together may indicate request smuggling (RFC 9112, section 6.1).
        if (codings.size() + lengths.size() != 1) {
            return new BodyFraming(Mode.INVALID, 0);
        }
        if (lengths.isEmpty()) {
            boolean chunked = codings.get(0).equalsIgnoreCase("chunked");
            return new BodyFraming(chunked ? Mode.CHUNKED : Mode.INVALID, 0);
        }
        return ofLength(lengths.get(0));
    }

    /** Returns whether a body that ended after this many bytes is complete. */
    boolean isCompleteAt(long bodyBytes) {
        return mode == Mode.CHUNKED || bodyBytes == lengthBytes;
    }

    /** Returns whether more bytes arrived than the head stated. */
    boolean isExceededBy(long bodyBytes) {
        return mode != Mode.CHUNKED && bodyBytes > lengthBytes;
    }

    private static BodyFraming ofLength(String text) {
        // Any number of 18 digits fits into a long.
        if (!text.matches("[0-9]{1,18}")) {
            return new BodyFraming(Mode.INVALID, 0);
        }
        return new BodyFraming(Mode.LENGTH, Long.parseLong(text));
    }

    private static List<String> values(List<Header> headers, String name) {
        List<String> values = new ArrayList<>();
        for (Header header : headers) {
            if (header.isNamed(name)) {
                values.add(header.value().trim());
            }
        }
        return values;
    }
}
