package org.hemlockrack.http;

import org.jspecify.annotations.Nullable;

/** Checks the heads of a connection, one after the other. */
public final class HeadSyntax extends LineSyntax {
    private final Kind mKind;
    private boolean mHasStartLine;
    private boolean mHasField;

    /** Whose heads are checked. */
    private enum Kind {
        RESPONSE {
            @Override
            @Nullable SyntaxViolation findStartLineViolation(
                    CharSequence startLine, boolean endsWithCrLf) {
                return MessageLine.STATUS.findViolation(startLine, endsWithCrLf);
            }

            @Override
            MessageLine fieldLine() {
                return MessageLine.FIELD;
            }

            @Override
            boolean allowsFolding() {
                return false;
            }
        },

        /** Request lines, the values of fields and folded lines are left to the parser. */
        REQUEST {
            @Override
            @Nullable SyntaxViolation findStartLineViolation(
                    CharSequence startLine, boolean endsWithCrLf) {
                return null;
            }

            @Override
            MessageLine fieldLine() {
                return MessageLine.FIELD_NAME;
            }

            @Override
            boolean allowsFolding() {
                return true;
            }
        };

        abstract @Nullable SyntaxViolation findStartLineViolation(
                CharSequence startLine, boolean endsWithCrLf);

        abstract MessageLine fieldLine();

        abstract boolean allowsFolding();
    }

    private HeadSyntax(Kind kind) {
        mKind = kind;
    }

    /** Creates a check of responses. */
    public static HeadSyntax ofResponses() {
        return new HeadSyntax(Kind.RESPONSE);
    }

    /** Creates a check of requests, which may follow empty lines. */
    public static HeadSyntax ofRequests() {
        return new HeadSyntax(Kind.REQUEST);
    }

    @Override
    @Nullable SyntaxViolation findNextViolation(CharSequence text, boolean endsWithCrLf) {
        if (!mHasStartLine) {
            mHasStartLine = !text.isEmpty();
            return mKind.findStartLineViolation(text, endsWithCrLf);
        }
        if (text.isEmpty()) {
            reset();
            return null;
        }
        boolean continuesField =
                mHasField && mKind.allowsFolding() && CharClass.BLANK.contains(text.charAt(0));
        mHasField = true;
        return continuesField ? null : mKind.fieldLine().findViolation(text, endsWithCrLf);
    }

    @Override
    public void reset() {
        super.reset();
        mHasStartLine = false;
        mHasField = false;
    }
}
