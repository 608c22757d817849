package org.hemlockrack.consensus.internal.file;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.SnapshotMeta;
import org.jspecify.annotations.Nullable;

/** What a log store has to read back: what it has acknowledged, and what it may have written. */
final class ExpectedStore {
    private @Nullable HardState mHardState;
    private final Set<HardState> mNextHardStates = new HashSet<>();
    private @Nullable SnapshotMeta mSnapshot;
    private final Set<SnapshotMeta> mNextSnapshots = new HashSet<>();
    private @Nullable SnapshotMeta mInstalled;

    /** Last index of all snapshots; a replica has only snapshots of committed entries. */
    private long mCommittedIndex;

    /** The durable log, and the logs after each later append. */
    private final List<List<Entry>> mLogs = new ArrayList<>(List.of(List.of()));

    /** First index that an append since the last sync may have replaced. */
    private long mFirstUncertain = Long.MAX_VALUE;

    long lastIndex() {
        return lastIndex(mLogs.get(mLogs.size() - 1));
    }

    private long lastIndex(List<Entry> log) {
        return log.isEmpty() ? snapshotIndex() : log.get(log.size() - 1).index();
    }

    /** Returns the last index that is durable. */
    long durableIndex() {
        return Math.min(lastIndex(mLogs.get(0)), mFirstUncertain - 1);
    }

    /** Returns the term of an entry that is durable. */
    long term(long index) {
        List<Entry> log = mLogs.get(0);
        return log.get((int) (index - log.get(0).index())).term();
    }

    long snapshotIndex() {
        return mSnapshot == null ? 0 : mSnapshot.index();
    }

    long committedIndex() {
        return mCommittedIndex;
    }

    HardState hardState() {
        return mHardState;
    }

    void savesHardState(HardState next) {
        mNextHardStates.add(next);
    }

    void savedHardState(HardState saved) {
        mHardState = saved;
        mNextHardStates.clear();
    }

    void appends(List<Entry> entries) {
        long first = entries.get(0).index();
        mFirstUncertain = Math.min(mFirstUncertain, first);
        List<Entry> next = new ArrayList<>(mLogs.get(mLogs.size() - 1));
        next.removeIf(entry -> entry.index() >= first);
        next.addAll(entries);
        mLogs.add(next);
    }

    void synced() {
        durable(mLogs.get(mLogs.size() - 1));
    }

    private void durable(List<Entry> log) {
        mLogs.clear();
        mLogs.add(log);
        mFirstUncertain = Long.MAX_VALUE;
    }

    void savesSnapshot(SnapshotMeta meta) {
        mNextSnapshots.add(meta);
        mCommittedIndex = Math.max(mCommittedIndex, meta.index());
    }

    void savedSnapshot(SnapshotMeta meta) {
        mSnapshot = meta;
        mNextSnapshots.clear();
    }

    void installs(SnapshotMeta meta) {
        mInstalled = meta;
        savesSnapshot(meta);
    }

    void installed(SnapshotMeta meta) {
        savedSnapshot(meta);
        mInstalled = null;
        durable(List.of());
    }

    /** Counts all that was read at a start as durable, as a replica does that has started. */
    void started(RecoveredState recovered) {
        savedHardState(recovered.hardState());
        List<Entry> read = recovered.entries();
        SnapshotMeta snapshot = recovered.snapshot();
        boolean hasLog = !read.isEmpty() && read.get(0).index() <= snapshotIndex() + 1;
        if (snapshot != null && !hasLog) {
            savedSnapshot(snapshot);
        }
        mInstalled = null;
        durable(withCompacted(read));
    }

    /** Returns entries with those before them, whose files may come back by a loss of power. */
    private List<Entry> withCompacted(List<Entry> read) {
        if (read.isEmpty()) {
            return read;
        }
        List<Entry> all = new ArrayList<>();
        for (List<Entry> log : mLogs) {
            if (isPartOf(read, log)) {
                log.stream().filter(e -> e.index() < read.get(0).index()).forEach(all::add);
                break;
            }
        }
        all.addAll(read);
        return all;
    }

    /** Requires that a store that was opened anew has read what it had acknowledged. */
    void requireReadBy(RecoveredState recovered) {
        HardState hardState = recovered.hardState();
        if (mHardState != null && mHardState.replicaId() != hardState.replicaId()) {
            throw new AssertionError("another replica id");
        }
        boolean isKnown = mHardState == null || hardState.equals(mHardState);
        if (!isKnown && !mNextHardStates.contains(hardState)) {
            throw new AssertionError("term or vote: " + hardState + " for " + mHardState);
        }
        SnapshotMeta snapshot = recovered.snapshot();
        boolean isNext = snapshot != null && mNextSnapshots.contains(snapshot);
        boolean isSame = snapshot == null ? mSnapshot == null : snapshot.equals(mSnapshot);
        if (!isNext && !isSame) {
            throw new AssertionError("snapshot: " + snapshot + " for " + mSnapshot);
        }
        requireLog(recovered);
    }

    private void requireLog(RecoveredState recovered) {
        List<Entry> read = recovered.entries();
        SnapshotMeta snapshot = recovered.snapshot();
        long covered = snapshot == null ? 0 : snapshot.index();
        if (!read.isEmpty() && read.get(0).index() > covered + 1) {
            throw new AssertionError("gap between the snapshot and " + read.get(0).index());
        }
        if (mLogs.stream().noneMatch(log -> isPartOf(read, log))) {
            throw new AssertionError("entries that were not written as one log");
        }
        if (snapshot != null && snapshot.equals(mInstalled)) {
            return;
        }
        long last = read.isEmpty() ? covered : read.get(read.size() - 1).index();
        if (last < durableIndex()) {
            throw new AssertionError("entries lost after " + last + " of " + durableIndex());
        }
    }

    /** Returns whether entries are in a log, in the same order and without a gap. */
    private static boolean isPartOf(List<Entry> entries, List<Entry> log) {
        if (entries.isEmpty()) {
            return true;
        }
        if (log.isEmpty()) {
            return false;
        }
        long offset = entries.get(0).index() - log.get(0).index();
        if (offset < 0 || offset + entries.size() > log.size()) {
            return false;
        }
        for (int i = 0; i < entries.size(); i++) {
            if (!isSame(entries.get(i), log.get((int) offset + i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isSame(Entry a, Entry b) {
        return a.index() == b.index()
                && a.term() == b.term()
                && a.kind() == b.kind()
                && Arrays.equals(a.data(), b.data());
    }
}
