package org.hemlockrack.answers.internal;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * The data events that the caller has, as a count and a hash chain. A repeated run is compared with
 * it in constant memory.
 */
final class Delivered {
    private static final byte[] EMPTY = new byte[0];

    private long mCount;
    private byte[] mChain = EMPTY;
    private long mReplayCount;
    private byte[] mReplayChain = EMPTY;
    private @Nullable Boolean mNumbered;

    long count() {
        return mCount;
    }

    boolean numbered() {
        return Boolean.TRUE.equals(mNumbered);
    }

    /** Fixes whether events carry numbers with the first one; returns false for a mixture. */
    boolean agreesOnNumbering(boolean numbered) {
        if (mNumbered == null) {
            mNumbered = numbered;
        }
        return mNumbered == numbered;
    }

    /** Starts a run that repeats the stream from its first event. */
    void startReplay() {
        mReplayCount = 0;
        mReplayChain = EMPTY;
        if (mCount == 0) {
            mNumbered = null;
        }
    }

    /** Continues after the last delivered event, as a resumed stream does. */
    void startAfterLast() {
        mReplayCount = mCount;
        mReplayChain = mChain;
    }

    boolean replaying() {
        return mReplayCount < mCount;
    }

    long expectedNumber() {
        return mReplayCount + 1;
    }

    /** Checks one repeated event; returns false once the last one shows a difference. */
    boolean replay(byte[] event) {
        mReplayChain = link(mReplayChain, event);
        mReplayCount++;
        return replaying() || Arrays.equals(mReplayChain, mChain);
    }

    void deliver(byte[] event) {
        mChain = link(mChain, event);
        mCount++;
        mReplayCount = mCount;
        mReplayChain = mChain;
    }

    private static byte[] link(byte[] chain, byte[] event) {
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
