package org.hemlockrack.consensus;

import java.nio.file.Path;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.internal.file.FileLogStore;

/**
 * Durable log, snapshot and small state of one replica. Not thread-safe. After an exception from a
 * method that writes, the store must be closed: what reached the disk is not known.
 */
public interface LogStore extends AutoCloseable {
    /**
     * Opens the files in a folder; an empty or missing folder becomes a new replica.
     *
     * @param folder the data folder, locked until the store is closed
     * @param random source for the id of a new replica
     * @return the store
     * @throws org.hemlockrack.errors.HemlockrackException with {@link
     *     org.hemlockrack.errors.ErrorKind#STORAGE_DAMAGED} if files are damaged or missing; {@link
     *     #openDamaged} makes a new replica of the folder. With {@link
     *     org.hemlockrack.errors.ErrorKind#NOT_READY} if another process holds the lock
     */
    static LogStore open(Path folder, RandomGenerator random) {
        return FileLogStore.open(folder, random);
    }

    /**
     * Opens a damaged folder as a new replica. The old files move to the subfolder {@code damaged},
     * replacing what was there. The replica has a new id, so it cannot vote as the old one; the
     * leader adds it as a learner and repairs it from the others.
     *
     * @param folder the data folder
     * @param random source for the id of the new replica
     * @return the store, empty
     */
    static LogStore openDamaged(Path folder, RandomGenerator random) {
        return FileLogStore.openDamaged(folder, random);
    }

    /** Returns what the store held when it was opened. */
    RecoveredState recovered();

    /**
     * Replaces term and vote durably.
     *
     * @param meta the state
     */
    void saveHardState(HardState meta);

    /**
     * Writes consecutive entries after dropping stored entries from the first index on. They are
     * durable after {@link #sync()}.
     *
     * @param entries the entries, not empty
     */
    void append(List<Entry> entries);

    /** Makes all appended entries durable. */
    void sync();

    /**
     * Saves a snapshot of the local state durably and removes older ones.
     *
     * @param meta the snapshot
     * @param state the state
     */
    void saveSnapshot(SnapshotMeta meta, byte[] state);

    /** Returns the state of the newest snapshot. */
    byte[] loadSnapshot();

    /**
     * Reads a part of the newest snapshot.
     *
     * @param offset offset in bytes
     * @param maxBytes largest part in bytes
     * @return the part
     */
    byte[] readSnapshot(long offset, int maxBytes);

    /**
     * Stores a part of a snapshot that is being received.
     *
     * @param meta the snapshot
     * @param offset offset in bytes; 0 starts anew
     * @param data the part
     */
    void storeChunk(SnapshotMeta meta, long offset, byte[] data);

    /**
     * Makes the received snapshot the newest one durably and drops the whole log.
     *
     * @param meta the snapshot
     * @return false if the received bytes do not fit the description; nothing changes then
     */
    boolean installSnapshot(SnapshotMeta meta);

    /**
     * Removes files that hold only entries before an index.
     *
     * @param firstIndex the first index to keep
     */
    void compact(long firstIndex);

    /** Releases files and lock without syncing. */
    @Override
    void close();
}
