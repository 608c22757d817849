package org.hemlockrack.http;

import com.google.common.base.CharMatcher;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The fields of a head that say where its body ends. Two processes that understand them differently
 * could take a part of one message for another (RFC 9112, section 11).
 *
 * @param contentLengths values of Content-Length
 * @param transferEncodings values of Transfer-Encoding
 */
public record LengthFields(List<String> contentLengths, List<String> transferEncodings) {
    /** What {@link #parseLength} returns for a value that is no length. */
    public static final long INVALID_LENGTH = -1;

    private static final CharMatcher BLANKS = CharMatcher.anyOf(" \t");
    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');
    private static final String CHUNKED = "chunked";

    /**
     * Returns the rule that the fields violate, or null.
     *
     * @param isHttp10 whether the message is one of HTTP/1.0, which has no Transfer-Encoding
     */
    public @Nullable SyntaxRule findViolation(boolean isHttp10) {
        if (!contentLengths.isEmpty() && !transferEncodings.isEmpty()) {
            return SyntaxRule.CONFLICTING_LENGTHS;
        }
        if (!transferEncodings.isEmpty()) {
            boolean isChunked =
                    transferEncodings.size() == 1
                            && BLANKS.trimFrom(transferEncodings.get(0)).equalsIgnoreCase(CHUNKED);
            return isChunked && !isHttp10 ? null : SyntaxRule.TRANSFER_ENCODING;
        }
        if (contentLengths.isEmpty()) {
            return null;
        }
        boolean hasLength =
                contentLengths.size() == 1 && parseLength(contentLengths.get(0)) != INVALID_LENGTH;
        return hasLength ? null : SyntaxRule.CONTENT_LENGTH;
    }

    /**
     * Checks the fields.
     *
     * @param isHttp10 whether the message is one of HTTP/1.0
     * @throws MalformedMessageException with the rule that they violate
     */
    public void check(boolean isHttp10) throws MalformedMessageException {
        SyntaxRule violation = findViolation(isHttp10);
        if (violation != null) {
            throw MalformedMessageException.of(SyntaxViolation.ofHead(violation));
        }
    }

    /**
     * Returns the value of a Content-Length field.
     *
     * @param value the value, with blanks around it
     * @return the length in bytes, or {@link #INVALID_LENGTH}
     */
    public static long parseLength(String value) {
        String digits = BLANKS.trimFrom(value);
        if (digits.isEmpty() || !DIGITS.matchesAllOf(digits)) {
            return INVALID_LENGTH;
        }
        try {
            return Long.parseLong(digits);
        } catch (NumberFormatException e) {
            // The number exceeds the range of a long.
            return INVALID_LENGTH;
        }
    }
}
