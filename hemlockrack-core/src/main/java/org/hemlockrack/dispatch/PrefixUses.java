package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.wire.PrefixUseData;

/**
 * A bounded list of prefix uses that readers follow by position. A reader that falls too far behind
 * misses the oldest ones, which costs cached reads only. Not thread-safe.
 */
public final class PrefixUses {
    private final PrefixUseData[] mRing;
    private long mEnd;

    private PrefixUses(int capacity) {
        mRing = new PrefixUseData[capacity];
    }

    /**
     * Creates an empty list.
     *
     * @param capacity uses that are kept
     * @return the list
     */
    public static PrefixUses of(int capacity) {
        return new PrefixUses(capacity);
    }

    /** Adds a use. */
    public void add(PrefixUseData use) {
        mRing[(int) (mEnd % mRing.length)] = use;
        mEnd++;
    }

    /** Returns the position after the newest use. */
    public long end() {
        return mEnd;
    }

    /**
     * Returns the uses from a position on.
     *
     * @param position a position that {@link #end} returned; another one stands for the start
     * @return the uses, oldest first
     */
    public List<PrefixUseData> since(long position) {
        long first = position < 0 || position > mEnd ? 0 : position;
        List<PrefixUseData> uses = new ArrayList<>();
        for (long at = Math.max(first, mEnd - mRing.length); at < mEnd; at++) {
            uses.add(mRing[(int) (at % mRing.length)]);
        }
        return uses;
    }
}
