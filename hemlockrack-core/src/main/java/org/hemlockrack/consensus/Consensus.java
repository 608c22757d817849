package org.hemlockrack.consensus;

import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.internal.Raft;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * The Raft state machine of one replica: elections, replication, commitment, linearizable reads,
 * snapshots and membership changes. It does no I/O; {@link ReplicaNode} executes its outputs with a
 * {@link LogStore} and a {@link ReplicatedState}.
 */
public interface Consensus extends Decider<ConsensusEvent, ConsensusOutput> {
    /**
     * Creates a replica from its recovered storage.
     *
     * @param settings the settings
     * @param recovered what the store held when it was opened
     * @param random source for election timeouts
     * @param nowNanos monotonic time
     * @return the replica, as a follower
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

    /** Returns the leader as known to this replica, or null if none is known. */
    @Nullable InstanceId leader();

    /** Returns the newest membership in the log of this replica, committed or not. */
    Membership membership();

    /** Returns the last committed index; all commands up to it have been emitted for applying. */
    long commitIndex();

    /**
     * Returns whether this replica follows a leader and has committed everything that the leader
     * had committed when it sent its last message.
     */
    boolean hasCommittedAsLeader();

    /** Returns the last index of the log. */
    long lastIndex();

    /** Returns the term of the last entry. */
    long lastTerm();

    /**
     * Describes this replica and what it knows of its cluster, for the log.
     *
     * @param nowNanos monotonic time
     * @return the status
     */
    ReplicaStatus status(long nowNanos);

    /**
     * Returns whether a snapshot is being sent to another member. Saving a newer snapshot would
     * restart that transfer.
     */
    boolean isSendingSnapshot();

    /**
     * Describes a snapshot at the commit index.
     *
     * @param sizeBytes size of the state in bytes
     * @param crc32c checksum of the state
     * @return the description
     */
    SnapshotMeta describeSnapshot(long sizeBytes, int crc32c);
}
