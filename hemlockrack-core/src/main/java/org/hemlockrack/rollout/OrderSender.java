package org.hemlockrack.rollout;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.model.BackendId;
import org.jspecify.annotations.Nullable;

/**
 * Sends orders to the backend servers that this instance owns.
 *
 * <p>A server that checks fencing tokens rejects outdated orders itself. For a server that does
 * not, an order is queued until the lease of the previous owner has expired, is then confirmed by
 * the current controller, and is sent only within this instance's own lease and after the previous
 * order has been answered or has reached its deadline. Therefore at most one order at a time is in
 * flight to such a server, and an order of a controller that is deposed before the confirmation is
 * not sent.
 */
public final class OrderSender implements Decider<OrderEvent, OrderOutput> {
    /** More than the number of backend servers at the projected fleet size. */
    private static final int MAX_TOKENS = 4_096;

    private final Map<BackendId, OrderEvent.LeaseGranted> mLeases = new HashMap<>();
    private final Map<BackendId, ModelOrder> mQueued = new LinkedHashMap<>();
    private final Map<BackendId, ModelOrder> mAwaitingConfirmation = new HashMap<>();

    /**
     * Orders in flight to servers that do not check fencing tokens; the next order must not
     * overtake them.
     */
    private final Map<BackendId, OrderOutput.SendOrder> mInFlight = new HashMap<>();

    /**
     * Highest fencing token received for each server. Kept after ownership is lost, because the
     * server may return to this instance.
     */
    private final Map<BackendId, FencingToken> mHighestTokens =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<BackendId, FencingToken> eldest) {
                    return size() > MAX_TOKENS;
                }
            };

    private OrderSender() {}

    /** Creates a sender without leases. */
    public static OrderSender create() {
        return new OrderSender();
    }

    @Override
    public void onEvent(long nowNanos, OrderEvent event, Consumer<? super OrderOutput> out) {
        if (event instanceof OrderEvent.LeaseGranted lease) {
            mLeases.put(lease.backend(), lease);
        } else if (event instanceof OrderEvent.LeaseLost lost) {
            onLeaseLost(lost.backend(), out);
        } else if (event instanceof OrderEvent.OrderReceived received) {
            onOrder(nowNanos, received.order(), out);
        } else if (event instanceof OrderEvent.ConfirmationReceived confirmation) {
            onConfirmation(nowNanos, confirmation, out);
        } else if (event instanceof OrderEvent.OrderAnswered answered) {
            mInFlight.values().removeIf(inFlight -> inFlight.order().equals(answered.order()));
        }
        onTimer(nowNanos, out);
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super OrderOutput> out) {
        var queuedOrders = mQueued.values().iterator();
        while (queuedOrders.hasNext()) {
            ModelOrder order = queuedOrders.next();
            OrderEvent.LeaseGranted lease = mLeases.get(order.backend());
            if (lease == null || nowNanos < earliestSendNanos(lease)) {
                continue;
            }
            queuedOrders.remove();
            if (!holdsLease(nowNanos, lease)) {
                out.accept(new OrderOutput.RefuseOrder(order, OrderRefusal.NOT_OWNER));
                continue;
            }
            mAwaitingConfirmation.put(order.backend(), order);
            out.accept(new OrderOutput.ConfirmOrder(order));
        }
    }

    @Override
    public long nextTimerNanos() {
        long next = NO_TIMER;
        for (BackendId backend : mQueued.keySet()) {
            OrderEvent.LeaseGranted lease = mLeases.get(backend);
            if (lease != null) {
                next = Math.min(next, earliestSendNanos(lease));
            }
        }
        return next;
    }

    /**
     * Sends an order to a server that checks fencing tokens, queues it for any other server, or
     * refuses it.
     */
    private void onOrder(long nowNanos, ModelOrder order, Consumer<? super OrderOutput> out) {
        OrderEvent.LeaseGranted lease = mLeases.get(order.backend());
        if (!holdsLease(nowNanos, lease)) {
            out.accept(new OrderOutput.RefuseOrder(order, OrderRefusal.NOT_OWNER));
            return;
        }
        FencingToken highestToken = mHighestTokens.get(order.backend());
        if (highestToken != null && order.fencingToken().compareTo(highestToken) < 0) {
            out.accept(new OrderOutput.RefuseOrder(order, OrderRefusal.STALE));
            return;
        }
        mHighestTokens.put(order.backend(), order.fencingToken());
        refuseHeldOrders(order.backend(), order, OrderRefusal.STALE, out);
        if (lease.checksFencing()) {
            out.accept(new OrderOutput.SendOrder(order, lease.leaseEndNanos()));
        } else {
            mQueued.put(order.backend(), order);
        }
    }

    /** Sends or refuses an order after the answer of the controller. */
    private void onConfirmation(
            long nowNanos,
            OrderEvent.ConfirmationReceived confirmation,
            Consumer<? super OrderOutput> out) {
        ModelOrder order = confirmation.order();
        if (!mAwaitingConfirmation.remove(order.backend(), order)) {
            return;
        }
        OrderEvent.LeaseGranted lease = mLeases.get(order.backend());
        if (!confirmation.confirmed()) {
            out.accept(new OrderOutput.RefuseOrder(order, OrderRefusal.UNCONFIRMED));
        } else if (!holdsLease(nowNanos, lease) || nowNanos < lease.waitUntilNanos()) {
            out.accept(new OrderOutput.RefuseOrder(order, OrderRefusal.NOT_OWNER));
        } else {
            OrderOutput.SendOrder send = new OrderOutput.SendOrder(order, lease.leaseEndNanos());
            mInFlight.put(order.backend(), send);
            out.accept(send);
        }
    }

    /** Returns when the previous owner and the previous order can no longer interfere. */
    private long earliestSendNanos(OrderEvent.LeaseGranted lease) {
        OrderOutput.SendOrder inFlight = mInFlight.get(lease.backend());
        long previousDeadlineNanos = inFlight == null ? Long.MIN_VALUE : inFlight.deadlineNanos();
        return Math.max(lease.waitUntilNanos(), previousDeadlineNanos);
    }

    private void onLeaseLost(BackendId backend, Consumer<? super OrderOutput> out) {
        mLeases.remove(backend);
        refuseHeldOrders(backend, null, OrderRefusal.NOT_OWNER, out);
    }

    /**
     * Refuses the orders that are held for a server, except a retransmission of the given order.
     */
    private void refuseHeldOrders(
            BackendId backend,
            @Nullable ModelOrder except,
            OrderRefusal refusal,
            Consumer<? super OrderOutput> out) {
        ModelOrder queued = mQueued.remove(backend);
        if (queued != null && !queued.equals(except)) {
            out.accept(new OrderOutput.RefuseOrder(queued, refusal));
        }
        ModelOrder unconfirmed = mAwaitingConfirmation.remove(backend);
        if (unconfirmed != null && !unconfirmed.equals(except)) {
            out.accept(new OrderOutput.RefuseOrder(unconfirmed, refusal));
        }
    }

    private static boolean holdsLease(long nowNanos, OrderEvent.@Nullable LeaseGranted lease) {
        return lease != null && nowNanos < lease.leaseEndNanos();
    }
}
