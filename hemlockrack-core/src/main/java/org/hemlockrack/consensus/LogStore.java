package org.hemlockrack.consensus;

import java.nio.file.Path;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.internal.file.FileLogStore;

/**
 * Durable storage of one replica: log, snapshot and hard state. Not thread-safe. After an exception
 * from a method that writes, except {@link #saveSnapshot}, the store must be closed, because it is
 * unknown what reached the disk.
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
     *     #openDamaged} then turns the folder into a new replica. With {@link
     *     org.hemlockrack.errors.ErrorKind#NOT_READY} if another process holds the lock. With
     *     {@link org.hemlockrack.errors.ErrorKind#SETTINGS_INVALID} if the folder is a file, its
     *     rights forbid its use, or a newer release has written it; the files are then as before.
     *     With {@link org.hemlockrack.errors.ErrorKind#STORAGE_FAILED} if the files cannot be
     *     written or read now, as on a full disk
     */
    static LogStore open(Path folder, RandomGenerator random) {
        return FileLogStore.open(folder, random);
    }

    /**
     * Opens a damaged folder as a new replica. The old files are moved to the subfolder {@code
     * damaged}, replacing its content. The new replica has a new id, so it cannot vote twice in a
     * term in which the old one has voted; the leader adds it as a non-voting replacement and sends
     * it the log or a snapshot.
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
     * @param hardState the state
     */
    void saveHardState(HardState hardState);

    /**
     * Writes consecutive entries, replacing all stored entries from the first index on. They are
     * durable after the next {@link #sync()}.
     *
     * @param entries the entries, not empty
     */
    void append(List<Entry> entries);

    /** Makes all appended entries durable. */
    void sync();

    /**
     * Saves a snapshot of the local state durably and removes older ones. If that fails, the
     * earlier snapshot and the log are as before, and the store can be used further.
     *
     * @param meta the snapshot
     * @param state the state
     */
    void saveSnapshot(SnapshotMeta meta, byte[] state);

    /** Returns the state of the newest snapshot. */
    byte[] loadSnapshot();

    /**
     * Reads a range of the newest snapshot's state.
     *
     * @param offset offset in bytes
     * @param maxBytes most bytes to read
     * @return the bytes, fewer than {@code maxBytes} at the end
     */
    byte[] readSnapshot(long offset, int maxBytes);

    /**
     * Stores a chunk of a snapshot that is being received.
     *
     * @param meta the snapshot
     * @param offset offset in bytes; 0 discards all chunks received so far
     * @param data the chunk
     */
    void storeChunk(SnapshotMeta meta, long offset, byte[] data);

    /**
     * Durably makes the received snapshot the newest one and drops the whole log.
     *
     * @param meta the snapshot
     * @return false if the received bytes do not match the size and checksum of the snapshot; log
     *     and snapshot are then unchanged
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
