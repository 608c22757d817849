package org.hemlockrack.consensus;

import java.util.List;
import org.hemlockrack.model.InstanceId;

/** Input events of {@link Consensus}. */
public sealed interface ConsensusEvent {
    /**
     * A packet arrived.
     *
     * @param packet the packet
     */
    record Received(Packet packet) implements ConsensusEvent {}

    /**
     * Proposes a command. The proposal ends with a {@link ConsensusOutput.Apply} that has the same
     * ticket, or with {@link ConsensusOutput.ProposalEnded}.
     *
     * @param ticket identifies the proposal in the outputs; unique within the process
     * @param command the command; not copied
     * @param wallMillis wall-clock time in milliseconds since the epoch
     */
    record Propose(long ticket, byte[] command, long wallMillis) implements ConsensusEvent {}

    /**
     * Requests a linearizable read (the ReadIndex scheme of Raft). It ends with {@link
     * ConsensusOutput.ReadReady} once the state contains every command that was acknowledged before
     * this event, or with {@link ConsensusOutput.ReadFailed}.
     *
     * @param ticket identifies the read in the outputs
     */
    record ReadIndex(long ticket) implements ConsensusEvent {}

    /**
     * Proposes a change of the members.
     *
     * @param ticket identifies the proposal in the outputs
     * @param change the change
     */
    record ChangeVoters(long ticket, VoterChange change) implements ConsensusEvent {}

    /**
     * Replaces the instances, beside the members, to which this replica announces itself. Who forms
     * a log is still decided by the bootstrap voters of the settings.
     *
     * @param instances the instances
     */
    record ContactsChanged(List<InstanceId> instances) implements ConsensusEvent {
        /** Copies the list. */
        public ContactsChanged {
            instances = List.copyOf(instances);
        }
    }

    /**
     * Ends a batch of events: the entries proposed since the last flush are sent and persisted
     * together. The driver passes it in after each batch.
     */
    record Flush() implements ConsensusEvent {}

    /**
     * The log is durable up to and including an entry.
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
     * The outcome of {@link ConsensusOutput.InstallSnapshot}.
     *
     * @param meta the snapshot
     * @param valid true if size and checksum matched and the snapshot is durable
     */
    record SnapshotInstalled(SnapshotMeta meta, boolean valid) implements ConsensusEvent {}
}
