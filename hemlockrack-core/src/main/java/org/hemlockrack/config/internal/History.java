package org.hemlockrack.config.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.hemlockrack.config.HistoryEntry;

/** The last accepted versions as differences; any of them can be restored. */
public final class History {
    private static final int MAX_ENTRIES = 2000;

    /** Keeps the snapshot small beside a document of about 1 MiB. */
    private static final long MAX_CHARS = 8 << 20;

    private final Deque<HistoryEntry> mEntries = new ArrayDeque<>();
    private long mChars;

    private History() {}

    /** Returns an empty history. */
    public static History create() {
        return new History();
    }

    /**
     * Adds the newest version and forgets the oldest ones above the bounds.
     *
     * @param entry the entry
     */
    public void add(HistoryEntry entry) {
        mEntries.addLast(entry);
        mChars += entry.sizeChars();
        while (mEntries.size() > MAX_ENTRIES || mChars > MAX_CHARS) {
            mChars -= mEntries.removeFirst().sizeChars();
        }
    }

    /** Forgets everything. */
    public void clear() {
        mEntries.clear();
        mChars = 0;
    }

    /** Returns the entries from the oldest on. */
    public List<HistoryEntry> entries() {
        return List.copyOf(mEntries);
    }

    /**
     * Returns the lowest version whose document can be restored.
     *
     * @param inForce version in force
     * @return the version
     */
    public long lowestVersion(long inForce) {
        return inForce - mEntries.size();
    }

    /**
     * Changes the document in force into that of an earlier version.
     *
     * @param document the document in force; it is changed
     * @param version the earlier version, at least {@link #lowestVersion}
     */
    public void restore(ObjectNode document, long version) {
        Iterator<HistoryEntry> newest = mEntries.descendingIterator();
        while (newest.hasNext()) {
            HistoryEntry entry = newest.next();
            if (entry.version() <= version) {
                return;
            }
            Differences.undo(document, entry.differences());
        }
    }
}
