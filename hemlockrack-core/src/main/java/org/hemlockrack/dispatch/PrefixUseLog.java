package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.wire.PrefixUseData;

/**
 * A bounded list of prefix uses that readers follow by position. A reader that falls too far behind
 * misses the oldest ones, which costs cached reads only. Not thread-safe.
 */
public final class PrefixUseLog {
    private final PrefixUseData[] mRing;
    private long mEnd;

    private PrefixUseLog(int capacity) {
        mRing = new PrefixUseData[capacity];
    }

    /**
     * Creates an empty list.
     *
     * @param capacity uses that are kept
     * @return the list
     */
    public static PrefixUseLog of(int capacity) {
        return new PrefixUseLog(capacity);
    }

    /** Adds a use. */
    public void add(PrefixUseData use) {
        mRing[(int) (mEnd % mRing.length)] = use;
        mEnd++;
    }

    /** Returns the position after the newest use. */
    public long endPosition() {
        return mEnd;
    }

    /**
     * Some uses in the order in which they were added.
     *
     * @param uses the uses, oldest first
     * @param next position of the next page
     */
    public record Page(List<PrefixUseData> uses, long next) {
        /** Nothing, at the start. */
        public static final Page EMPTY = new Page(List.of(), 0);
    }

    /**
     * Returns the uses from a position on.
     *
     * @param position a position that a page stated; another one stands for the start
     * @param most longest page
     * @return the uses that are still kept
     */
    public Page readFrom(long position, int most) {
        long asked = position < 0 || position > mEnd ? 0 : position;
        long first = Math.max(asked, mEnd - mRing.length);
        long next = Math.min(mEnd, first + most);
        List<PrefixUseData> uses = new ArrayList<>();
        for (long at = first; at < next; at++) {
            uses.add(mRing[(int) (at % mRing.length)]);
        }
        return new Page(uses, next);
    }
}
