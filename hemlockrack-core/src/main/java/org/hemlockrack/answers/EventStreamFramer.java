package org.hemlockrack.answers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events after its last complete event and leaves the bytes
 * unchanged. A stream that was forwarded in complete events can be continued at another server. Not
 * thread-safe.
 */
public final class EventStreamFramer {
    private static final int INITIAL_BYTES = 512;
    private static final String ID_FIELD = "id:";

    private byte[] mBuffer = new byte[INITIAL_BYTES];
    private int mSize;
    private int mLineStart;
    private int mCompleteEnd;
    private boolean mForwarded;
    private @Nullable String mLastEventId;
    private @Nullable String mPartialEventId;

    private EventStreamFramer() {}

    /** Creates a framer at the start of a stream. */
    public static EventStreamFramer create() {
        return new EventStreamFramer();
    }

    /**
     * Adds bytes and removes all complete events.
     *
     * @param data the bytes; consumed
     * @return the buffered and new bytes up to the end of the last complete event, empty if there
     *     is none
     */
    public byte[] feed(ByteBuffer data) {
        while (data.hasRemaining()) {
            addByte(data.get());
        }
        byte[] complete = Arrays.copyOf(mBuffer, mCompleteEnd);
        mForwarded |= complete.length > 0;
        System.arraycopy(mBuffer, mCompleteEnd, mBuffer, 0, mSize - mCompleteEnd);
        mSize -= mCompleteEnd;
        mLineStart -= mCompleteEnd;
        mCompleteEnd = 0;
        return complete;
    }

    private void addByte(byte b) {
        if (mSize == mBuffer.length) {
            mBuffer = Arrays.copyOf(mBuffer, mSize * 2);
        }
        mBuffer[mSize++] = b;
        if (b != '\n') {
            return;
        }
        int lineBytes = mSize - mLineStart - 1;
        if (lineBytes > 0 && mBuffer[mSize - 2] == '\r') {
            lineBytes--;
        }
        if (lineBytes == 0) {
            mCompleteEnd = mSize;
            mLastEventId = mPartialEventId == null ? mLastEventId : mPartialEventId;
        } else {
            parseLine(new String(mBuffer, mLineStart, lineBytes, StandardCharsets.UTF_8));
        }
        mLineStart = mSize;
    }

    private void parseLine(String line) {
        if (line.startsWith(ID_FIELD)) {
            mPartialEventId = line.substring(ID_FIELD.length()).trim();
        }
    }

    /**
     * Returns whether the stream can be continued at another server without lost or repeated
     * events: nothing was forwarded, or a complete event had an id.
     */
    public boolean isResumable() {
        return !mForwarded || mLastEventId != null;
    }

    /** Returns the number of buffered bytes of the incomplete event. */
    public int partialBytes() {
        return mSize;
    }

    /** Returns the id of the last complete event with an id, or null if there was none. */
    public @Nullable String lastEventId() {
        return mLastEventId;
    }

    /** Discards the incomplete event, because the stream is continued at another server. */
    public void discardPartial() {
        mSize = 0;
        mLineStart = 0;
        mPartialEventId = null;
    }
}
