package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.hemlockrack.capacity.ServiceDelays;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ZoneId;

/**
 * Chooses the server with the shortest expected delay, from learned limits and speeds and from the
 * work that a prompt prefix costs where it is not cached. Only a few servers are compared for each
 * request: if all gateways compared all of them, the same server would be the best for all until
 * the next sum of the loads, and the load would swing between servers.
 */
final class LeastDelay {
    /** Servers of each zone group that are drawn for a request without a prefix. */
    private static final int DRAWN_SERVERS = 2;

    /** Servers in the rendezvous ranking of a prefix that are compared, besides its holders. */
    private static final int RANKED_SERVERS = 3;

    /**
     * Cost of another availability zone. A server in the home zone at 44 percent of its limit costs
     * as much as one in another zone at 32 percent.
     */
    private static final double ZONE_COST = 0.3;

    /**
     * Least cost of work on a prefix. What is measured is too low where servers hold prefixes that
     * this gateway does not know of, and then less than the cost of another zone.
     */
    private static final double MIN_PREFIX_COST = 1;

    /** Bound on the measured cost of a prefix, so that it never outweighs a full server. */
    private static final double MAX_PREFIX_COST = 12;

    /**
     * Part of the limit from which on the expected wait is taken to grow linearly: beyond the limit
     * the longer queue must still cost more.
     */
    private static final double LINEAR_UTILIZATION = 0.9;

    /** Bound on the slowness of a server relative to the others, in both directions. */
    private static final double MAX_SLOWNESS = 10;

    /** Random part of the cost; below any difference that matters. */
    private static final double TIE_COST = 0.02;

    private final ZoneId mHomeZone;
    private final RandomGenerator mRandom;

    LeastDelay(ZoneId homeZone, RandomGenerator random) {
        mHomeZone = homeZone;
        mRandom = random;
    }

    /**
     * Chooses a server.
     *
     * @param nowNanos monotonic time
     * @param all all servers of the service; the usual speed is the median of theirs, so that no
     *     server is penalised if all are slow at once
     * @param usable the servers to choose from
     * @param criteria criteria of the request
     * @param holders servers that have its prompt prefix
     * @param delays times of the service
     * @param observer receives the costs
     */
    ServerChoice choose(
            long nowNanos,
            List<ServerSlot> all,
            List<ServerSlot> usable,
            SelectionCriteria criteria,
            List<BackendId> holders,
            ServiceDelays delays,
            ChoiceObserver observer) {
        boolean hasPrefix = criteria.affinityKey() != 0;
        List<ServerSlot> open = LoadBound.of(all, usable).belowPart(usable, 1);
        observer.onRemaining(usable, open, ServerExclusion.ABOVE_LOAD_BOUND);
        List<ServerSlot> ranked =
                hasPrefix
                        ? RendezvousRanking.first(open, criteria.affinityKey(), RANKED_SERVERS)
                        : List.of();
        List<ServerSlot> compared = hasPrefix ? withHolders(ranked, open, holders) : drawn(open);
        observer.onRemaining(open, compared, ServerExclusion.NOT_COMPARED);
        // Other gateways send the prefix to its first server too, so it is cached there first.
        boolean firstHolds = hasPrefix && holders.isEmpty();
        double prefixCost = hasPrefix ? prefixCost(criteria.route(), delays) : 0;
        double usualSpeed = medianSpeed(nowNanos, all);
        ServerSlot best = compared.get(0);
        ServerCost bestCost = ServerCost.NONE;
        boolean hasBest = false;
        for (ServerSlot slot : compared) {
            boolean holds = holders.contains(slot.id()) || firstHolds && slot == ranked.get(0);
            // Reading the prefix delays every stream that runs at the server as well.
            double readCost = holds ? 0 : prefixCost * (1 + slot.load());
            ServerCost cost = costOf(nowNanos, slot, usualSpeed, readCost);
            observer.onCompared(slot, cost);
            if (!hasBest || cost.total() < bestCost.total()) {
                best = slot;
                bestCost = cost;
                hasBest = true;
            }
        }
        observer.onRemaining(compared, List.of(best), ServerExclusion.HIGHER_COST);
        return ServerChoice.of(
                best, reason(best, ranked, holders, hasPrefix), usable.size(), bestCost);
    }

