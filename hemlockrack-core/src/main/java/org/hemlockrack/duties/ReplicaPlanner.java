package org.hemlockrack.duties;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.routing.AutoscaleSpec;

/**
 * Decides how many servers each service has in each zone: more early, by the demand expected when
 * an ordered server is warm; fewer late and in small steps, and never fewer than carry the zone's
 * share of the demand if another zone is lost. A service that never needs another number than it
 * has gets no order. Not thread-safe.
 */
public final class ReplicaPlanner {
    private final Map<ReplicaKey, ZonePlan> mPlans = new HashMap<>();

    private ReplicaPlanner() {}

    /** Creates a planner that has given no orders. */
    public static ReplicaPlanner create() {
        return new ReplicaPlanner();
    }

    /**
     * Returns the orders that the platform has not accepted yet, those for more servers first.
     * Called about once a second.
     *
     * @param nowNanos monotonic time
     * @param demand the demand by service and zone
     * @param specs the services whose number of servers may change
     * @return the newest order of each service and zone that needs one
     */
    public List<ReplicaOrder> plan(
            long nowNanos,
            Map<ReplicaKey, ZoneDemand> demand,
            Map<ServiceId, AutoscaleSpec> specs) {
        mPlans.keySet().removeIf(key -> !specs.containsKey(key.service()));
        demand.forEach(
                (key, zone) -> {
                    if (specs.containsKey(key.service()) && zone.servers() > 0) {
                        mPlans.computeIfAbsent(key, each -> new ZonePlan()).observe(nowNanos, zone);
                    }
                });
        List<ReplicaOrder> orders = new ArrayList<>();
        mPlans.forEach(
                (key, plan) -> {
                    plan.decide(nowNanos, specs.get(key.service()), lostZoneSlots(key));
                    if (plan.isPending()) {
                        orders.add(new ReplicaOrder(key, plan.wanted()));
                    }
                });
        orders.sort(
                Comparator.comparing((ReplicaOrder each) -> !mPlans.get(each.key()).isIncrease())
                        .thenComparing(each -> each.key().toString()));
        return orders;
    }

    /** Returns the demand that comes to a zone if the busiest other zone is lost. */
    private double lostZoneSlots(ReplicaKey key) {
        double largest = 0;
        int others = 0;
        for (Map.Entry<ReplicaKey, ZonePlan> each : mPlans.entrySet()) {
            boolean isOther =
                    each.getKey().service().equals(key.service())
                            && !each.getKey().zone().equals(key.zone());
            if (isOther) {
                largest = Math.max(largest, each.getValue().smoothedSlots());
                others++;
            }
        }
        return others == 0 ? 0 : largest / others;
    }

    /**
     * Records that a call with an order is made; from now on the number of servers is the one that
     * was ordered.
     */
    public void recordSent(ReplicaOrder order) {
        ZonePlan plan = mPlans.get(order.key());
        if (plan != null) {
            plan.recordSent(order.servers());
        }
    }

    /**
     * Records that the platform has accepted an order. A newer one may be pending.
     *
     * @param nowNanos monotonic time
     * @param order the order
     */
    public void recordAccepted(long nowNanos, ReplicaOrder order) {
        ZonePlan plan = mPlans.get(order.key());
        if (plan != null) {
            plan.recordAccepted(nowNanos, order.servers());
        }
    }
}
