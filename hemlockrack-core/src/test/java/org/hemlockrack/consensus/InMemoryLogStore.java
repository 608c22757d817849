package org.hemlockrack.consensus;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32C;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/** A log store on a simulated disk that loses unsynced writes in a crash. */
final class InMemoryLogStore implements LogStore {
    /** Thrown by the operation at which the simulated process crashes. */
    static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** The content of the disk, which survives a crash. */
    static final class Disk {
        final Variant mVariant;
        HardState mHardState;
        List<Entry> mDurableEntries = new ArrayList<>();
        SnapshotMeta mSnapshot;
        byte[] mSnapshotState = new byte[0];
        boolean mDamaged;

        Disk(Variant variant, long replicaId) {
            mVariant = variant;
            mHardState = HardState.fresh(replicaId);
        }
    }

    private final Disk mDisk;
    private final RandomGenerator mRandom;
    private final RecoveredState mRecovered;
    private final ByteArrayOutputStream mReceivedSnapshot = new ByteArrayOutputStream();
    private List<Entry> mEntries;

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

    private void crashIfDue() {
        if (--mOperationsUntilCrash <= 0) {
            throw new Crash();
        }
    }

    /** Keeps a random prefix of the unsynced writes, as a crash may. */
    void crash() {
        List<Entry> durable = mDisk.mDurableEntries;
        int common = 0;
        int limit = Math.min(durable.size(), mEntries.size());
        while (common < limit && durable.get(common).equals(mEntries.get(common))) {
            common++;
        }
        int survivingCount = common + mRandom.nextInt(mEntries.size() - common + 1);
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
        mDisk.mHardState = hardState;
    }

    @Override
    public void append(List<Entry> entries) {
        crashIfDue();
        long first = entries.get(0).index();
        mEntries.removeIf(entry -> entry.index() >= first);
        if (!mEntries.isEmpty() && mEntries.get(mEntries.size() - 1).index() != first - 1) {
            mEntries.clear();
        }
        mEntries.addAll(entries);
    }

    @Override
    public void sync() {
        crashIfDue();
        if (mDisk.mVariant != Variant.ACKNOWLEDGES_UNSYNCED) {
            mDisk.mDurableEntries = new ArrayList<>(mEntries);
        }
    }

    @Override
    public void saveSnapshot(SnapshotMeta meta, byte[] state) {
        crashIfDue();
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
        if (offset == 0) {
            mReceivedSnapshot.reset();
        }
        mReceivedSnapshot.writeBytes(data);
    }

    @Override
    public boolean installSnapshot(SnapshotMeta meta) {
        crashIfDue();
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
        return true;
    }

    @Override
    public void compact(long firstIndex) {
        mEntries.removeIf(entry -> entry.index() < firstIndex);
        mDisk.mDurableEntries.removeIf(entry -> entry.index() < firstIndex);
    }

    @Override
    public void close() {}
}
