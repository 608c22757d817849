package org.hemlockrack.http;

import org.jspecify.annotations.Nullable;

/** Checks the lines of a chunked body: sizes of chunks, ends of their data, and trailers. */
public final class ChunkedBodySyntax extends LineSyntax {
    private MessageLine mNextLine = MessageLine.CHUNK_SIZE;

    private ChunkedBodySyntax() {}

    public static ChunkedBodySyntax create() {
        return new ChunkedBodySyntax();
    }

    @Override
    @Nullable SyntaxViolation findNextViolation(CharSequence text, boolean endsWithCrLf) {
        boolean isEnd = mNextLine == MessageLine.FIELD && text.isEmpty();
        if (isEnd) {
            return null;
        }
        SyntaxViolation violation = mNextLine.findViolation(text, endsWithCrLf);
        mNextLine =
                switch (mNextLine) {
                    case CHUNK_SIZE ->
                            isLastChunk(text) ? MessageLine.FIELD : MessageLine.CHUNK_END;
                    case CHUNK_END -> MessageLine.CHUNK_SIZE;
                    default -> mNextLine;
                };
        return violation;
    }

    private static boolean isLastChunk(CharSequence text) {
        LineScanner line = LineScanner.of(text);
        line.skipAll(CharClass.ZERO);
        return !line.skip(CharClass.HEX_DIGIT);
    }
}
