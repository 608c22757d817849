package org.hemlockrack.daemon;

import java.util.HashMap;
import java.util.Map;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.owner.Announcement;
import org.hemlockrack.daemon.owner.OwnerService;
import org.hemlockrack.daemon.rollout.OrderService;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.rollout.OrderEvent;

/** Forwards the leases of backend servers that this instance owns to the order service. */
final class OrderLeaseForwarder implements OwnerService.OwnershipListener {
    private final EventLoop mLoop;
    private final OrderService mOrders;
    private final Map<BackendId, Long> mFirstGrantNanos = new HashMap<>();

    OrderLeaseForwarder(EventLoop loop, OrderService orders) {
        mLoop = loop;
        mOrders = orders;
    }

    @Override
    public void onOwnershipRenewed(Announcement announcement, long leaseEndNanos) {
        // This instance began to admit requests only after the lease of the earlier owner had
        // ended, so the earlier owner sends no more orders.
        long firstGrantNanos =
                mFirstGrantNanos.computeIfAbsent(announcement.id(), id -> mLoop.nowNanos());
        mOrders.onLeaseGranted(
                new OrderEvent.LeaseGranted(
                        announcement.id(),
                        announcement.checksFencing(),
                        firstGrantNanos,
                        leaseEndNanos),
                announcement.address());
    }

    @Override
    public void onOwnershipLost(BackendId backend) {
        mFirstGrantNanos.remove(backend);
        mOrders.onLeaseLost(backend);
    }
}
