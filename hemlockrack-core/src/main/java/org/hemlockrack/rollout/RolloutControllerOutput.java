package org.hemlockrack.rollout;

import org.hemlockrack.model.InstanceId;

/** Actions that {@link RolloutController} requests. */
public sealed interface RolloutControllerOutput {
    /**
     * Propose a command to the replicated log and report the result with {@link
     * RolloutControllerEvent.ProposalEnded}.
     *
     * @param command the command
     */
    record Propose(RolloutCommand command) implements RolloutControllerOutput {}

    /**
     * Send an order to the owner of its server, which passes it to its {@link OrderSender}.
     *
     * @param owner the current owner of the server according to its last announcement
     * @param order the order
     */
    record SendOrder(InstanceId owner, ModelOrder order) implements RolloutControllerOutput {}
}
