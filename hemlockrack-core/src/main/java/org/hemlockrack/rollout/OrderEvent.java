package org.hemlockrack.rollout;

import org.hemlockrack.model.BackendId;

/** What {@link OrderSender} reacts to. */
public sealed interface OrderEvent {
    /**
     * This instance owns a backend server, or its lease was renewed.
     *
     * @param backend the server
     * @param checksFencing whether the server refuses orders with old fencing numbers
     * @param waitUntilNanos monotonic time until which an earlier owner may still send orders
     * @param leaseEndNanos monotonic time at which the right to send ends
     */
    record LeaseGranted(
            BackendId backend, boolean checksFencing, long waitUntilNanos, long leaseEndNanos)
            implements OrderEvent {}

    /**
     * This instance no longer owns a backend server.
     *
     * @param backend the server
     */
    record LeaseLost(BackendId backend) implements OrderEvent {}

    /**
     * A controller sent an order.
     *
     * @param order the order
     */
    record OrderReceived(Order order) implements OrderEvent {}

    /**
     * The leader was asked about an order after {@link OrderOutput.ConfirmOrder}.
     *
     * @param order the order
     * @param confirmed whether the controller in charge confirmed that it is its newest for the
     *     server; false also if nobody could be asked
     */
    record ConfirmationReceived(Order order, boolean confirmed) implements OrderEvent {}

    /**
     * The server answered an order. Without an answer the order counts as under way until the time
     * at which it is given up.
     *
     * @param order the order
     */
    record OrderAnswered(Order order) implements OrderEvent {}
}
