package org.hemlockrack.daemon.replica;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/** A log store whose disk refuses writes while it is full. */
final class FullDiskStore implements LogStore {
    /** Which calls fail while the disk is full. */
    enum RefusedCall {
        /** All that write. */
        WRITE,
        /** Appends reach the files; the sync after them fails, and so do other writes. */
        SYNC,
        /** Only the removal of old entries. */
        COMPACTION
    }

    private final LogStore mStore;
    private final AtomicBoolean mFull;
    private final RefusedCall mRefused;

    FullDiskStore(LogStore store, AtomicBoolean full, RefusedCall refused) {
        mStore = store;
        mFull = full;
        mRefused = refused;
    }

    private void refuseIfFull() {
        if (mRefused != RefusedCall.COMPACTION) {
            refuse();
        }
    }

    private void refuse() {
        if (mFull.get()) {
            throw HemlockrackException.of(ErrorKind.STORAGE_FAILED, "no space left on device");
        }
    }

    @Override
    public RecoveredState recovered() {
        return mStore.recovered();
    }

    @Override
    public void saveHardState(HardState hardState) {
        refuseIfFull();
        mStore.saveHardState(hardState);
    }

    @Override
    public void append(List<Entry> entries) {
        if (mRefused == RefusedCall.WRITE) {
            refuse();
        }
        mStore.append(entries);
    }

    @Override
    public void sync() {
        refuseIfFull();
        mStore.sync();
    }

    @Override
    public void saveSnapshot(SnapshotMeta meta, byte[] state) {
        refuseIfFull();
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
        refuseIfFull();
        mStore.storeChunk(meta, offset, data);
    }

    @Override
    public boolean installSnapshot(SnapshotMeta meta) {
        refuseIfFull();
        return mStore.installSnapshot(meta);
    }

    @Override
    public void compact(long firstIndex) {
        if (mRefused == RefusedCall.COMPACTION) {
            refuse();
        }
        mStore.compact(firstIndex);
    }

    @Override
    public void close() {
        mStore.close();
    }
}
