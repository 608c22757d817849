package org.hemlockrack.answers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream of server-sent events after its last whole event and leaves the bytes unchanged. A
 * stream that was passed on in whole events can go on at another server. Not thread-safe.
 */
public final class EventStreamFramer {
    private static final int INITIAL_BYTES = 512;
    private static final String ID_FIELD = "id:";

    private byte[] mHeld = new byte[INITIAL_BYTES];
    private int mSize;
    private int mLineStart;
    private int mWholeEnd;
    private boolean mPassedOn;
    private @Nullable String mLastId;
    private @Nullable String mOpenId;

    private EventStreamFramer() {}

    /** Creates a cutter at the start of a stream. */
    public static EventStreamFramer create() {
        return new EventStreamFramer();
    }

    /**
     * Adds bytes and takes what is whole.
     *
     * @param data the bytes; consumed
     * @return the held and new bytes up to the end of the last whole event, empty if there is none
     */
    public byte[] feed(ByteBuffer data) {
        while (data.hasRemaining()) {
            add(data.get());
        }
        byte[] whole = Arrays.copyOf(mHeld, mWholeEnd);
        mPassedOn |= whole.length > 0;
        System.arraycopy(mHeld, mWholeEnd, mHeld, 0, mSize - mWholeEnd);
        mSize -= mWholeEnd;
        mLineStart -= mWholeEnd;
        mWholeEnd = 0;
        return whole;
    }

    private void add(byte b) {
        if (mSize == mHeld.length) {
            mHeld = Arrays.copyOf(mHeld, mSize * 2);
        }
        mHeld[mSize++] = b;
        if (b != '\n') {
            return;
        }
        int lineBytes = mSize - mLineStart - 1;
        if (lineBytes > 0 && mHeld[mSize - 2] == '\r') {
            lineBytes--;
        }
        if (lineBytes == 0) {
            mWholeEnd = mSize;
            mLastId = mOpenId == null ? mLastId : mOpenId;
        } else {
            readLine(new String(mHeld, mLineStart, lineBytes, StandardCharsets.UTF_8));
        }
        mLineStart = mSize;
    }

    private void readLine(String line) {
        if (line.startsWith(ID_FIELD)) {
            mOpenId = line.substring(ID_FIELD.length()).trim();
        }
    }

    /**
     * Returns whether the stream can go on elsewhere without a gap and without a repeated event.
     */
    public boolean isResumable() {
        return !mPassedOn || mLastId != null;
    }

    /** Returns the number of bytes held after the last whole event. */
    public int partialBytes() {
        return mSize;
    }

    /** Returns the id of the last whole event, or null if there was none with an id. */
    public @Nullable String lastEventId() {
        return mLastId;
    }

    /** Drops the bytes after the last whole event, because the stream goes on elsewhere. */
    public void discardPartial() {
        mSize = 0;
        mLineStart = 0;
        mOpenId = null;
    }

    /** Returns and drops the bytes after the last whole event. */
    public byte[] takePartial() {
        byte[] held = Arrays.copyOf(mHeld, mSize);
        discardPartial();
        return held;
    }
}
