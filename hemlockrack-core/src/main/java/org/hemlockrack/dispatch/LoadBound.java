package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Bound on the load of a server as a multiple of the mean, so that a prompt prefix with much of the
 * traffic does not keep all of it at one server.
 */
final class LoadBound {
    /** Multiple of the mean load of all servers of the service. */
    private static final double FACTOR = 1.6;

    /** Requests added to that bound, so that it does not apply at low load. */
    private static final double SLACK = 2.5;

    /**
     * Replaces {@link #FACTOR} when all usable servers are above that bound; then it is a multiple
     * of the mean load of the usable servers only.
     */
    private static final double SCARCE_FACTOR = 1.25;

    /** Requests added to the bound of {@link #SCARCE_FACTOR}. */
    private static final double SCARCE_SLACK = 1;

    private LoadBound() {}

    /**
     * Returns the usable servers below the bound; there is always one.
     *
     * @param all all servers of the service; the mean includes those that receive no requests now,
     *     such as those of an evacuated zone
     * @param usable the servers to choose from
     * @param observer receives the servers above the bound
     */
    static List<ServerSlot> below(
            List<ServerSlot> all, List<ServerSlot> usable, ChoiceObserver observer) {
        List<ServerSlot> open = below(requests(meanLoad(all)), usable);
        if (open.isEmpty()) {
            open = below(SCARCE_FACTOR * meanLoad(usable) + SCARCE_SLACK, usable);
        }
        observer.onRemaining(usable, open, ServerExclusion.ABOVE_LOAD_BOUND);
        return open;
    }

    /**
     * Returns the bound that applies as long as a usable server is below it.
     *
     * @param meanRequests mean load of all servers of the service
     */
    static double requests(double meanRequests) {
        return FACTOR * meanRequests + SLACK;
    }

    private static List<ServerSlot> below(double bound, List<ServerSlot> slots) {
        List<ServerSlot> open = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (slot.load() < bound) {
                open.add(slot);
            }
        }
        return open;
    }

    /** Returns the mean load of servers. */
    static double meanLoad(List<ServerSlot> slots) {
        int total = 0;
        for (ServerSlot slot : slots) {
            total += slot.load();
        }
        return (double) total / Math.max(1, slots.size());
    }
}
