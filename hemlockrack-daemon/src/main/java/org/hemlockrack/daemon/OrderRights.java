package org.hemlockrack.daemon;

import java.util.HashMap;
import java.util.Map;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.owner.Announcement;
import org.hemlockrack.daemon.owner.OwnerService;
import org.hemlockrack.daemon.rollout.OrderService;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.rollout.OrderEvent;

/** Tells the order service which servers this instance may give orders to. */
final class OrderRights implements OwnerService.OwnershipListener {
    private final EventLoop mLoop;
    private final OrderService mOrders;
    private final Map<BackendId, Long> mSinceNanos = new HashMap<>();

    OrderRights(EventLoop loop, OrderService orders) {
        mLoop = loop;
        mOrders = orders;
    }

    @Override
    public void onOwnershipRenewed(Announcement announcement, long leaseEndNanos) {
        // Admission began only after the earlier owner's right had ended.
        long sinceNanos = mSinceNanos.computeIfAbsent(announcement.id(), id -> mLoop.nowNanos());
        mOrders.onLeaseGranted(
                new OrderEvent.LeaseGranted(
                        announcement.id(), announcement.checksFencing(), sinceNanos, leaseEndNanos),
                announcement.address());
    }

    @Override
    public void onOwnershipLost(BackendId backend) {
        mSinceNanos.remove(backend);
        mOrders.onLeaseLost(backend);
    }
}
