package org.hemlockrack.consensus;

import java.util.List;
import java.util.Set;
import org.hemlockrack.model.InstanceId;

/**
 * Settings of a replica.
 *
 * @param self instance of this replica
 * @param bootstrapVoters instances that form the cluster at its first start and receive the
 *     announcements of replicas without data; the same list in the same order on every instance
 * @param formation when this replica may form a new log
 * @param electionTimeoutNanos shortest election timeout; each timeout is drawn from one to two
 *     times this value, which doubles up to two times after several terms without a committed entry
 * @param heartbeatNanos time between heartbeats of the leader
 * @param maxBatchBytes most entry bytes in one append; a single larger entry is sent on its own
 * @param maxInflightAppends most unanswered appends per follower
 * @param maxPendingBytes most bytes of proposals waiting for commitment
 * @param maxChunkBytes largest snapshot chunk in bytes
 * @param trailingEntries entries kept below a snapshot, so that slightly lagging followers need no
 *     snapshot
 * @param disabledFeatures protocol features switched off; empty except in tests
 */
public record ConsensusSettings(
        InstanceId self,
        List<InstanceId> bootstrapVoters,
        LogFormation formation,
        long electionTimeoutNanos,
        long heartbeatNanos,
        int maxBatchBytes,
        int maxInflightAppends,
        long maxPendingBytes,
        int maxChunkBytes,
        int trailingEntries,
        Set<ProtocolFeature> disabledFeatures) {
    /** Copies the collections. */
    public ConsensusSettings {
        bootstrapVoters = List.copyOf(bootstrapVoters);
        disabledFeatures = Set.copyOf(disabledFeatures);
    }

    /**
     * Returns the default settings.
     *
     * @param self this instance
     * @param bootstrapVoters instances that form the cluster at its first start
     * @return settings that form a log {@linkplain LogFormation#WITH_ALL with all}, with an
     *     election timeout of 500 to 1,000 ms and heartbeats every 100 ms, so that a failed leader
     *     is replaced within the required 2 s
     */
    public static ConsensusSettings of(InstanceId self, List<InstanceId> bootstrapVoters) {
        return new ConsensusSettings(
                self,
                bootstrapVoters,
                LogFormation.WITH_ALL,
                500_000_000L,
                100_000_000L,
                64 * 1024,
                8,
                16 << 20,
                128 * 1024,
                256,
                Set.of());
    }

    /**
     * Returns the settings with some protocol features switched off.
     *
     * @param features the features to switch off
     * @return the settings
     */
    public ConsensusSettings withDisabled(Set<ProtocolFeature> features) {
        return new ConsensusSettings(
                self,
                bootstrapVoters,
                formation,
                electionTimeoutNanos,
                heartbeatNanos,
                maxBatchBytes,
                maxInflightAppends,
                maxPendingBytes,
                maxChunkBytes,
                trailingEntries,
                features);
    }

    /**
     * Returns the settings with another rule for the formation of a log.
     *
     * @param rule the rule
     * @return the settings
     */
    public ConsensusSettings withFormation(LogFormation rule) {
        return new ConsensusSettings(
                self,
                bootstrapVoters,
                rule,
                electionTimeoutNanos,
                heartbeatNanos,
                maxBatchBytes,
                maxInflightAppends,
                maxPendingBytes,
                maxChunkBytes,
                trailingEntries,
                disabledFeatures);
    }
}
