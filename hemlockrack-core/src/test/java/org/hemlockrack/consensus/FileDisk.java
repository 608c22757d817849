package org.hemlockrack.consensus;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.disk.DiskOperation;
import org.hemlockrack.consensus.disk.FaultyDisk;
import org.jspecify.annotations.Nullable;

/** A disk with the real store; a crash takes what was not synced, as a loss of power may. */
final class FileDisk implements SimulatedDisk {
    private final FaultyDisk mDisk = FaultyDisk.create();
    private final Path mFolder;
    private @Nullable LogStore mStore;
    private long mFirstReplicaId;
    private boolean mFull;
    private boolean mFailsAtSync;
    private long mOperationsUntilCrash = Long.MAX_VALUE;

    FileDisk(Path parent) {
        try {
            mFolder = Files.createTempDirectory(parent, "log");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
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
        LogStore store = LogStore.open(mDisk.path(mFolder), random);
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
        if (mStore != null) {
            mStore.close();
        }
        try {
            mDisk.losePower();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
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
