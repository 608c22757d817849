package org.hemlockrack.consensus;

import java.nio.file.Path;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.disk.DiskOperation;
import org.hemlockrack.consensus.disk.FaultyDisk;
import org.hemlockrack.consensus.disk.PowerLoss;
import org.jspecify.annotations.Nullable;

/** A disk with the real store; a crash takes what was not synced, as a loss of power may. */
final class FileDisk implements SimulatedDisk {
    private final FaultyDisk mDisk;
    private final Path mFolder;
    private final RandomGenerator mRandom;
    private final List<PowerLoss> mLosses;
    private @Nullable LogStore mStore;
    private long mFirstReplicaId;
    private boolean mFull;
    private boolean mFailsAtSync;
    private long mOperationsUntilCrash = Long.MAX_VALUE;

    /**
     * Creates an empty disk.
     *
     * @param random source of randomness
     * @param losses what a loss of power may leave
     */
    FileDisk(RandomGenerator random, List<PowerLoss> losses) {
        mRandom = random;
        mLosses = losses;
        mDisk = FaultyDisk.create(random);
        mFolder = mDisk.path(Path.of("/data"));
        mDisk.setFaults((operation, number) -> refuses(operation));
    }

    private boolean refuses(DiskOperation operation) {
        if (--mOperationsUntilCrash <= 0) {
            mOperationsUntilCrash = Long.MAX_VALUE;
            throw new InMemoryLogStore.Crash();
        }
        return mFull && (mFailsAtSync ? operation == DiskOperation.SYNC : operation.needsSpace());
    }

    @Override
    public LogStore open(RandomGenerator random) {
        LogStore store = LogStore.open(mFolder, random);
        mStore = store;
        long replicaId = replicaId();
        if (mFirstReplicaId == 0) {
            mFirstReplicaId = replicaId;
        }
        if (replicaId != mFirstReplicaId) {
            throw new IllegalStateException("a replica took a new id");
        }
        return store;
    }

    @Override
    public LogStore reopen(RandomGenerator random) {
        return open(random);
    }

    @Override
    public void crash() {
        cancelCrash();
        mDisk.losePower(mLosses.get(mRandom.nextInt(mLosses.size())));
    }

    @Override
    public void crashAfter(int operations) {
        mOperationsUntilCrash = operations;
    }

    @Override
    public void cancelCrash() {
        mOperationsUntilCrash = Long.MAX_VALUE;
    }

    @Override
    public void setFull(boolean full, boolean failsAtSync) {
        mFull = full;
        mFailsAtSync = failsAtSync;
        mDisk.setTornSixteenths(failsAtSync ? 0 : 8);
    }

    @Override
    public long replicaId() {
        return mStore == null ? 0 : mStore.recovered().hardState().replicaId();
    }

    /** Returns the number of files that are open. */
    int openFiles() {
        return mDisk.openChannels();
    }

    @Override
    public void damage() {
        throw new UnsupportedOperationException();
    }

    @Override
    public List<Entry> durableEntries() {
        throw new UnsupportedOperationException();
    }
}
