package org.hemlockrack.daemon.replica;

import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * How a proposal ended.
 *
 * @param status how it ended
 * @param result result of the state if it was applied
 * @param leader the instance that leads, if known
 */
public record ProposalOutcome(
        ProposalStatus status, byte @Nullable [] result, @Nullable InstanceId leader) {

    /**
     * Creates the outcome of an applied command.
     *
     * @param result result of the state
     * @return the outcome
     */
    public static ProposalOutcome applied(byte[] result) {
        return new ProposalOutcome(ProposalStatus.APPLIED, result, null);
    }

    /**
     * Creates another outcome.
     *
     * @param status how it ended
     * @param leader the instance that leads, if known
     * @return the outcome
     */
    public static ProposalOutcome notApplied(ProposalStatus status, @Nullable InstanceId leader) {
        return new ProposalOutcome(status, null, leader);
    }
}
