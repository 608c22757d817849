package org.hemlockrack.config.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.hemlockrack.config.HistoryEntry;

/** The last accepted versions, stored as differences, from which any of them can be restored. */
public final class VersionHistory {
    private static final int MAX_ENTRIES = 2000;

    /** Bounds the snapshot, whose document has about 1 MiB. */
    private static final long MAX_CHARS = 8 << 20;

    private final Deque<HistoryEntry> mEntries = new ArrayDeque<>();
    private long mChars;

    private VersionHistory() {}

    /** Returns an empty history. */
    public static VersionHistory create() {
        return new VersionHistory();
    }

    /**
     * Adds the newest version and drops the oldest ones above the limits.
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

    /** Removes all entries. */
    public void clear() {
        mEntries.clear();
        mChars = 0;
    }

    /** Returns the entries, oldest first. */
    public List<HistoryEntry> entries() {
        return List.copyOf(mEntries);
    }

    /**
     * Returns the lowest version whose document can be restored.
     *
     * @param inForce version in force
     * @return the version
     */
    public long lowestRestorableVersion(long inForce) {
        return inForce - mEntries.size();
    }

    /**
     * Changes the document in force to that of an earlier version.
     *
     * @param document the document in force; it is changed
     * @param version the earlier version, at least {@link #lowestRestorableVersion}
     */
    public void restoreVersion(ObjectNode document, long version) {
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
