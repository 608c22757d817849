package org.hemlockrack.daemon.controller;

import java.util.List;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.control.ControlState;
import org.hemlockrack.control.TableHistory;

/**
 * A log store that records the route tables of its log, including those that are not known to be
 * committed. A table is recorded before its write ends, so that no report can miss a durable one.
 */
final class TableTrackingStore implements LogStore {
    private final LogStore mStore;
    private final TableHistory mHistory;

    private TableTrackingStore(LogStore store, TableHistory history) {
        mStore = store;
        mHistory = history;
    }

    /**
     * Creates a store and records what another one holds.
     *
     * @param store the store, closed with this one
     * @param history receives the tables
     * @return the store
     */
    static TableTrackingStore of(LogStore store, TableHistory history) {
        TableTrackingStore tracking = new TableTrackingStore(store, history);
        if (store.recovered().snapshot() != null) {
            tracking.recordSnapshot();
        }
        history.recordEntries(store.recovered().entries());
        return tracking;
    }

    private void recordSnapshot() {
        ControlState state = ControlState.create();
        state.restore(mStore.loadSnapshot());
        mHistory.recordCommitted(state);
    }

    @Override
    public RecoveredState recovered() {
        return mStore.recovered();
    }

    @Override
    public void saveHardState(HardState hardState) {
        mStore.saveHardState(hardState);
    }

    @Override
    public void append(List<Entry> entries) {
        mHistory.recordEntries(entries);
        mStore.append(entries);
    }

    @Override
    public void sync() {
        mStore.sync();
    }

    @Override
    public void saveSnapshot(SnapshotMeta meta, byte[] state) {
        mStore.saveSnapshot(meta, state);
    }

    @Override
    public byte[] loadSnapshot() {
        return mStore.loadSnapshot();
    }

    @Override
    public byte[] readSnapshot(long offset, int maxBytes) {
        return mStore.readSnapshot(offset, maxBytes);
    }

    @Override
    public void storeChunk(SnapshotMeta meta, long offset, byte[] data) {
        mStore.storeChunk(meta, offset, data);
    }

    @Override
    public boolean installSnapshot(SnapshotMeta meta) {
        boolean installed = mStore.installSnapshot(meta);
        if (installed) {
            recordSnapshot();
        }
        return installed;
    }

    @Override
    public void compact(long firstIndex) {
        mStore.compact(firstIndex);
    }

    @Override
    public void close() {
        mStore.close();
    }
}
