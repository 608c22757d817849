package org.hemlockrack.http;

import org.jspecify.annotations.Nullable;

/** Checks the heads of a connection, one after the other. */
public final class HeadSyntax extends LineSyntax {
    private final @Nullable MessageLine mStartLine;
    private boolean mInHead;

    private HeadSyntax(@Nullable MessageLine startLine) {
        mStartLine = startLine;
    }

    /** Creates a check of responses. */
    public static HeadSyntax ofResponses() {
        return new HeadSyntax(MessageLine.STATUS);
    }

    /**
     * Creates a check of requests. It leaves the request line, and empty lines before it, alone.
     */
    public static HeadSyntax ofRequests() {
        return new HeadSyntax(null);
    }

    @Override
    @Nullable SyntaxViolation findNextViolation(CharSequence text, boolean endsWithCrLf) {
        if (!mInHead) {
            mInHead = mStartLine != null || !text.isEmpty();
            return mStartLine == null ? null : mStartLine.findViolation(text, endsWithCrLf);
        }
        if (text.isEmpty()) {
            reset();
            return null;
        }
        return MessageLine.FIELD.findViolation(text, endsWithCrLf);
    }

    @Override
    public void reset() {
        super.reset();
        mInHead = false;
    }
}
