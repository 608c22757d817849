package org.hemlockrack.http;

import org.jspecify.annotations.Nullable;

/** Reads a line from left to right. Each method returns whether it has moved on. */
final class LineScanner {
    private final CharSequence mLine;
    private int mPosition;

    private LineScanner(CharSequence line) {
        mLine = line;
    }

    static LineScanner of(CharSequence line) {
        return new LineScanner(line);
    }

    boolean isAtEnd() {
        return mPosition == mLine.length();
    }

    boolean skip(char expected) {
        if (isAtEnd() || mLine.charAt(mPosition) != expected) {
            return false;
        }
        mPosition++;
        return true;
    }

    boolean skip(String expected) {
        for (int i = 0; i < expected.length(); i++) {
            if (!skip(expected.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    boolean skip(CharClass expected) {
        if (isAtEnd() || !expected.contains(mLine.charAt(mPosition))) {
            return false;
        }
        mPosition++;
        return true;
    }

    /** Skips all following characters of a class; returns whether there was one. */
    boolean skipAll(CharClass expected) {
        boolean moved = false;
        while (skip(expected)) {
            moved = true;
        }
        return moved;
    }

    /** Skips a quoted string. */
    boolean skipQuotedString() {
        if (!skip('"')) {
            return false;
        }
        while (skip(CharClass.QUOTED_TEXT) || skip('\\') && skip(CharClass.TEXT)) {
            // The rest of the string follows.
        }
        return skip('"');
    }

    /** Returns a violation at the next character. */
    SyntaxViolation violates(SyntaxRule rule) {
        return new SyntaxViolation(rule, 1, mPosition + 1);
    }

    /** Returns null at the end of the line, and otherwise a violation. */
    @Nullable SyntaxViolation violatesUnlessAtEnd(SyntaxRule rule) {
        return isAtEnd() ? null : violates(rule);
    }
}
