package org.hemlockrack.paging;

import java.util.ArrayList;
import java.util.List;

/**
 * A bounded log in a ring buffer, read page by page from a position. A reader that falls behind by
 * more than the capacity misses the oldest entries. Not thread-safe.
 *
 * @param <E> type of the entries
 */
public final class PagedLog<E> {
    private final List<E> mRing;
    private final int mCapacity;
    private long mEndPosition;

    private PagedLog(int capacity) {
        mRing = new ArrayList<>();
        mCapacity = capacity;
    }

    /**
     * Creates an empty log.
     *
     * @param capacity number of entries that are retained
     * @param <E> type of the entries
     * @return the log
     */
    public static <E> PagedLog<E> of(int capacity) {
        return new PagedLog<>(capacity);
    }

    /** Appends an entry. */
    public void add(E entry) {
        int index = (int) (mEndPosition % mCapacity);
        if (index == mRing.size()) {
            mRing.add(entry);
        } else {
            mRing.set(index, entry);
        }
        mEndPosition++;
    }

    /** Returns the position after the newest entry. */
    public long endPosition() {
        return mEndPosition;
    }

    /**
     * Consecutive entries of the log.
     *
     * @param entries the entries, oldest first
     * @param next position at which the next page starts
     * @param <E> type of the entries
     */
    public record Page<E>(List<E> entries, long next) {
        /** Returns an empty page at position 0. */
        public static <E> Page<E> empty() {
            return new Page<>(List.of(), 0);
        }
    }

    /**
     * Returns the entries from a position onward.
     *
     * @param position start of the page, as returned by an earlier page; a position that is
     *     negative or past the end means the start of the log
     * @param maxEntries maximum number of entries in the page
     * @return the page; it starts later if the oldest entries have been overwritten
     */
    public Page<E> readFrom(long position, int maxEntries) {
        long start = position < 0 || position > mEndPosition ? 0 : position;
        long first = Math.max(start, mEndPosition - mCapacity);
        long next = Math.min(mEndPosition, first + maxEntries);
        List<E> entries = new ArrayList<>();
        for (long index = first; index < next; index++) {
            entries.add(mRing.get((int) (index % mCapacity)));
        }
        return new Page<>(entries, next);
    }
}
