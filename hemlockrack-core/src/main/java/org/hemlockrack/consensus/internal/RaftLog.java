package org.hemlockrack.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.SnapshotMeta;

/**
 * In-memory log after the base entry: the last entry that was dropped by compaction or is covered
 * by the recovered or installed snapshot; index 0 if there is none.
 */
final class RaftLog {
    /** Returned for an index before the base entry or after the last entry. */
    static final long UNKNOWN_TERM = -1;

    private final List<Entry> mEntries = new ArrayList<>();
    private long mBaseIndex;
    private long mBaseTerm;
    private long mBaseMillis;

    static RaftLog recover(RecoveredState recovered) {
        RaftLog log = new RaftLog();
        SnapshotMeta snapshot = recovered.snapshot();
        if (snapshot != null) {
            log.reset(snapshot);
        }
        for (Entry entry : recovered.entries()) {
            if (entry.index() > log.mBaseIndex) {
                log.append(entry);
            }
        }
        return log;
    }

    void reset(SnapshotMeta snapshot) {
        mEntries.clear();
        mBaseIndex = snapshot.index();
        mBaseTerm = snapshot.term();
        mBaseMillis = snapshot.leaderTimeMillis();
    }

    void append(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "entry " + entry.index() + " does not follow " + lastIndex());
        }
        mEntries.add(entry);
    }

    /** Drops the entries from an index on. */
    void truncateFrom(long index) {
        mEntries.subList(position(index), mEntries.size()).clear();
    }

    /** Drops the entries before an index. */
    void compactTo(long firstIndex) {
        if (firstIndex <= firstIndex()) {
            return;
        }
        Entry base = get(firstIndex - 1);
        mEntries.subList(0, position(firstIndex)).clear();
        mBaseIndex = base.index();
        mBaseTerm = base.term();
        mBaseMillis = base.leaderTimeMillis();
    }

    long firstIndex() {
        return mBaseIndex + 1;
    }

    long lastIndex() {
        return mBaseIndex + mEntries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    long lastMillis() {
        return millisAt(lastIndex());
    }

    long millisAt(long index) {
        return index == mBaseIndex ? mBaseMillis : get(index).leaderTimeMillis();
    }

    long termAt(long index) {
        if (index == mBaseIndex) {
            return mBaseTerm;
        }
        if (index < mBaseIndex || index > lastIndex()) {
            return UNKNOWN_TERM;
        }
        return get(index).term();
    }

    Entry get(long index) {
        return mEntries.get(position(index));
    }

    /**
     * Returns entries from an index on, up to a number of bytes but at least one if there is any.
     */
    List<Entry> entriesFrom(long fromIndex, int maxBytes) {
        int from = position(fromIndex);
        int to = from;
        long bytes = 0;
        while (to < mEntries.size()) {
            bytes += mEntries.get(to).sizeBytes();
            if (to > from && bytes > maxBytes) {
                break;
            }
            to++;
        }
        return List.copyOf(mEntries.subList(from, to));
    }

    /** Returns the first index in this log with the same term as the entry at an index. */
    long firstIndexOfTermAt(long index) {
        long term = termAt(index);
        long first = index;
        while (first > firstIndex() && termAt(first - 1) == term) {
            first--;
        }
        return first;
    }

    /** Returns the last index up to a limit whose term is not above the given one. */
    long lastIndexUpToTerm(long term, long limit) {
        long index = Math.min(limit, lastIndex());
        while (index > mBaseIndex && termAt(index) > term) {
            index--;
        }
        return index;
    }

    private int position(long index) {
        return Math.toIntExact(index - mBaseIndex - 1);
    }
}
