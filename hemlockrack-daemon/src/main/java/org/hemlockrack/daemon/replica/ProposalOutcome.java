package org.hemlockrack.daemon.replica;

import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * The outcome of a proposal.
 *
 * @param status whether the command was applied, or why not
 * @param result result of the state machine if the command was applied, otherwise null
 * @param leader the current leader if known, otherwise null
 */
public record ProposalOutcome(
        ProposalStatus status, byte @Nullable [] result, @Nullable InstanceId leader) {

    /**
     * Creates the outcome of an applied command.
     *
     * @param result result of the state machine
     * @return the outcome
     */
    public static ProposalOutcome applied(byte[] result) {
        return new ProposalOutcome(ProposalStatus.APPLIED, result, null);
    }

    /**
     * Creates the outcome of a command that was not applied or may not have been applied.
     *
     * @param status any status except {@link ProposalStatus#APPLIED}
     * @param leader the current leader, or null if not known
     * @return the outcome
     */
    public static ProposalOutcome notApplied(ProposalStatus status, @Nullable InstanceId leader) {
        return new ProposalOutcome(status, null, leader);
    }
}
