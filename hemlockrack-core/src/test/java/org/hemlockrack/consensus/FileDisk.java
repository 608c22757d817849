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
    private final boolean mKills;
    private @Nullable LogStore mStore;
    private long mFirstReplicaId;
    private boolean mFull;
    private boolean mFailsAtSync;
    private long mOperationsUntilCrash = Long.MAX_VALUE;

    /** Whether a crash has interrupted the process in the middle of a call. */
    private boolean mIsInterrupted;

    private int mLeftOpen;
    private long mSyncs;

    /**
     * Creates an empty disk.
     *
     * @param random source of randomness
     * @param losses what a loss of power may leave
     * @param kills whether a crash may be a kill of the process, which loses nothing
     */
    FileDisk(RandomGenerator random, List<PowerLoss> losses, boolean kills) {
        mKills = kills;
        mRandom = random;
        mLosses = losses;
        mDisk = FaultyDisk.create(random);
        mDisk.setFailedSync(losses.get(random.nextInt(losses.size())));
        mFolder = mDisk.path(Path.of("/data"));
        mDisk.setFaults((operation, number) -> refuses(operation));
    }

    /** Lets the syncs of files whose paths match succeed without an effect. */
    void ignoreSyncs(String paths) {
        mDisk.setIgnoredSyncs((operation, file) -> file.toString().matches(paths));
    }

    private boolean refuses(DiskOperation operation) {
        if (operation == DiskOperation.SYNC || operation == DiskOperation.SYNC_FOLDER) {
            mSyncs++;
        }
        if (--mOperationsUntilCrash <= 0) {
            mOperationsUntilCrash = Long.MAX_VALUE;
            mIsInterrupted = true;
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
        if (mStore != null && !mIsInterrupted) {
            mStore.close();
            mLeftOpen += mDisk.openChannels();
        }
        mIsInterrupted = false;
        if (mKills && mRandom.nextInt(3) == 0) {
            mDisk.killProcess();
            return;
        }
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
    public long syncs() {
        return mSyncs;
    }

    @Override
    public long replicaId() {
        return mStore == null ? 0 : mStore.recovered().hardState().replicaId();
    }

    /** Returns the number of files that were left open by processes that ended between calls. */
    int openFiles() {
        return mLeftOpen;
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
