package org.hemlockrack.placement.internal;

/** Tells new, late and repeated sequence numbers apart over the last 64 numbers. */
final class SequenceWindow {
    private static final int WIDTH = 64;

    /** What a sequence number is relative to those seen before. */
    enum Arrival {
        NEXT,
        /** Numbers before it are missing; they may still arrive late. */
        AFTER_GAP,
        LATE,
        /** Seen before, or too old to tell. */
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
