package org.hemlockrack.consensus;

import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.internal.Raft;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Decides for one replica of the replicated log: elections, replication, commitment, reads,
 * snapshots, members. {@link ReplicaNode} drives it with a {@link LogStore} and a state.
 */
public interface Consensus extends Decider<ConsensusEvent, ConsensusOutput> {
    /**
     * Creates a decider from what the store held.
     *
     * @param settings the settings
     * @param recovered what the store held
     * @param random source for election timeouts
     * @param nowNanos monotonic time
     * @return the decider, a follower
     */
    static Consensus create(
            ConsensusSettings settings,
            RecoveredState recovered,
            RandomGenerator random,
            long nowNanos) {
        return Raft.create(settings, recovered, random, nowNanos);
    }

    /** Returns the current role. */
    Role role();

    /** Returns the current term. */
    long term();

    /** Returns the instance that leads as far as this replica knows. */
    @Nullable InstanceId leader();

    /** Returns the members in force here. */
    Membership membership();

    /** Returns the last committed index, up to which all commands have been emitted. */
    long commitIndex();

    /** Returns the last index of the log. */
    long lastIndex();

    /** Returns the term of the last entry. */
    long lastTerm();

    /** Returns whether a snapshot is being sent; saving a newer one would start that anew. */
    boolean sendingSnapshot();

    /**
     * Describes a snapshot of everything committed.
     *
     * @param sizeBytes size of the state in bytes
     * @param crc32c checksum of the state
     * @return the description
     */
    SnapshotMeta describeSnapshot(long sizeBytes, int crc32c);
}
