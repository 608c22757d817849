package org.hemlockrack.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.junit.jupiter.api.Test;

class TableHistoryTest {
    private final TableHistory mHistory = TableHistory.create();

    private static Entry table(long index, long version) {
        byte[] command = ControlCommand.publishTable(version, new byte[] {(byte) version});
        return new Entry(index, 1, EntryKind.COMMAND, 0, command);
    }

    private static ControlState committed(long version) {
        ControlState state = ControlState.create();
        state.apply(1, 0, ControlCommand.publishTable(version, new byte[] {(byte) version}));
        return state;
    }

    private List<Long> newerThan(long version) {
        return mHistory.newerThan(version).stream().map(TableHistory.LoggedTable::version).toList();
    }

    /** Guards against an acknowledged table that a controller does not report after a restart. */
    @Test
    void uncommittedTablesAreListed() {
        mHistory.recordCommitted(committed(5));
        mHistory.recordEntries(List.of(table(2, 6), table(3, 8)));
        mHistory.recordEntries(List.of(table(4, 9)));
        assertEquals(List.of(5L, 6L, 8L, 9L), newerThan(0));
        assertEquals(List.of(9L), newerThan(8));
        assertEquals(9, mHistory.newestVersion());
        mHistory.recordCommitted(committed(8));
        assertEquals(List.of(8L, 9L), newerThan(0));
    }

    /** Guards against a lost table that is doubted for: another leader replaced its entry. */
    @Test
    void replacedEntriesAreDropped() {
        mHistory.recordEntries(List.of(table(2, 6), table(3, 8)));
        mHistory.recordEntries(List.of(table(3, 7)));
        assertEquals(List.of(6L, 7L), newerThan(0));
    }

    /** Guards against a table that never takes effect because a newer one came before it. */
    @Test
    void overtakenTablesAreLeftOut() {
        mHistory.recordEntries(List.of(table(2, 8), table(3, 7)));
        mHistory.recordEntries(
                List.of(new Entry(4, 1, EntryKind.COMMAND, 0, new byte[] {1, 2, 3})));
        assertEquals(List.of(8L), newerThan(0));
    }
}
