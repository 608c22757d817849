package org.hemlockrack.daemon.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The body of a response by the grammar of RFC 9112, whose bytes are the characters of a string.
 * The request has no body, and its connection ends after the last byte.
 */
final class ResponseOracle {
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]++";
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*+";
    private static final String FIELDS = "((?:" + TOKEN + ":" + TEXT + "\\r?\\n)*+)\\r?\\n";
    private static final String QUOTED_TEXT = "[\\t\\x20!\\x23-\\x5b\\x5d-\\x7e\\x80-\\xff]";
    private static final String QUOTED_PAIR = "\\\\[\\t\\x20-\\x7e\\x80-\\xff]";
    private static final String QUOTED = "\"(?:" + QUOTED_TEXT + "|" + QUOTED_PAIR + ")*+\"";
    private static final String BLANKS = "[ \\t]*+";
    private static final String EXTENSION_VALUE =
            BLANKS + "=" + BLANKS + "(?:" + TOKEN + "|" + QUOTED + ")";
    private static final String EXTENSIONS =
            "(?:" + BLANKS + ";" + BLANKS + TOKEN + "(?:" + EXTENSION_VALUE + ")?+)*+";

    private static final Pattern HEAD =
            Pattern.compile(
                    "HTTP/1\\.([0-9]) ([1-5][0-9][0-9])(?: " + TEXT + ")?+\\r?\\n" + FIELDS);
    private static final Pattern CHUNK_SIZE =
            Pattern.compile("([0-9A-Fa-f]++)" + EXTENSIONS + "\\r\\n");
    private static final Pattern TRAILERS = Pattern.compile(FIELDS);
    private static final String CHUNK_END = "\r\n";

    private final String mBytes;
    private int mPosition;

    private ResponseOracle(String bytes) {
        mBytes = bytes;
    }

    /**
     * Returns the body.
     *
     * @param bytes all that the server sends
     * @return the body, or empty if the response is malformed or incomplete
     */
    static Optional<String> bodyOf(String bytes) {
        return new ResponseOracle(bytes).readResponse();
    }

    private Optional<Matcher> match(Pattern pattern) {
        Matcher matcher = pattern.matcher(mBytes).region(mPosition, mBytes.length());
        if (!matcher.lookingAt()) {
            return Optional.empty();
        }
        mPosition = matcher.end();
        return Optional.of(matcher);
    }

    private Optional<String> readResponse() {
        while (true) {
            Optional<Matcher> head = match(HEAD);
            if (head.isEmpty()) {
                return Optional.empty();
            }
            List<String> lengths = values(head.get().group(3), "Content-Length");
            List<String> codings = values(head.get().group(3), "Transfer-Encoding");
            if (!isSound(lengths, codings, head.get().group(1))) {
                return Optional.empty();
            }
            int status = Integer.parseInt(head.get().group(2));
            if (status >= 200) {
                return status == 204 || status == 304
                        ? Optional.of("")
                        : readBody(lengths, !codings.isEmpty());
            }
        }
    }

    private static boolean isSound(
            List<String> lengths, List<String> codings, String minorVersion) {
        if (lengths.size() + codings.size() > 1) {
            return false;
        }
        return lengths.stream().allMatch(value -> value.matches("0*[0-9]{1,18}"))
                && codings.stream().allMatch("chunked"::equalsIgnoreCase)
                && (codings.isEmpty() || !minorVersion.equals("0"));
    }

    private static List<String> values(String fields, String name) {
        List<String> values = new ArrayList<>();
        for (String field : fields.split("\n")) {
            int colon = field.indexOf(':');
            if (colon >= 0 && field.substring(0, colon).equalsIgnoreCase(name)) {
                values.add(field.substring(colon + 1).strip());
            }
        }
        return values;
    }

    private Optional<String> readBody(List<String> lengths, boolean isChunked) {
        if (isChunked) {
            return readChunks();
        }
        int availableBytes = mBytes.length() - mPosition;
        long bodyBytes = lengths.isEmpty() ? availableBytes : Long.parseLong(lengths.get(0));
        return bodyBytes > availableBytes
                ? Optional.empty()
                : Optional.of(mBytes.substring(mPosition, mPosition + (int) bodyBytes));
    }

    private Optional<String> readChunks() {
        StringBuilder body = new StringBuilder();
        while (true) {
            Optional<Matcher> line = match(CHUNK_SIZE);
            if (line.isEmpty()) {
                return Optional.empty();
            }
            String digits = line.get().group(1).replaceFirst("^0+", "");
            if (digits.isEmpty()) {
                return match(TRAILERS).map(trailers -> body.toString());
            }
            int end = digits.length() > 7 ? -1 : mPosition + Integer.parseInt(digits, 16);
            if (end < 0 || !mBytes.startsWith(CHUNK_END, end)) {
                return Optional.empty();
            }
            body.append(mBytes, mPosition, end);
            mPosition = end + CHUNK_END.length();
        }
    }
}
