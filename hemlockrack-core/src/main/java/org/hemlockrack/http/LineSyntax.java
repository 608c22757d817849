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
     * @return the first violation, or null
     */
    public final @Nullable SyntaxViolation findViolation(CharSequence text, boolean endsWithCrLf) {
        mLines++;
        SyntaxViolation violation = findNextViolation(text, endsWithCrLf);
        return violation == null ? null : violation.atLine(mLines);
    }

    abstract @Nullable SyntaxViolation findNextViolation(CharSequence text, boolean endsWithCrLf);

    /** Starts a new head or body. */
    public void reset() {
        mLines = 0;
    }
}
