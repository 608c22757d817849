package org.hemlockrack.consensus;

import java.util.List;
import java.util.Set;
import org.hemlockrack.model.InstanceId;

/**
 * Settings of a replica.
 *
 * @param self this instance
 * @param listed the instances listed as voters, the same list in the same order everywhere
 * @param electionTimeoutNanos shortest election timeout; each timeout is drawn from one to two
 *     times this value
 * @param heartbeatNanos time between heartbeats of the leader
 * @param maxBatchBytes most entry bytes in one append, except for a single larger entry
 * @param maxInflight most unanswered appends per follower
 * @param maxPendingBytes most bytes of proposals waiting for commitment
 * @param chunkBytes largest part of a snapshot in bytes
 * @param trailingEntries entries kept behind a snapshot for followers that lag a little
 * @param off mechanisms switched off for a measurement
 */
public record ConsensusSettings(
        InstanceId self,
        List<InstanceId> listed,
        long electionTimeoutNanos,
        long heartbeatNanos,
        int maxBatchBytes,
        int maxInflight,
        long maxPendingBytes,
        int chunkBytes,
        int trailingEntries,
        Set<Mechanism> off) {
    /** Copies the collections. */
    public ConsensusSettings {
        listed = List.copyOf(listed);
        off = Set.copyOf(off);
    }

    /**
     * Returns the default settings.
     *
     * @param self this instance
     * @param listed the instances listed as voters
     * @return settings with an election timeout of 500 to 1,000 ms and heartbeats every 100 ms, so
     *     that a leader is replaced within the 2 s of the design
     */
    public static ConsensusSettings of(InstanceId self, List<InstanceId> listed) {
        return new ConsensusSettings(
                self,
                listed,
                500_000_000L,
                100_000_000L,
                256 * 1024,
                8,
                16 << 20,
                128 * 1024,
                256,
                Set.of());
    }

    /**
     * Returns the settings without some mechanisms.
     *
     * @param mechanisms the mechanisms to switch off
     * @return the settings
     */
    public ConsensusSettings without(Set<Mechanism> mechanisms) {
        return new ConsensusSettings(
                self,
                listed,
                electionTimeoutNanos,
                heartbeatNanos,
                maxBatchBytes,
                maxInflight,
                maxPendingBytes,
                chunkBytes,
                trailingEntries,
                mechanisms);
    }
}
