package org.hemlockrack.dispatch;

import org.hemlockrack.registry.Registration;
import org.jspecify.annotations.Nullable;

/**
 * The answer of the pool to a demand.
 *
 * @param server the chosen server, or null if none can take the request
 * @param reason why this server, or why none
 * @param load requests that the fleet has in progress at the server, as estimated
 * @param candidates number of servers that could have been chosen
 */
public record ServerChoice(@Nullable Registration server, Reason reason, int load, int candidates) {
    /** Reasons of a choice. */
    public enum Reason {
        /** A server that has read the prompt parts lately. */
        CACHED,
        /** The first server in the ranking of the prompt parts. */
        AFFINITY,
        /** A server further down in that ranking, because earlier ones carry too much. */
        OVERFLOW,
        /** The server with the least load. */
        LEAST_LOAD,
        /** No server of the service may take requests. */
        NO_SERVER,
        /** All servers carry as much as they can. */
        ALL_FULL,
        /** Only cold servers are left and their limit is used up. */
        ALL_COLD;
    }

    static ServerChoice none(Reason reason) {
        return new ServerChoice(null, reason, 0, 0);
    }
}
