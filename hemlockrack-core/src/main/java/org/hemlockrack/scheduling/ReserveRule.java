package org.hemlockrack.scheduling;

/**
 * Keeps free slots for requests at other gateways that precede those of this gateway. A freed slot
 * is seen first by the gateway whose request has ended, whatever waits there.
 */
public final class ReserveRule {
    /**
     * Largest share of the slots that is kept free. Requests of some seconds free about this share
     * of the slots in the 0.25 s between two exchanges with a controller.
     */
    private static final double MAX_SHARE = 0.05;

    private ReserveRule() {}

    /**
     * Returns the slots that requests of a rank and workspace must leave free.
     *
     * @param rank priority rank
     * @param workspace the workspace
     * @param view who uses and waits for the service
     * @param slots all slots of the service
     * @return the number, 0 if no preceding request waits at another gateway
     */
    public static int reservedSlots(int rank, String workspace, ShareView view, int slots) {
        double preceding = view.precedingElsewhere(rank, workspace);
        return (int) Math.ceil(Math.min(preceding, Math.ceil(MAX_SHARE * slots)));
    }
}
