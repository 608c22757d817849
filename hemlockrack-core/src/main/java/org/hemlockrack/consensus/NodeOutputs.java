package org.hemlockrack.consensus;

import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** Receives what {@link ReplicaNode#step} produces. The methods must not block or call the node. */
public interface NodeOutputs {
    /**
     * Sends a packet; it may be lost. Votes and entries that it acknowledges are durable already.
     *
     * @param packet the packet
     */
    void send(Packet packet);

    /**
     * A proposal was applied.
     *
     * @param ticket the proposal
     * @param index its log index
     * @param result the result of {@link ReplicatedState#apply}
     */
    void proposalApplied(long ticket, long index, byte[] result);

    /**
     * A proposal ended without a result from the replicated state, or a voter change ended.
     *
     * @param ticket the proposal
     * @param status how it ended
     * @param leader the instance that leads, if known
     */
    void proposalEnded(long ticket, ProposalStatus status, @Nullable InstanceId leader);

    /**
     * The replicated state contains every command that was acknowledged before the read was
     * requested; it may be read during this call.
     *
     * @param ticket the read
     * @param index commit index up to which the read observes the log
     */
    void readReady(long ticket, long index);

    /**
     * The read cannot be served by this replica.
     *
     * @param ticket the read
     * @param leader the instance that leads, if known
     */
    void readFailed(long ticket, @Nullable InstanceId leader);

    /**
     * Role, term or known leader changed.
     *
     * @param role the role
     * @param term the term
     * @param leader the instance that leads, if known
     */
    default void roleChanged(Role role, long term, @Nullable InstanceId leader) {}

    /**
     * A snapshot could not be saved; the replica goes on with its log and tries again after 5 s.
     *
     * @param cause why
     */
    default void snapshotFailed(HemlockrackException cause) {}
}
