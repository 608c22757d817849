package org.hemlockrack.daemon.http;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.hemlockrack.limits.RequestMemory;
import org.jspecify.annotations.Nullable;

/**
 * The bytes of one request body as they arrive, reserved before they are allocated. Bytes are added
 * by the I/O thread only; the other methods are safe for use from any thread.
 */
final class RequestBody {
    private static final int FIRST_BYTES = 2 << 10;

    private static final byte[] EMPTY = new byte[0];

    private final RequestMemory.Account mAccount;
    private byte[] mBytes = EMPTY;
    private int mSize;
    private boolean mDiscarded;

    RequestBody(RequestMemory.Account account) {
        mAccount = account;
    }

    int size() {
        return mSize;
    }

    /**
     * Adds bytes.
     *
     * @param src the bytes
     * @param maxBytes most bytes that the body can have
     * @return false if there is no memory for them
     */
    boolean append(ByteBuffer src, int maxBytes) {
        int size = mSize + src.remaining();
        if (size > mBytes.length) {
            long doubled = Math.max(FIRST_BYTES, 2L * mBytes.length);
            if (!resize((int) Math.max(size, Math.min(doubled, maxBytes)))) {
                return false;
            }
        }
        synchronized (this) {
            if (mDiscarded) {
                src.position(src.limit());
                return true;
            }
            int added = src.remaining();
            src.get(mBytes, mSize, added);
            mSize += added;
        }
        return true;
    }

    private boolean resize(int capacity) {
        // No lock is held: the reservation may discard bodies of other connections.
        if (!mAccount.tryReserve(RequestMemory.Kind.BODY, capacity, System.nanoTime())) {
            return false;
        }
        int unusedBytes = capacity;
        synchronized (this) {
            if (!mDiscarded) {
                unusedBytes = mBytes.length;
                mBytes = Arrays.copyOf(mBytes, capacity);
            }
        }
        mAccount.release(RequestMemory.Kind.BODY, unusedBytes);
        return true;
    }

    /**
     * Returns the whole body. Its memory stays reserved until {@link #discard}.
     *
     * @return the body, or null if there is no memory to copy it
     */
    byte @Nullable [] toBytes() {
        if (mSize != mBytes.length && !resize(mSize)) {
            return null;
        }
        synchronized (this) {
            return mBytes;
        }
    }

    /** Returns the memory to the budget; further bytes are dropped. */
    void discard() {
        int capacity;
        synchronized (this) {
            mDiscarded = true;
            capacity = mBytes.length;
            mBytes = EMPTY;
            mSize = 0;
        }
        mAccount.release(RequestMemory.Kind.BODY, capacity);
    }
}
