package org.hemlockrack.consensus;

import java.util.List;
import java.util.OptionalLong;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Outputs of {@link Consensus}. The driver executes them in order. The content of a {@code Persist}
 * output must be durable before any later {@code Send} output leaves the process.
 */
public sealed interface ConsensusOutput {
    /**
     * Sends a packet; it may be lost.
     *
     * @param packet the packet
     */
    record Send(Packet packet) implements ConsensusOutput {}

    /**
     * Sends a chunk of the newest saved snapshot; it may be lost.
     *
     * @param packet a packet with a {@link Message.SnapshotChunk} whose data the driver fills in
     * @param maxBytes largest chunk in bytes
     */
    record SendSnapshotChunk(Packet packet, int maxBytes) implements ConsensusOutput {}

    /**
     * Stores term and vote.
     *
     * @param hardState the state
     */
    record PersistHardState(HardState hardState) implements ConsensusOutput {}

    /**
     * Stores consecutive entries, replacing all stored entries from the first index on.
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
     * @param ticket the local proposal that appended the command, if any
     */
    record Apply(long index, long leaderTimeMillis, byte[] command, OptionalLong ticket)
            implements ConsensusOutput {}

    /**
     * A proposal ended without a result from the replicated state.
     *
     * @param ticket the proposal
     * @param status how it ended; {@link ProposalStatus#APPLIED} only for voter changes
     * @param leader the instance that leads, if known
     */
    record ProposalEnded(long ticket, ProposalStatus status, @Nullable InstanceId leader)
            implements ConsensusOutput {}

    /**
     * The read may be served: once all earlier outputs are executed, the replicated state contains
     * every command that the read must observe.
     *
     * @param ticket the read
     * @param index commit index up to which the read observes the log
     */
    record ReadReady(long ticket, long index) implements ConsensusOutput {}

    /**
     * The read cannot be served by this replica.
     *
     * @param ticket the read
     * @param leader the instance that leads, if known
     */
    record ReadFailed(long ticket, @Nullable InstanceId leader) implements ConsensusOutput {}

    /**
     * Stores a chunk of a snapshot that is being received.
     *
     * @param meta the snapshot
     * @param offset offset in bytes; 0 discards all chunks received so far
     * @param data the chunk
     */
    record StoreChunk(SnapshotMeta meta, long offset, byte[] data) implements ConsensusOutput {}

    /**
     * Replaces the replicated state by the received snapshot and drops the whole log. The driver
     * answers with {@link ConsensusEvent.SnapshotInstalled}.
     *
     * @param meta the snapshot
     */
    record InstallSnapshot(SnapshotMeta meta) implements ConsensusOutput {}

    /**
     * Allows the store to remove the entries before an index.
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
