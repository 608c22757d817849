package org.hemlockrack.rollout;

import org.hemlockrack.model.InstanceId;

/** What {@link RolloutController} wants done. */
public sealed interface ControllerOutput {
    /**
     * Propose a command to the replicated log and report its end.
     *
     * @param command the command
     */
    record Propose(RolloutCommand command) implements ControllerOutput {}

    /**
     * Send an order to the owner of its server, which passes it to its {@link OrderSender}.
     *
     * @param owner the owner as known now
     * @param order the order
     */
    record SendOrder(InstanceId owner, Order order) implements ControllerOutput {}
}
