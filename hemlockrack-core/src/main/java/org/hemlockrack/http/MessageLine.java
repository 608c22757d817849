package org.hemlockrack.http;

import org.jspecify.annotations.Nullable;

/**
 * The lines of a message around its content, each with the grammar of RFC 9112. A line that a
 * recipient may repair, such as one with a blank before the colon, is a violation, too: senders
 * must not send it, so the message may be damaged in other places.
 */
enum MessageLine {
    STATUS(false) {
        @Override
        @Nullable SyntaxViolation findViolation(LineScanner line) {
            boolean hasStatus =
                    line.skip("HTTP/1.")
                            && line.skip(CharClass.DIGIT)
                            && line.skip(' ')
                            && line.skip(CharClass.STATUS_CLASS)
                            && line.skip(CharClass.DIGIT)
                            && line.skip(CharClass.DIGIT);
            // Servers that send no reason phrase often omit the space before it, too.
            if (hasStatus && line.skip(' ')) {
                line.skipAll(CharClass.TEXT);
            }
            return hasStatus
                    ? line.violatesUnlessAtEnd(SyntaxRule.STATUS_LINE)
                    : line.violates(SyntaxRule.STATUS_LINE);
        }
    },

    FIELD(false) {
        @Override
        @Nullable SyntaxViolation findViolation(LineScanner line) {
            SyntaxViolation violation = FIELD_NAME.findViolation(line);
            if (violation != null) {
                return violation;
            }
            line.skipAll(CharClass.TEXT);
            return line.violatesUnlessAtEnd(SyntaxRule.FIELD_VALUE);
        }
    },

    /** A field whose value is left to the recipient. */
    FIELD_NAME(false) {
        @Override
        @Nullable SyntaxViolation findViolation(LineScanner line) {
            boolean hasName = line.skipAll(CharClass.TOKEN) && line.skip(':');
            return hasName ? null : line.violates(SyntaxRule.FIELD_NAME);
        }
    },

    CHUNK_SIZE(true) {
        @Override
        @Nullable SyntaxViolation findViolation(LineScanner line) {
            boolean hasDigits = line.skipAll(CharClass.ZERO);
            int digits = 0;
            while (line.skip(CharClass.HEX_DIGIT)) {
                digits++;
            }
            if (!hasDigits && digits == 0 || digits > MAX_SIZE_DIGITS) {
                return line.violates(SyntaxRule.CHUNK_SIZE);
            }
            while (!line.isAtEnd()) {
                if (!skipExtension(line)) {
                    return line.violates(SyntaxRule.CHUNK_EXTENSION);
                }
            }
            return null;
        }

        private static boolean skipExtension(LineScanner line) {
            line.skipAll(CharClass.BLANK);
            if (!line.skip(';')) {
                return false;
            }
            line.skipAll(CharClass.BLANK);
            if (!line.skipAll(CharClass.TOKEN)) {
                return false;
            }
            if (line.isAtEnd()) {
                return true;
            }
            line.skipAll(CharClass.BLANK);
            if (!line.skip('=')) {
                return !line.isAtEnd();
            }
            line.skipAll(CharClass.BLANK);
            return line.skipAll(CharClass.TOKEN) || line.skipQuotedString();
        }
    },

    CHUNK_END(true) {
        @Override
        @Nullable SyntaxViolation findViolation(LineScanner line) {
            return line.violatesUnlessAtEnd(SyntaxRule.CHUNK_END);
        }
    };

    /** Any number of so many hexadecimal digits fits into a long. */
    private static final int MAX_SIZE_DIGITS = 15;

    private final boolean mRequiresCrLf;

    MessageLine(boolean requiresCrLf) {
        mRequiresCrLf = requiresCrLf;
    }

    abstract @Nullable SyntaxViolation findViolation(LineScanner line);

    /** Returns the first violation in a line, or null. */
    final @Nullable SyntaxViolation findViolation(CharSequence text, boolean endsWithCrLf) {
        SyntaxViolation violation = findViolation(LineScanner.of(text));
        if (violation != null) {
            return violation;
        }
        return mRequiresCrLf && !endsWithCrLf
                ? new SyntaxViolation(SyntaxRule.LINE_END, 1, text.length() + 1)
                : null;
    }
}
