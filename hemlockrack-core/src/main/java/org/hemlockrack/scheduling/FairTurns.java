package org.hemlockrack.scheduling;

import java.util.Collection;

/** Positions in a queue whose workspaces take turns. */
public final class FairTurns {
    private FairTurns() {}

    /**
     * Returns how many requests are served before one if workspaces take turns and all requests
     * have the same cost.
     *
     * @param ownBefore requests of the same workspace that are served before it
     * @param others queued requests of each other workspace
     * @return the number
     */
    public static double countBefore(double ownBefore, Collection<? extends Number> others) {
        double before = ownBefore;
        for (Number queued : others) {
            before += Math.min(ownBefore + 1, queued.doubleValue());
        }
        return before;
    }
}
