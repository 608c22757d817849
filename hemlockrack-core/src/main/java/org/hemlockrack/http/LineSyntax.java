package org.hemlockrack.http;

import org.jspecify.annotations.Nullable;

/** Checks the lines of a head or of a chunked body in their order. */
public abstract class LineSyntax {
    private int mLines;

    LineSyntax() {}

    /**
     * Checks the next line.
     *
     * @param text the line without its end
     * @param endsWithCrLf whether the line ends with CR LF, and not with LF alone
     * @throws MalformedMessageException with the first violation
     */
    public final void check(CharSequence text, boolean endsWithCrLf)
            throws MalformedMessageException {
        mLines++;
        SyntaxViolation violation = findNextViolation(text, endsWithCrLf);
        if (violation != null) {
            throw MalformedMessageException.of(violation.atLine(mLines));
        }
    }

    abstract @Nullable SyntaxViolation findNextViolation(CharSequence text, boolean endsWithCrLf);

    /** Starts a new head or body. */
    public void reset() {
        mLines = 0;
    }
}
