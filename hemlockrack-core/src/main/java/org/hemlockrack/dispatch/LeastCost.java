package org.hemlockrack.dispatch;

import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockrack.model.ZoneId;

/** Chooses the server with the lowest cost, without regard to prompt prefixes. */
final class LeastCost {
    /** Load, as a fraction of the slots, added for a server in another availability zone. */
    private static final double ZONE_PENALTY = 0.5;

    private final ZoneId mHomeZone;
    private final RandomGenerator mRandom;

    LeastCost(ZoneId homeZone, RandomGenerator random) {
        mHomeZone = homeZone;
        mRandom = random;
    }

    ServerChoice choose(List<ServerSlot> slots, ChoiceObserver observer) {
        ServerSlot best = slots.get(0);
        ServerCost bestCost = ServerCost.NONE;
        boolean hasBest = false;
        for (ServerSlot slot : slots) {
            ServerCost cost = costOf(slot);
            observer.onCompared(slot, cost);
            if (!hasBest || cost.total() < bestCost.total()) {
                best = slot;
                bestCost = cost;
                hasBest = true;
            }
        }
        observer.onRemaining(slots, List.of(best), ServerExclusion.HIGHER_COST);
        return ServerChoice.of(best, ServerChoice.Reason.LEAST_LOAD, slots.size(), bestCost);
    }

    private ServerCost costOf(ServerSlot slot) {
        double load = (double) slot.load() / slot.slots();
        double tie = mRandom.nextDouble() / (4 * slot.slots());
        return new ServerCost(load, 0, 0, zonePenalty(slot), tie);
    }

    private double zonePenalty(ServerSlot slot) {
        return slot.registration().zone().equals(mHomeZone) ? 0 : ZONE_PENALTY;
    }
}
