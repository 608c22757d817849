package org.hemlockrack.consensus;

import java.util.List;
import java.util.OptionalLong;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Outputs of {@link Consensus}. The driver carries them out in order. Everything in a {@code
 * Persist} output must be durable before any later {@code Send} output leaves the process.
 */
public sealed interface ConsensusOutput {
    /**
     * Sends a packet; it may be lost.
     *
     * @param packet the packet
     */
    record Send(Packet packet) implements ConsensusOutput {}

    /**
     * Sends a part of the newest saved snapshot; it may be lost.
     *
     * @param packet a packet with a {@link Message.SnapshotChunk} whose data the driver fills in
     * @param maxBytes largest part in bytes
     */
    record SendSnapshotChunk(Packet packet, int maxBytes) implements ConsensusOutput {}

    /**
     * Stores term and vote.
     *
     * @param meta the state
     */
    record PersistHardState(HardState meta) implements ConsensusOutput {}

    /**
     * Stores consecutive entries; stored entries from the first index on are dropped before.
     *
     * @param entries the entries, not empty
     */
    record PersistEntries(List<Entry> entries) implements ConsensusOutput {}

    /**
     * Applies a committed command.
     *
     * @param index log index
     * @param leaderTimeMillis time stamp of the entry
     * @param command the command
     * @param ticket the local proposal that this command answers, if any
     */
    record Apply(long index, long leaderTimeMillis, byte[] command, OptionalLong ticket)
            implements ConsensusOutput {}

    /**
     * A proposal ended without a result of the state.
     *
     * @param ticket the proposal
     * @param status how it ended; {@link ProposalStatus#APPLIED} only for voter changes
     * @param leader the instance that leads, if known
     */
    record ProposalEnded(long ticket, ProposalStatus status, @Nullable InstanceId leader)
            implements ConsensusOutput {}

    /**
     * The state may be read now: all outputs before this one hold what the read must see.
     *
     * @param ticket the read
     * @param index commit index that the read sees
     */
    record ReadReady(long ticket, long index) implements ConsensusOutput {}

    /**
     * The read cannot be served here.
     *
     * @param ticket the read
     * @param leader the instance that leads, if known
     */
    record ReadFailed(long ticket, @Nullable InstanceId leader) implements ConsensusOutput {}

    /**
     * Stores a part of a snapshot that is being received.
     *
     * @param meta the snapshot; offset 0 starts anew
     * @param offset offset in bytes
     * @param data the part
     */
    record StoreChunk(SnapshotMeta meta, long offset, byte[] data) implements ConsensusOutput {}

    /**
     * Makes the received snapshot the state and drops the whole log. Ends with {@link
     * ConsensusEvent.SnapshotInstalled}.
     *
     * @param meta the snapshot
     */
    record InstallSnapshot(SnapshotMeta meta) implements ConsensusOutput {}

    /**
     * Entries before an index are no longer needed.
     *
     * @param firstIndex the first index to keep
     */
    record Compact(long firstIndex) implements ConsensusOutput {}

    /**
     * Role, term or known leader changed.
     *
     * @param role the role
     * @param term the term
     * @param leader the instance that leads, if known
     */
    record RoleChanged(Role role, long term, @Nullable InstanceId leader)
            implements ConsensusOutput {}
}
