package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockrack.model.ZoneId;

/**
 * Chooses a server without regard to prompt prefixes, by loads that are as old as the reports of
 * the other gateways. The requests that the whole fleet has sent meanwhile would level the loads of
 * the servers if each got its part of them; a server is drawn in proportion to that part. If all
 * gateways chose the least loaded server, it would get all requests until the next reports.
 */
final class LoadLeveling {
    /** Load, as a fraction of the slots, added for a server in another availability zone. */
    private static final double ZONE_PENALTY = 0.5;

    /**
     * Number of report intervals over which loads are leveled. The load answers to a correction one
     * interval late, and would oscillate if each one made up for the whole difference.
     */
    private static final double LEVELING_INTERVALS = 2;

    private final ZoneId mHomeZone;
    private final RandomGenerator mRandom;

    LoadLeveling(ZoneId homeZone, RandomGenerator random) {
        mHomeZone = homeZone;
        mRandom = random;
    }

    private record Candidate(ServerSlot slot, ServerCost cost) {
        private double perSlot() {
            return cost.total();
        }
    }

    /**
     * Chooses a server.
     *
     * @param slots the servers to choose from
     * @param unreportedRequests requests that the fleet sends to the service while a report ages
     * @param observer receives the costs
     */
    ServerChoice choose(
            List<ServerSlot> slots, double unreportedRequests, ChoiceObserver observer) {
        List<Candidate> candidates = new ArrayList<>();
        int totalRequests = 0;
        for (ServerSlot slot : slots) {
            ServerCost cost = costOf(slot);
            observer.onCompared(slot, cost);
            candidates.add(new Candidate(slot, cost));
            totalRequests += slot.load();
        }
        candidates.sort(Comparator.comparingDouble(Candidate::perSlot));
        // Of the requests sent meanwhile, those that have ended are in no load.
        double sentRequests = Math.min(unreportedRequests, totalRequests);
        double spreadRequests = Math.max(1, LEVELING_INTERVALS * sentRequests);
        double level = level(candidates, spreadRequests);
        WeightedDraw draw = WeightedDraw.create();
        for (Candidate each : candidates) {
            draw.add(each.slot(), each.slot().slots() * (level - each.perSlot()));
        }
        ServerSlot chosen = draw.draw(mRandom);
        observer.onRemaining(slots, draw.slots(), ServerExclusion.HIGHER_COST);
        observer.onRemaining(draw.slots(), List.of(chosen), ServerExclusion.NOT_DRAWN);
        return ServerChoice.of(
                chosen, ServerChoice.Reason.LEAST_LOAD, slots.size(), costOf(chosen));
    }

    /** Returns the load per slot to which a number of further requests can fill the servers. */
    private static double level(List<Candidate> ascending, double requests) {
        double slots = 0;
        double filledRequests = requests;
        double level = Double.MAX_VALUE;
        for (Candidate each : ascending) {
            if (each.perSlot() >= level) {
                break;
            }
            slots += each.slot().slots();
            filledRequests += each.perSlot() * each.slot().slots();
            level = filledRequests / slots;
        }
        return level;
    }

    private ServerCost costOf(ServerSlot slot) {
        double load = (double) slot.load() / slot.slots();
        double zone = slot.registration().zone().equals(mHomeZone) ? 0 : ZONE_PENALTY;
        return new ServerCost(load, 0, 0, zone, 0);
    }
}
