package org.hemlockrack.consensus;

import java.util.List;
import java.util.random.RandomGenerator;

/** The disk of an instance of a {@link ClusterSimulation}, with the store on it. */
interface SimulatedDisk {
    /**
     * Opens the store in a new process.
     *
     * @param random source of randomness
     * @return the store
     */
    LogStore open(RandomGenerator random);

    /**
     * Opens the store again in the process whose writes have failed.
     *
     * @param random source of randomness
     * @return the store
     */
    LogStore reopen(RandomGenerator random);

    /** Ends the process without a warning; writes that were not synced may be lost. */
    void crash();

    /** Lets an operation of the store throw {@link InMemoryLogStore.Crash}. */
    void crashAfter(int operations);

    /** Ends the effect of {@link #crashAfter}. */
    void cancelCrash();

    /**
     * Lets the disk refuse writes, or accept them again.
     *
     * @param full whether it refuses them
     * @param failsAtSync whether it refuses only the sync after an append, and what is not an
     *     append
     */
    void setFull(boolean full, boolean failsAtSync);

    /** Returns the number of syncs that the disk was asked for, those of folders included. */
    long syncs();

    /** Returns the id of the replica on the disk, or 0 while its files are damaged. */
    long replicaId();

    /** Damages the files, so that they cannot be opened any more. */
    void damage();

    /** Returns the entries that a crash cannot take away. */
    List<Entry> durableEntries();
}
