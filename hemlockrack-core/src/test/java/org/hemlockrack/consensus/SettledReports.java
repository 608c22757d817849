package org.hemlockrack.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hemlockrack.control.LogReports;
import org.hemlockrack.model.InstanceId;

/**
 * Watches a simulated cluster as a gateway does: from reports of different ages, it concludes which
 * commands cannot be lost any more. The index of a command stands for the version of a table.
 */
final class SettledReports {
    private final int mMajority;
    private final int mVoters;
    private final LogReports mReports = LogReports.create();
    private final Map<InstanceId, TreeMap<Long, Long>> mLogs = new HashMap<>();
    private final Set<Long> mSettledCommands = new HashSet<>();

    /**
     * Creates an instance without reports.
     *
     * @param voters number of voters of which a majority is required
     */
    SettledReports(int voters) {
        mVoters = voters;
        mMajority = voters / 2 + 1;
    }

    /** Records the report of a replica whose log is durable. */
    void report(InstanceId instance, Consensus consensus, Collection<Entry> entries) {
        TreeMap<Long, Long> log = new TreeMap<>();
        for (Entry entry : entries) {
            if (entry.kind() == EntryKind.COMMAND) {
                log.put(entry.index(), ByteBuffer.wrap(entry.data()).getLong());
            }
        }
        if (log.isEmpty()) {
            return;
        }
        mLogs.put(instance, log);
        mReports.record(
                instance.value(),
                new LogReports.Report(
                        log.lastKey(),
                        0,
                        List.of(),
                        consensus.lastTerm() == consensus.term() ? consensus.term() : 0,
                        log.lastKey(),
                        mVoters,
                        0,
                        0));
        recordSettled(mReports.newestSettled());
    }

    /** Records the command that a majority has at an index; other logs may have another one. */
    private void recordSettled(long index) {
        Map<Long, Integer> counts = new HashMap<>();
        for (TreeMap<Long, Long> log : mLogs.values()) {
            Long command = log.get(index);
            if (command != null && counts.merge(command, 1, Integer::sum) >= mMajority) {
                mSettledCommands.add(command);
            }
        }
    }

    /** Returns the settled commands that a final state lacks. */
    List<Long> lostCommands(CommandListState state) {
        List<Long> lost = new ArrayList<>(mSettledCommands);
        lost.removeAll(state.mCommands);
        return lost;
    }

    int count() {
        return mSettledCommands.size();
    }
}
