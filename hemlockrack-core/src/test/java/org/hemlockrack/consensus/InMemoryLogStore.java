package org.hemlockrack.consensus;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32C;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** A log store on a simulated disk that loses unsynced writes in a crash. */
final class InMemoryLogStore implements LogStore {
    /** Thrown by the operation at which the simulated process crashes. */
    static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** The content of the disk, which survives a crash. */
    static final class Disk implements SimulatedDisk {
        final Variant mVariant;
        HardState mHardState;
        List<Entry> mDurableEntries = new ArrayList<>();
        SnapshotMeta mSnapshot;
        byte[] mSnapshotState = new byte[0];
        boolean mDamaged;

        /** Whether the disk refuses every write. */
        boolean mFull;

        /** Whether the disk has no room for snapshots. */
        boolean mRefusesSnapshots;

        /** Whether a full disk refuses only the sync after an append. */
        boolean mFailsAtSync;

        /** What can be read until the process ends, although no sync has covered all of it. */
        List<Entry> mReadableEntries = new ArrayList<>();

        private long mSyncs;

        Disk(Variant variant, long replicaId) {
            mVariant = variant;
            mHardState = HardState.fresh(replicaId);
        }

        private @Nullable InMemoryLogStore mStore;

        @Override
        public LogStore open(RandomGenerator random) {
            mStore = new InMemoryLogStore(this, random);
            return mStore;
        }

        @Override
        public LogStore reopen(RandomGenerator random) {
            mStore = InMemoryLogStore.reopen(this, random);
            return mStore;
        }

        @Override
        public void crash() {
            if (mStore != null) {
                mStore.crash();
            }
        }

        @Override
        public void crashAfter(int operations) {
            mStore.mOperationsUntilCrash = operations;
        }

        @Override
        public void cancelCrash() {
            mStore.mOperationsUntilCrash = Integer.MAX_VALUE;
        }

        @Override
        public void setFull(boolean full, boolean failsAtSync) {
            mFull = full;
            mFailsAtSync = failsAtSync;
        }

        @Override
        public long syncs() {
            return mSyncs;
        }

        @Override
        public long replicaId() {
            return mDamaged ? 0 : mHardState.replicaId();
        }

        @Override
        public void damage() {
            mDamaged = true;
        }

        @Override
        public List<Entry> durableEntries() {
            return mDurableEntries;
        }
    }

    private final Disk mDisk;
    private final RandomGenerator mRandom;
    private final RecoveredState mRecovered;
    private final ByteArrayOutputStream mReceivedSnapshot = new ByteArrayOutputStream();
    private List<Entry> mEntries;

    /** Number of the first entries that a sync can make durable. */
    private int mSyncableCount = Integer.MAX_VALUE;

    /** Store operations left until the simulated process crashes. */
    int mOperationsUntilCrash = Integer.MAX_VALUE;

    InMemoryLogStore(Disk disk, RandomGenerator random) {
        if (disk.mDamaged) {
            throw HemlockrackException.of(ErrorKind.STORAGE_DAMAGED, "damaged");
        }
        mDisk = disk;
        mRandom = random;
        mEntries = new ArrayList<>(disk.mDurableEntries);
        mRecovered = new RecoveredState(disk.mHardState, disk.mSnapshot, List.copyOf(mEntries));
    }

    private InMemoryLogStore(Disk disk, RandomGenerator random, List<Entry> readable) {
        mDisk = disk;
        mRandom = random;
        mEntries = new ArrayList<>(readable);
        mSyncableCount = commonCount(disk.mDurableEntries, readable);
        mRecovered = new RecoveredState(disk.mHardState, disk.mSnapshot, List.copyOf(readable));
    }

    /**
     * Opens the files again in the process whose writes have failed. Entries that were not synced
     * can be read, but only a new write and a sync after it make them durable.
     */
    static InMemoryLogStore reopen(Disk disk, RandomGenerator random) {
        return new InMemoryLogStore(disk, random, disk.mReadableEntries);
    }

    private void crashIfDue() {
        if (--mOperationsUntilCrash <= 0) {
            throw new Crash();
        }
    }

    private void refuseIfFull() {
        if (mDisk.mFull) {
            throw HemlockrackException.of(ErrorKind.STORAGE_FAILED, "no space left on device");
        }
    }

    private static int commonCount(List<Entry> durable, List<Entry> entries) {
        int common = 0;
        int limit = Math.min(durable.size(), entries.size());
        while (common < limit && durable.get(common).equals(entries.get(common))) {
            common++;
        }
        return common;
    }

