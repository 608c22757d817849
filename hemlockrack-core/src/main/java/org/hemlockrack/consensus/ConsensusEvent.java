package org.hemlockrack.consensus;

/** Events of {@link Consensus}. */
public sealed interface ConsensusEvent {
    /**
     * A packet arrived.
     *
     * @param packet the packet
     */
    record Received(Packet packet) implements ConsensusEvent {}

    /**
     * Proposes a command. It ends with {@link ConsensusOutput.Apply} carrying the ticket or with
     * {@link ConsensusOutput.ProposalEnded}.
     *
     * @param ticket names the proposal in the outputs; unique within the process
     * @param command the command; not copied
     * @param wallMillis wall-clock time in milliseconds since the epoch
     */
    record Propose(long ticket, byte[] command, long wallMillis) implements ConsensusEvent {}

    /**
     * Asks for a point at which a read of the state misses no command acknowledged before.
     *
     * @param ticket names the read in the outputs
     */
    record ReadIndex(long ticket) implements ConsensusEvent {}

    /**
     * Proposes a change of the members.
     *
     * @param ticket names the proposal in the outputs
     * @param change the change
     */
    record ChangeVoters(long ticket, VoterChange change) implements ConsensusEvent {}

    /**
     * Ends a batch of events: entries proposed since the last flush are sent and persisted as one
     * group. The driver sends it once after each batch.
     */
    record Flush() implements ConsensusEvent {}

    /**
     * Everything up to an entry is durable.
     *
     * @param index the last durable index
     * @param term the term of that entry
     */
    record Persisted(long index, long term) implements ConsensusEvent {}

    /**
     * The driver saved a snapshot of its own state.
     *
     * @param meta the snapshot
     */
    record SnapshotSaved(SnapshotMeta meta) implements ConsensusEvent {}

    /**
     * Ends {@link ConsensusOutput.InstallSnapshot}.
     *
     * @param meta the snapshot
     * @param valid whether its checksum fitted and it is durable
     */
    record SnapshotInstalled(SnapshotMeta meta, boolean valid) implements ConsensusEvent {}
}
