package org.hemlockrack.answers.internal;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/** Parser of server-sent events, with lines that end in LF, CR or CRLF. */
final class StreamParser {
    private static final int INITIAL_BYTES = 256;
    private static final String TERMINATOR = "[DONE]";

    private final int mMaxEventBytes;
    private byte[] mBuffer = new byte[INITIAL_BYTES];
    private int mSize;
    private int mLineStart;
    private boolean mAfterCr;
    private byte[] mInput = new byte[0];
    private int mInputPosition;
    private boolean mTooLarge;

    private StreamParser(int maxEventBytes) {
        mMaxEventBytes = maxEventBytes;
    }

    static StreamParser create(int maxEventBytes) {
        return new StreamParser(maxEventBytes);
    }

    /** Adds input; the previous input must have been consumed with {@link #next}. */
    void feed(byte[] bytes) {
        mInput = bytes;
        mInputPosition = 0;
    }

    /** Returns the next complete event, or null if more input is needed. */
    @Nullable StreamEvent next() {
        while (mInputPosition < mInput.length && !mTooLarge) {
            StreamEvent event = acceptByte(mInput[mInputPosition++]);
            if (event != null) {
                return event;
            }
        }
        return null;
    }

    /** Returns whether an event exceeded the maximum size; parsing stops then. */
    boolean isTooLarge() {
        return mTooLarge;
    }

    private @Nullable StreamEvent acceptByte(byte b) {
        boolean lfOfCrLf = mAfterCr && b == '\n';
        mAfterCr = b == '\r';
        if (lfOfCrLf) {
            return null;
        }
        if (b != '\n' && b != '\r') {
            append(b);
            return null;
        }
        boolean blank = mSize == mLineStart;
        if (blank && mSize == 0) {
            return null;
        }
        append((byte) '\n');
        mLineStart = mSize;
        return blank && !mTooLarge ? takeEvent() : null;
    }

    private void append(byte b) {
        if (mSize == mMaxEventBytes) {
            mTooLarge = true;
            return;
        }
        if (mSize == mBuffer.length) {
            mBuffer = Arrays.copyOf(mBuffer, Math.min(mMaxEventBytes, mSize * 2));
        }
        mBuffer[mSize++] = b;
    }

    private StreamEvent takeEvent() {
        byte[] bytes = Arrays.copyOf(mBuffer, mSize);
        mSize = 0;
        mLineStart = 0;
        return parse(bytes);
    }

    private static StreamEvent parse(byte[] bytes) {
        String id = null;
        int dataLines = 0;
        boolean terminator = false;
        for (String line : new String(bytes, StandardCharsets.UTF_8).split("\n")) {
            String field = fieldName(line);
            if (field.equals("id")) {
                id = fieldValue(line);
            }
            if (field.equals("data")) {
                dataLines++;
                terminator = fieldValue(line).equals(TERMINATOR);
            }
        }
        return new StreamEvent(bytes, id, dataLines > 0, dataLines == 1 && terminator);
    }

    private static String fieldName(String line) {
        int colon = line.indexOf(':');
        return colon < 0 ? line : line.substring(0, colon);
    }

    private static String fieldValue(String line) {
        int colon = line.indexOf(':');
        if (colon < 0) {
            return "";
        }
        int start = line.startsWith(" ", colon + 1) ? colon + 2 : colon + 1;
        return line.substring(start);
    }
}
