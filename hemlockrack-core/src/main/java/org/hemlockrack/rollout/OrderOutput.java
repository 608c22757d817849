package org.hemlockrack.rollout;

/** What {@link OrderSender} wants done. */
public sealed interface OrderOutput {
    /**
     * Ask the leader, after a majority read, for {@link RolloutController#confirms}.
     *
     * @param order the order
     */
    record ConfirmOrder(Order order) implements OrderOutput {}

    /**
     * Send the order to the server. The request must be given up at the end of the lease.
     *
     * @param order the order
     * @param deadlineNanos monotonic time at which the connection must be closed
     */
    record SendOrder(Order order, long deadlineNanos) implements OrderOutput {}

    /**
     * Tell the controller that the order was not sent.
     *
     * @param order the order
     * @param refusal why
     */
    record RefuseOrder(Order order, OrderRefusal refusal) implements OrderOutput {}
}