    /** Keeps a random prefix of the unsynced writes, as a crash may. */
    void crash() {
        int common = commonCount(mDisk.mDurableEntries, mEntries);
        int limit = Math.max(common, Math.min(mSyncableCount, mEntries.size()));
        int survivingCount = common + mRandom.nextInt(limit - common + 1);
        if (survivingCount > common) {
            mDisk.mDurableEntries = new ArrayList<>(mEntries.subList(0, survivingCount));
        }
    }

    @Override
    public RecoveredState recovered() {
        return mRecovered;
    }

    @Override
    public void saveHardState(HardState hardState) {
        crashIfDue();
        mDisk.mSyncs++;
        refuseIfFull();
        mDisk.mHardState = hardState;
    }

    @Override
    public void append(List<Entry> entries) {
        crashIfDue();
        long first = entries.get(0).index();
        if (mDisk.mVariant == Variant.COUNTS_FAILED_SYNC && mEntries.containsAll(entries)) {
            return;
        }
        if (mDisk.mFull && !mDisk.mFailsAtSync) {
            // Part of a refused write reaches the disk.
            replaceFrom(first, entries.subList(0, mRandom.nextInt(entries.size() + 1)));
            refuseIfFull();
        }
        replaceFrom(first, entries);
    }

    private void replaceFrom(long first, List<Entry> entries) {
        mEntries.removeIf(entry -> entry.index() >= first);
        if (!mEntries.isEmpty() && mEntries.get(mEntries.size() - 1).index() != first - 1) {
            mEntries.clear();
        }
        if (mSyncableCount >= mEntries.size()) {
            mSyncableCount = Integer.MAX_VALUE;
        }
        mEntries.addAll(entries);
    }

    @Override
    public void sync() {
        crashIfDue();
        mDisk.mSyncs++;
        refuseIfFull();
        if (mDisk.mVariant != Variant.ACKNOWLEDGES_UNSYNCED) {
            int count = Math.min(mSyncableCount, mEntries.size());
            mDisk.mDurableEntries = new ArrayList<>(mEntries.subList(0, count));
        }
    }

    @Override
    public void saveSnapshot(SnapshotMeta meta, byte[] state) {
        crashIfDue();
        mDisk.mSyncs++;
        refuseIfFull();
        if (mDisk.mRefusesSnapshots) {
            throw HemlockrackException.of(ErrorKind.STORAGE_FAILED, "no space for a snapshot");
        }
        mDisk.mSnapshot = meta;
        mDisk.mSnapshotState = state;
    }

    @Override
    public byte[] loadSnapshot() {
        return mDisk.mSnapshotState;
    }

    @Override
    public byte[] readSnapshot(long offset, int maxBytes) {
        int end = (int) Math.min(mDisk.mSnapshotState.length, offset + maxBytes);
        return Arrays.copyOfRange(mDisk.mSnapshotState, (int) offset, end);
    }

    @Override
    public void storeChunk(SnapshotMeta meta, long offset, byte[] data) {
        crashIfDue();
        refuseIfFull();
        if (offset == 0) {
            mReceivedSnapshot.reset();
        }
        mReceivedSnapshot.writeBytes(data);
    }

    @Override
    public boolean installSnapshot(SnapshotMeta meta) {
        crashIfDue();
        refuseIfFull();
        byte[] state = mReceivedSnapshot.toByteArray();
        CRC32C crc = new CRC32C();
        crc.update(state);
        if (state.length != meta.sizeBytes() || (int) crc.getValue() != meta.crc32c()) {
            return false;
        }
        mDisk.mSnapshot = meta;
        mDisk.mSnapshotState = state;
        mEntries = new ArrayList<>();
        mDisk.mDurableEntries = new ArrayList<>();
        mSyncableCount = Integer.MAX_VALUE;
        return true;
    }

    @Override
    public void compact(long firstIndex) {
        int before = mEntries.size();
        mEntries.removeIf(entry -> entry.index() < firstIndex);
        if (mSyncableCount != Integer.MAX_VALUE) {
            mSyncableCount = Math.max(0, mSyncableCount - (before - mEntries.size()));
        }
        mDisk.mDurableEntries.removeIf(entry -> entry.index() < firstIndex);
    }

    @Override
    public void close() {
        mDisk.mReadableEntries = mEntries;
    }
}
