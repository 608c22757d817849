package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.ServiceSpec;
import org.jspecify.annotations.Nullable;

/** Conditions under which a server may get a request at all. */
final class UsableServers {
    /**
     * A server is avoided if its failure rate exceeds that of the best server by more than this.
     */
    private static final double FAILURE_MARGIN = 0.2;

    /** Maximum requests per slot, queued ones included, at a server that runs no model engine. */
    private static final int MAX_REQUESTS_PER_PLAIN_SLOT = 4;

    /** Share of the cold limit that is used; the rest covers cold starts reported late. */
    private static final double COLD_LIMIT_SHARE = 0.8;

    private UsableServers() {}

    /** Returns the servers that the control state, their statements and earlier attempts allow. */
    static List<ServerSlot> eligible(
            long nowNanos,
            List<ServerSlot> slots,
            RoutingOverrides overrides,
            ZoneReachability zones,
            SelectionCriteria criteria,
            ChoiceObserver observer) {
        TrafficMove move = overrides.move(criteria.service());
        List<ServerSlot> ready = new ArrayList<>();
        for (ServerSlot slot : slots) {
            ServerExclusion exclusion = findExclusion(slot, overrides, criteria);
            if (exclusion == null) {
                ready.add(slot);
            } else {
                observer.onExcluded(slot, exclusion);
            }
        }
        List<ServerSlot> allowed = withAllowedVersion(ready, move, criteria.versionDraw());
        if (allowed.isEmpty() && move != null) {
            // No eligible server runs the target version; requests drawn for it use the old one.
            allowed = withAllowedVersion(ready, move, 1);
        }
        observer.onRemaining(ready, allowed, ServerExclusion.VERSION_HELD_BACK);
        List<ServerSlot> responsive = new ArrayList<>();
        List<ServerSlot> reachable = new ArrayList<>();
        for (ServerSlot slot : allowed) {
            if (slot.mHealth.isSuspended(nowNanos)) {
                continue;
            }
            responsive.add(slot);
            if (!zones.isSuspended(nowNanos, slot.registration().zone())) {
                reachable.add(slot);
            }
        }
        if (responsive.isEmpty()) {
            return allowed;
        }
        observer.onRemaining(allowed, responsive, ServerExclusion.SUSPENDED);
        if (reachable.isEmpty()) {
            return responsive;
        }
        observer.onRemaining(responsive, reachable, ServerExclusion.ZONE_SUSPENDED);
        return reachable;
    }

    /** Returns why the control state, statements or earlier attempts rule out a server, or null. */
    private static @Nullable ServerExclusion findExclusion(
            ServerSlot slot, RoutingOverrides overrides, SelectionCriteria criteria) {
        Registration server = slot.registration();
        if (server.leaving() || slot.mStatement.isLeaving()) {
            return ServerExclusion.LEAVING;
        }
        if (overrides.hasDeparted(server.id(), server.startMillis())) {
            return ServerExclusion.DRAINED;
        }
        if (overrides.evacuatedZones().contains(server.zone())) {
            return ServerExclusion.ZONE_EVACUATED;
        }
        return criteria.triedServers().contains(server.id()) ? ServerExclusion.TRIED : null;
    }

    private static List<ServerSlot> withAllowedVersion(
            List<ServerSlot> slots, @Nullable TrafficMove move, double draw) {
        List<ServerSlot> allowed = new ArrayList<>();
        for (ServerSlot slot : slots) {
            String version = slot.registration().softwareVersion();
            if (VersionGate.allows(move, version, draw)) {
                allowed.add(slot);
            }
        }
        return allowed;
    }

    /** Removes servers that have just rejected a request, unless all have. */
    static List<ServerSlot> withoutRejecting(long nowNanos, List<ServerSlot> slots) {
        List<ServerSlot> accepting = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (!slot.mHealth.isFull(nowNanos)) {
                accepting.add(slot);
            }
        }
        return accepting.isEmpty() ? slots : accepting;
    }

    /** Removes servers whose slots, or learned limits, are in use. */
    static List<ServerSlot> withCapacity(
            long nowNanos, List<ServerSlot> slots, @Nullable ServiceSpec spec, boolean managed) {
        List<ServerSlot> open = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (slot.load() < maxRequests(nowNanos, slot, spec, managed)) {
                open.add(slot);
            }
        }
        return open;
    }

    /** Returns the number of requests at which a server is full. */
    static int maxRequests(
            long nowNanos, ServerSlot slot, @Nullable ServiceSpec spec, boolean managed) {
        boolean engines = spec != null && spec.runsEngines();
        double limit = managed ? slot.mCapacity.limit(nowNanos) : slot.slots();
        return (int) Math.floor(engines ? limit : MAX_REQUESTS_PER_PLAIN_SLOT * limit);
    }

    /** Removes cold servers whose rate limit is used up. */
    static List<ServerSlot> withColdCapacity(
            long nowNanos, List<ServerSlot> slots, @Nullable ServiceSpec spec, int gateways) {
        if (!pacesColdServers(spec)) {
            return slots;
        }
        double perSecond = coldRequestsPerSecond(spec, gateways);
        List<ServerSlot> usable = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (!slot.isCold(nowNanos) || slot.mColdPacing.hasPermit(nowNanos, perSecond)) {
                usable.add(slot);
            }
        }
        return usable;
    }

    /** Returns the cold servers among those given, if their service limits the rate of those. */
    static List<ServerSlot> paced(
            long nowNanos, List<ServerSlot> slots, @Nullable ServiceSpec spec) {
        return pacesColdServers(spec)
                ? slots.stream().filter(slot -> slot.isCold(nowNanos)).toList()
                : List.of();
    }

    private static boolean pacesColdServers(@Nullable ServiceSpec spec) {
        return spec != null && spec.coldRequestsPerSecond() > 0;
    }

    /** Returns the requests per second that one gateway may send to a cold server. */
    static double coldRequestsPerSecond(ServiceSpec spec, int gateways) {
        return spec.coldRequestsPerSecond() * COLD_LIMIT_SHARE / gateways;
    }

    /** Removes servers that fail much more often than the best one. */
    static List<ServerSlot> withoutFailing(long nowNanos, List<ServerSlot> slots) {
        double[] rates = new double[slots.size()];
        double best = 1;
        for (int i = 0; i < rates.length; i++) {
            rates[i] = slots.get(i).mHealth.failureRate(nowNanos);
            best = Math.min(best, rates[i]);
        }
        List<ServerSlot> healthy = new ArrayList<>();
        for (int i = 0; i < rates.length; i++) {
            if (rates[i] <= best + FAILURE_MARGIN) {
                healthy.add(slots.get(i));
            }
        }
        return healthy;
    }
}
