package org.hemlockrack.consensus;

import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** Receives what {@link ReplicaNode#step} produces. The methods must not block or call the node. */
public interface NodeOutputs {
    /**
     * Sends a packet; it may be lost. Everything that it promises is durable.
     *
     * @param packet the packet
     */
    void send(Packet packet);

    /**
     * A proposal was applied.
     *
     * @param ticket the proposal
     * @param index its log index
     * @param result the result of the state
     */
    void proposalApplied(long ticket, long index, byte[] result);

    /**
     * A proposal ended without a result of the state, or a voter change ended.
     *
     * @param ticket the proposal
     * @param status how it ended
     * @param leader the instance that leads, if known
     */
    void proposalEnded(long ticket, ProposalStatus status, @Nullable InstanceId leader);

    /**
     * The state holds every command acknowledged before the read was asked for; it may be read
     * during this call.
     *
     * @param ticket the read
     * @param index commit index that the read sees
     */
    void readReady(long ticket, long index);

    /**
     * The read cannot be served here.
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
}