    private static ServerChoice.Reason reason(
            ServerSlot chosen,
            List<ServerSlot> ranked,
            List<BackendId> holders,
            boolean hasPrefix) {
        if (!hasPrefix) {
            return ServerChoice.Reason.LEAST_LOAD;
        }
        if (holders.contains(chosen.id())) {
            return ServerChoice.Reason.CACHED;
        }
        return chosen == ranked.get(0)
                ? ServerChoice.Reason.AFFINITY
                : ServerChoice.Reason.OVERFLOW;
    }

    /** The sum that decides; see {@link ServerCost} for the terms. */
    private ServerCost costOf(
            long nowNanos, ServerSlot slot, double usualSpeed, double prefixCost) {
        double slowness = usualSpeed / slot.mCapacity.speed(nowNanos);
        double bounded = Math.max(1 / MAX_SLOWNESS, Math.min(MAX_SLOWNESS, slowness));
        double load = bounded * expectedWait(slot.load() / slot.mCapacity.limit(nowNanos));
        double zone = isHome(slot) ? 0 : ZONE_COST;
        double tie = TIE_COST * mRandom.nextDouble();
        return new ServerCost(load, bounded - 1, bounded * prefixCost, zone, tie);
    }

    /** Returns the mean number of requests ahead in a queue with random arrivals. */
    private static double expectedWait(double utilization) {
        double curved = Math.min(LINEAR_UTILIZATION, utilization);
        double slope = 1 / ((1 - LINEAR_UTILIZATION) * (1 - LINEAR_UTILIZATION));
        return curved / (1 - curved) + slope * (utilization - curved);
    }

    private boolean isHome(ServerSlot slot) {
        return slot.registration().zone().equals(mHomeZone);
    }

    private static double prefixCost(String route, ServiceDelays delays) {
        double cached = delays.usualNanos(DelayKind.FIRST_PIECE_CACHED.workKind(route), 0);
        double uncached = delays.usualNanos(DelayKind.FIRST_PIECE.workKind(route), 0);
        if (cached <= 0 || uncached <= 0) {
            return MIN_PREFIX_COST;
        }
        return Math.max(MIN_PREFIX_COST, Math.min(MAX_PREFIX_COST, uncached / cached - 1));
    }

    private static double medianSpeed(long nowNanos, List<ServerSlot> slots) {
        double[] speeds = new double[slots.size()];
        for (int i = 0; i < speeds.length; i++) {
            speeds[i] = slots.get(i).mCapacity.speed(nowNanos);
        }
        Arrays.sort(speeds);
        return speeds[speeds.length / 2];
    }

    private List<ServerSlot> drawn(List<ServerSlot> usable) {
        List<ServerSlot> home = new ArrayList<>();
        List<ServerSlot> others = new ArrayList<>();
        for (ServerSlot slot : usable) {
            (isHome(slot) ? home : others).add(slot);
        }
        Set<ServerSlot> drawn = new LinkedHashSet<>();
        for (List<ServerSlot> group : List.of(home, others)) {
            for (int i = 0; i < DRAWN_SERVERS && !group.isEmpty(); i++) {
                drawn.add(group.get(mRandom.nextInt(group.size())));
            }
        }
        return new ArrayList<>(drawn);
    }

    private static List<ServerSlot> withHolders(
            List<ServerSlot> ranked, List<ServerSlot> usable, List<BackendId> holders) {
        List<ServerSlot> compared = new ArrayList<>(ranked);
        for (ServerSlot slot : usable) {
            if (holders.contains(slot.id()) && !ranked.contains(slot)) {
                compared.add(slot);
            }
        }
        return compared;
    }
}
