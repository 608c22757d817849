package org.hemlockrack.answers.internal;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.answers.Header;
import org.hemlockrack.http.LengthFields;

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
        LengthFields fields =
                new LengthFields(
                        values(headers, "Content-Length"), values(headers, "Transfer-Encoding"));
        if (fields.findViolation(false) != null) {
            return new BodyFraming(Mode.INVALID, 0);
        }
        if (!fields.transferEncodings().isEmpty()) {
            return new BodyFraming(Mode.CHUNKED, 0);
        }
        if (fields.contentLengths().isEmpty()) {
            return new BodyFraming(Mode.INVALID, 0);
        }
        long lengthBytes = LengthFields.parseLength(fields.contentLengths().get(0));
        return new BodyFraming(Mode.LENGTH, lengthBytes);
    }

    /** Returns whether a body that ended after this many bytes is complete. */
    boolean isCompleteAt(long bodyBytes) {
        return mode == Mode.CHUNKED || bodyBytes == lengthBytes;
    }

    /** Returns whether more bytes arrived than the head stated. */
    boolean isExceededBy(long bodyBytes) {
        return mode != Mode.CHUNKED && bodyBytes > lengthBytes;
    }

    private static List<String> values(List<Header> headers, String name) {
        List<String> values = new ArrayList<>();
        for (Header header : headers) {
            if (header.isNamed(name)) {
                values.add(header.value());
            }
        }
        return values;
    }
}
