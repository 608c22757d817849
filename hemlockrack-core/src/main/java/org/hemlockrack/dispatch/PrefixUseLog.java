package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.wire.PrefixUseData;

/**
 * A bounded log of prefix uses in a ring buffer, read page by page from a position. A reader that
 * falls behind by more than the capacity misses the oldest entries, which only reduces the cache
 * hit rate. Not thread-safe.
 */
public final class PrefixUseLog {
    private final PrefixUseData[] mRing;
    private long mEndPosition;

    private PrefixUseLog(int capacity) {
        mRing = new PrefixUseData[capacity];
    }

    /**
     * Creates an empty log.
     *
     * @param capacity number of uses that are retained
     * @return the log
     */
    public static PrefixUseLog of(int capacity) {
        return new PrefixUseLog(capacity);
    }

    /** Appends a use. */
    public void add(PrefixUseData use) {
        mRing[(int) (mEndPosition % mRing.length)] = use;
        mEndPosition++;
    }

    /** Returns the position after the newest use. */
    public long endPosition() {
        return mEndPosition;
    }

    /**
     * Consecutive entries of the log.
     *
     * @param uses the uses, oldest first
     * @param next position at which the next page starts
     */
    public record Page(List<PrefixUseData> uses, long next) {
        /** An empty page at position 0. */
        public static final Page EMPTY = new Page(List.of(), 0);
    }

    /**
     * Returns the uses from a position onward.
     *
     * @param position start of the page, as returned by an earlier page; a position that is
     *     negative or past the end means the start of the log
     * @param maxUses maximum number of uses in the page
     * @return the page; it starts later if the oldest uses have been overwritten
     */
    public Page readFrom(long position, int maxUses) {
        long start = position < 0 || position > mEndPosition ? 0 : position;
        long first = Math.max(start, mEndPosition - mRing.length);
        long next = Math.min(mEndPosition, first + maxUses);
        List<PrefixUseData> uses = new ArrayList<>();
        for (long index = first; index < next; index++) {
            uses.add(mRing[(int) (index % mRing.length)]);
        }
        return new Page(uses, next);
    }
}
