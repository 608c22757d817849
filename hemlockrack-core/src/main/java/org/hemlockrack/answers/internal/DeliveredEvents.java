package org.hemlockrack.answers.internal;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * The data events that were forwarded to the caller, as a count and a hash chain, with which a
 * repeated run is compared in constant memory.
 */
final class DeliveredEvents {
    private static final byte[] EMPTY = new byte[0];

    private long mCount;
    private byte[] mChain = EMPTY;
    private long mReplayCount;
    private byte[] mReplayChain = EMPTY;
    private @Nullable Boolean mNumbered;

    long count() {
        return mCount;
    }

    boolean isNumbered() {
        return Boolean.TRUE.equals(mNumbered);
    }

    /** Returns whether an event is numbered like the first one; the first one sets the mode. */
    boolean checkNumbering(boolean numbered) {
        if (mNumbered == null) {
            mNumbered = numbered;
        }
        return mNumbered == numbered;
    }

    /** Starts the comparison with a run that repeats the stream from its first event. */
    void startReplay() {
        mReplayCount = 0;
        mReplayChain = EMPTY;
        if (mCount == 0) {
            mNumbered = null;
        }
    }

    /** Continues after the last delivered event, for a resumed stream. */
    void startResumed() {
        mReplayCount = mCount;
        mReplayChain = mChain;
    }

    boolean isReplaying() {
        return mReplayCount < mCount;
    }

    long expectedNumber() {
        return mReplayCount + 1;
    }

    /** Adds one repeated event; returns false if after the last one the hash chains differ. */
    boolean addReplayed(byte[] event) {
        mReplayChain = extendChain(mReplayChain, event);
        mReplayCount++;
        return isReplaying() || Arrays.equals(mReplayChain, mChain);
    }

    void deliver(byte[] event) {
        mChain = extendChain(mChain, event);
        mCount++;
        mReplayCount = mCount;
        mReplayChain = mChain;
    }

    private static byte[] extendChain(byte[] chain, byte[] event) {
        HashCode hash =
                Hashing.sha256()
                        .newHasher()
                        .putBytes(chain)
                        .putInt(event.length)
                        .putBytes(event)
                        .hash();
        return hash.asBytes();
    }
}
