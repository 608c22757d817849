package org.hemlockrack.consensus;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32C;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/** A store on a fake disk that loses unsynced writes in a crash. */
final class MemoryStore implements LogStore {
    /** Thrown by an operation at which the process is to crash. */
    static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** What survives a crash. */
    static final class Disk {
        final Variant mVariant;
        HardState mMeta;
        List<Entry> mDurable = new ArrayList<>();
        SnapshotMeta mSnapshot;
        byte[] mState = new byte[0];
        boolean mDamaged;

        Disk(Variant variant, long replicaId) {
            mVariant = variant;
            mMeta = HardState.fresh(replicaId);
        }
    }

    private final Disk mDisk;
    private final RandomGenerator mRandom;
    private final RecoveredState mRecovered;
    private final ByteArrayOutputStream mPart = new ByteArrayOutputStream();
    private List<Entry> mView;

    /** Operations left until a crash. */
    int mOperations = Integer.MAX_VALUE;

    MemoryStore(Disk disk, RandomGenerator random) {
        if (disk.mDamaged) {
            throw HemlockrackException.of(ErrorKind.STORAGE_DAMAGED, "damaged");
        }
        mDisk = disk;
        mRandom = random;
        mView = new ArrayList<>(disk.mDurable);
        mRecovered = new RecoveredState(disk.mMeta, disk.mSnapshot, List.copyOf(mView));
    }

    private void operation() {
        if (--mOperations <= 0) {
            throw new Crash();
        }
    }

    /** Keeps a random part of the unsynced writes, as a crash does. */
    void crash() {
        List<Entry> durable = mDisk.mDurable;
        int common = 0;
        int limit = Math.min(durable.size(), mView.size());
        while (common < limit && durable.get(common).equals(mView.get(common))) {
            common++;
        }
        int kept = common + mRandom.nextInt(mView.size() - common + 1);
        if (kept > common) {
            mDisk.mDurable = new ArrayList<>(mView.subList(0, kept));
        }
    }

    @Override
    public RecoveredState recovered() {
        return mRecovered;
    }

    @Override
    public void saveHardState(HardState meta) {
        operation();
        mDisk.mMeta = meta;
    }

    @Override
    public void append(List<Entry> entries) {
        operation();
        long first = entries.get(0).index();
        mView.removeIf(entry -> entry.index() >= first);
        if (!mView.isEmpty() && mView.get(mView.size() - 1).index() != first - 1) {
            mView.clear();
        }
        mView.addAll(entries);
    }

    @Override
    public void sync() {
        operation();
        if (mDisk.mVariant != Variant.ACKNOWLEDGES_UNSYNCED) {
            mDisk.mDurable = new ArrayList<>(mView);
        }
    }

    @Override
    public void saveSnapshot(SnapshotMeta meta, byte[] state) {
        operation();
        mDisk.mSnapshot = meta;
        mDisk.mState = state;
    }

    @Override
    public byte[] loadSnapshot() {
        return mDisk.mState;
    }

    @Override
    public byte[] readSnapshot(long offset, int maxBytes) {
        int end = (int) Math.min(mDisk.mState.length, offset + maxBytes);
        return Arrays.copyOfRange(mDisk.mState, (int) offset, end);
    }

    @Override
    public void storeChunk(SnapshotMeta meta, long offset, byte[] data) {
        operation();
        if (offset == 0) {
            mPart.reset();
        }
        mPart.writeBytes(data);
    }

    @Override
    public boolean installSnapshot(SnapshotMeta meta) {
        operation();
        byte[] state = mPart.toByteArray();
        CRC32C crc = new CRC32C();
        crc.update(state);
        if (state.length != meta.sizeBytes() || (int) crc.getValue() != meta.crc32c()) {
            return false;
        }
        mDisk.mSnapshot = meta;
        mDisk.mState = state;
        mView = new ArrayList<>();
        mDisk.mDurable = new ArrayList<>();
        return true;
    }

    @Override
    public void compact(long firstIndex) {
        mView.removeIf(entry -> entry.index() < firstIndex);
        mDisk.mDurable.removeIf(entry -> entry.index() < firstIndex);
    }

    @Override
    public void close() {}
}
