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
 * <p>A server that checks fencing numbers refuses outdated orders itself. For one that does not,
 * the order waits until the lease of the earlier owner has ended, is then confirmed by the
 * controller in charge, and is sent only within the own lease and after the order before it has
 * ended. So two orders are never under way to it at the same time, and an order of a deposed
 * controller is not confirmed.
 */
public final class OrderSender implements Decider<OrderEvent, OrderOutput> {
    /** More than the backend servers of the projected size. */
    private static final int MAX_REMEMBERED = 4_096;

    private final Map<BackendId, OrderEvent.LeaseGranted> mOwned = new HashMap<>();
    private final Map<BackendId, Order> mWaiting = new LinkedHashMap<>();
    private final Map<BackendId, Order> mAsked = new HashMap<>();

    /** Orders under way to servers that do not check fencing; the next one must not pass them. */
    private final Map<BackendId, OrderOutput.SendOrder> mUnderWay = new HashMap<>();

    /** Highest fencing numbers; kept beyond ownership, in case it returns. */
    private final Map<BackendId, FencingToken> mHighest =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<BackendId, FencingToken> eldest) {
                    return size() > MAX_REMEMBERED;
                }
            };

    private OrderSender() {}

    /** Returns a sender that owns no server. */
    public static OrderSender create() {
        return new OrderSender();
    }

    @Override
    public void onEvent(long nowNanos, OrderEvent event, Consumer<? super OrderOutput> out) {
        if (event instanceof OrderEvent.LeaseGranted owned) {
            mOwned.put(owned.backend(), owned);
        } else if (event instanceof OrderEvent.LeaseLost gone) {
            disown(gone.backend(), out);
        } else if (event instanceof OrderEvent.OrderReceived received) {
            receive(nowNanos, received.order(), out);
        } else if (event instanceof OrderEvent.ConfirmationReceived confirmed) {
            confirmed(nowNanos, confirmed, out);
        } else if (event instanceof OrderEvent.OrderAnswered answered) {
            mUnderWay.values().removeIf(underWay -> underWay.order().equals(answered.order()));
        }
        onTimer(nowNanos, out);
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super OrderOutput> out) {
        var each = mWaiting.values().iterator();
        while (each.hasNext()) {
            Order order = each.next();
            OrderEvent.LeaseGranted owned = mOwned.get(order.backend());
            if (owned == null || nowNanos < readyNanos(owned)) {
                continue;
            }
            each.remove();
            if (!holdsLease(nowNanos, owned)) {
                out.accept(new OrderOutput.RefuseOrder(order, OrderRefusal.NOT_OWNER));
                continue;
            }
            mAsked.put(order.backend(), order);
            out.accept(new OrderOutput.ConfirmOrder(order));
        }
    }

    @Override
    public long nextTimerNanos() {
        long next = NO_TIMER;
        for (BackendId backend : mWaiting.keySet()) {
            OrderEvent.LeaseGranted owned = mOwned.get(backend);
            if (owned != null) {
                next = Math.min(next, readyNanos(owned));
            }
        }
        return next;
    }

    private void receive(long nowNanos, Order order, Consumer<? super OrderOutput> out) {
        OrderEvent.LeaseGranted owned = mOwned.get(order.backend());
        if (!holdsLease(nowNanos, owned)) {
            out.accept(new OrderOutput.RefuseOrder(order, OrderRefusal.NOT_OWNER));
            return;
        }
        FencingToken highest = mHighest.get(order.backend());
        if (highest != null && order.fence().compareTo(highest) < 0) {
            out.accept(new OrderOutput.RefuseOrder(order, OrderRefusal.STALE));
            return;
        }
        mHighest.put(order.backend(), order.fence());
        drop(order.backend(), order, OrderRefusal.STALE, out);
        if (owned.checksFencing()) {
            out.accept(new OrderOutput.SendOrder(order, owned.leaseEndNanos()));
        } else {
            mWaiting.put(order.backend(), order);
        }
    }

    private void confirmed(
            long nowNanos,
            OrderEvent.ConfirmationReceived confirmed,
            Consumer<? super OrderOutput> out) {
        Order order = confirmed.order();
        if (!mAsked.remove(order.backend(), order)) {
            return;
        }
        OrderEvent.LeaseGranted owned = mOwned.get(order.backend());
        if (!confirmed.confirmed()) {
            out.accept(new OrderOutput.RefuseOrder(order, OrderRefusal.UNCONFIRMED));
        } else if (!holdsLease(nowNanos, owned) || nowNanos < owned.waitUntilNanos()) {
            out.accept(new OrderOutput.RefuseOrder(order, OrderRefusal.NOT_OWNER));
        } else {
            OrderOutput.SendOrder send = new OrderOutput.SendOrder(order, owned.leaseEndNanos());
            mUnderWay.put(order.backend(), send);
            out.accept(send);
        }
    }

    private long readyNanos(OrderEvent.LeaseGranted owned) {
        OrderOutput.SendOrder underWay = mUnderWay.get(owned.backend());
        long freeNanos = underWay == null ? Long.MIN_VALUE : underWay.deadlineNanos();
        return Math.max(owned.waitUntilNanos(), freeNanos);
    }

    private void disown(BackendId backend, Consumer<? super OrderOutput> out) {
        mOwned.remove(backend);
        drop(backend, null, OrderRefusal.NOT_OWNER, out);
    }

    /** Refuses what is held for a server, unless it is a repetition of the given order. */
    private void drop(
            BackendId backend,
            @Nullable Order except,
            OrderRefusal refusal,
            Consumer<? super OrderOutput> out) {
        Order waiting = mWaiting.remove(backend);
        if (waiting != null && !waiting.equals(except)) {
            out.accept(new OrderOutput.RefuseOrder(waiting, refusal));
        }
        Order asked = mAsked.remove(backend);
        if (asked != null && !asked.equals(except)) {
            out.accept(new OrderOutput.RefuseOrder(asked, refusal));
        }
    }

    private static boolean holdsLease(long nowNanos, OrderEvent.@Nullable LeaseGranted owned) {
        return owned != null && nowNanos < owned.leaseEndNanos();
    }
}
