package org.hemlockrack.dispatch;

/**
 * What the load of a chosen server rested on, and what it was compared with.
 *
 * @param ownRequests requests of this gateway at the server, which it knows exactly
 * @param meanRequests mean load of all servers of the service
 * @param boundRequests the load bound, which applies to requests with a prompt prefix and to
 *     managed services
 * @param sumAgeNanos time since the sum that the load rests on was asked for, or since the server
 *     reported its own load
 * @param sumSource peer address of the controller, {@link #SERVER}, or {@link #NOTHING}
 */
public record LoadBasis(
        int ownRequests,
        double meanRequests,
        double boundRequests,
        long sumAgeNanos,
        String sumSource) {
    /** Source of a load that the server itself has reported. */
    static final String SERVER = "server";

    /** Source of a load of which nothing has been reported yet. */
    static final String NOTHING = "none";

    /** Basis where no server was chosen. */
    static final LoadBasis NONE = new LoadBasis(0, 0, 0, 0, NOTHING);
}
