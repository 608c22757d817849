package org.hemlockrack.rollout;

/** Actions that {@link OrderSender} requests. */
public sealed interface OrderOutput {
    /**
     * Ask the leader for {@link RolloutController#confirms}, which it evaluates after a quorum
     * read.
     *
     * @param order the order
     */
    record ConfirmOrder(ModelOrder order) implements OrderOutput {}

    /**
     * Send the order to the server. The request must be aborted when the ownership lease ends.
     *
     * @param order the order
     * @param deadlineNanos monotonic time at which the connection must be closed
     */
    record SendOrder(ModelOrder order, long deadlineNanos) implements OrderOutput {}

    /**
     * Report to the controller that the order was not sent.
     *
     * @param order the order
     * @param refusal the reason
     */
    record RefuseOrder(ModelOrder order, OrderRefusal refusal) implements OrderOutput {}
}
