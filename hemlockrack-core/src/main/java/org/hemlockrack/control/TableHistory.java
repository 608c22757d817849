package org.hemlockrack.control;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;

/**
 * The route tables in the log of one controller that may be in force: the newest one that is known
 * to be committed, and all later ones, of which nobody knows whether they are committed.
 * Thread-safe.
 */
public final class TableHistory {
    /**
     * A route table.
     *
     * @param version its version
     * @param document the table, deflated
     */
    public record LoggedTable(long version, byte[] document) {}

    private LoggedTable mCommitted = new LoggedTable(0, new byte[0]);

    /** Later tables by log index. Their versions increase, since no other table takes effect. */
    private final TreeMap<Long, LoggedTable> mLater = new TreeMap<>();

    private TableHistory() {}

    /** Creates the history of an empty log. */
    public static TableHistory create() {
        return new TableHistory();
    }

    /**
     * Records a committed state, which may be that of a snapshot.
     *
     * @param state the state
     */
    public synchronized void recordCommitted(ControlState state) {
        long version = state.tableVersion();
        if (version <= mCommitted.version()) {
            return;
        }
        mCommitted = new LoggedTable(version, state.tableDocument());
        mLater.values().removeIf(table -> table.version() <= version);
    }

    /**
     * Records entries of the log; they replace all entries from the first index on.
     *
     * @param entries consecutive entries
     */
    public synchronized void recordEntries(List<Entry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        mLater.tailMap(entries.get(0).index(), true).clear();
        for (Entry entry : entries) {
            LoggedTable table =
                    entry.kind() == EntryKind.COMMAND
                            ? ControlCommand.publishedTable(entry.data())
                            : null;
            if (table != null && table.version() > newestVersion()) {
                mLater.put(entry.index(), table);
            }
        }
    }

    /** Returns the version of the newest table, 0 if there is none. */
    public synchronized long newestVersion() {
        return mLater.isEmpty() ? mCommitted.version() : mLater.lastEntry().getValue().version();
    }

    /**
     * Returns the tables with a higher version, in increasing order.
     *
     * @param version the version
     */
    public synchronized List<LoggedTable> newerThan(long version) {
        List<LoggedTable> newer = new ArrayList<>();
        if (mCommitted.version() > version) {
            newer.add(mCommitted);
        }
        for (LoggedTable table : mLater.values()) {
            if (table.version() > version) {
                newer.add(table);
            }
        }
        return newer;
    }
}
