package org.hemlockrack.placement.internal;

/** Sliding window over the last 64 sequence numbers that detects gaps, late ones and duplicates. */
final class SequenceWindow {
    private static final int WIDTH = 64;

    /** Position of a sequence number relative to those received before. */
    enum Arrival {
        NEXT,
        /** Higher than the next one: numbers before it are missing, but may still arrive late. */
        AFTER_GAP,
        LATE,
        /** Received before, or older than the window. */
        REPEATED
    }

    private boolean mStarted;
    private long mHighest;
    private long mSeen;

    void reset() {
        mStarted = false;
        mSeen = 0;
    }

    Arrival accept(long sequence) {
        if (!mStarted) {
            mStarted = true;
            mHighest = sequence;
            mSeen = 1;
            return Arrival.NEXT;
        }
        if (sequence > mHighest) {
            return advance(sequence);
        }
        long behind = mHighest - sequence;
        if (behind >= WIDTH || (mSeen >>> behind & 1) == 1) {
            return Arrival.REPEATED;
        }
        mSeen |= 1L << behind;
        return Arrival.LATE;
    }

    private Arrival advance(long sequence) {
        long step = sequence - mHighest;
        mSeen = step >= WIDTH ? 1 : mSeen << step | 1;
        mHighest = sequence;
        return step == 1 ? Arrival.NEXT : Arrival.AFTER_GAP;
    }
}
