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

    private final double mRequests;

    private LoadBound(double requests) {
        mRequests = requests;
    }

    /**
     * Returns the bound that at least one usable server is below.
     *
     * @param all all servers of the service; the mean includes those that receive no requests now,
     *     such as those of an evacuated zone
     * @param usable the servers to choose from
     */
    static LoadBound of(List<ServerSlot> all, List<ServerSlot> usable) {
        LoadBound bound = new LoadBound(requests(meanLoad(all)));
        for (ServerSlot slot : usable) {
            if (bound.roomAt(slot) > 0) {
                return bound;
            }
        }
        return new LoadBound(SCARCE_FACTOR * meanLoad(usable) + SCARCE_SLACK);
    }

    /**
     * Returns the bound that applies as long as a usable server is below it.
     *
     * @param meanRequests mean load of all servers of the service
     */
    static double requests(double meanRequests) {
        return FACTOR * meanRequests + SLACK;
    }

    /** Returns the servers whose load is below a part of the bound. */
    List<ServerSlot> belowPart(List<ServerSlot> slots, double part) {
        List<ServerSlot> open = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (slot.load() < part * mRequests) {
                open.add(slot);
            }
        }
        return open;
    }

    /** Returns the number of requests by which a server is below the bound. */
    double roomAt(ServerSlot slot) {
        return mRequests - slot.load();
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
