package org.hemlockrack.rollout;

import org.hemlockrack.model.BackendId;

/** Input events of {@link OrderSender}. */
public sealed interface OrderEvent {
    /**
     * This instance became the owner of a backend server, or its ownership lease was renewed.
     *
     * @param backend the server
     * @param checksFencing whether the server rejects orders with outdated fencing tokens
     * @param waitUntilNanos monotonic time until which the previous owner may still send orders
     * @param leaseEndNanos monotonic time at which the lease expires, and with it the right to send
     *     orders
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
     * An order from a controller arrived.
     *
     * @param order the order
     */
    record OrderReceived(ModelOrder order) implements OrderEvent {}

    /**
     * The answer to {@link OrderOutput.ConfirmOrder} arrived.
     *
     * @param order the order
     * @param confirmed whether the current controller confirmed that the order is its newest for
     *     the server; false also if the controller could not be reached
     */
    record ConfirmationReceived(ModelOrder order, boolean confirmed) implements OrderEvent {}

    /**
     * The server responded to an order. Without a response the order counts as in flight until its
     * deadline.
     *
     * @param order the order
     */
    record OrderAnswered(ModelOrder order) implements OrderEvent {}
}
