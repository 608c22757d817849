package org.hemlockrack.dispatch;

import org.hemlockrack.registry.Registration;
import org.jspecify.annotations.Nullable;

/**
 * The backend server that {@link ServerPool} chose for a request, or why it chose none.
 *
 * @param server the chosen server, or null if none can take the request
 * @param reason why this server was chosen, or why none was
 * @param load estimated number of requests that all gateways have in progress at the server
 * @param candidates number of servers that were eligible
 * @param cost terms by which the server was preferred to others; zero if none were compared
 * @param basis what the load rested on
 * @param waitNanos time until the first server accepts requests again, 0 if that is not known
 */
public record ServerChoice(
        @Nullable Registration server,
        Reason reason,
        int load,
        int candidates,
        ServerCost cost,
        LoadBasis basis,
        long waitNanos) {
    /** Why a server was chosen, or why none was. */
    public enum Reason {
        /** A server that has recently processed the same prompt prefix. */
        CACHED,
        /** The first server in the rendezvous ranking of the prompt prefix. */
        AFFINITY,
        /** A server further down in that ranking, because earlier ones are above the load bound. */
        OVERFLOW,
        /** A request without a prompt prefix: one of the less loaded servers. */
        LEAST_LOAD,
        /** No server of the service may receive the request. */
        NO_SERVER,
        /** All servers are at their capacity. */
        ALL_FULL,
        /** All servers have asked for no requests for a time. */
        ALL_RESTING,
        /** Only cold servers have capacity left, and their rate limit is used up. */
        ALL_COLD;
    }

    static ServerChoice of(ServerSlot slot, Reason reason, int candidates, ServerCost cost) {
        return new ServerChoice(
                slot.registration(), reason, slot.load(), candidates, cost, LoadBasis.NONE, 0);
    }

    ServerChoice withBasis(LoadBasis newBasis) {
        return new ServerChoice(server, reason, load, candidates, cost, newBasis, waitNanos);
    }

    static ServerChoice none(Reason reason) {
        return new ServerChoice(null, reason, 0, 0, ServerCost.NONE, LoadBasis.NONE, 0);
    }

    static ServerChoice allResting(long waitNanos) {
        return new ServerChoice(
                null, Reason.ALL_RESTING, 0, 0, ServerCost.NONE, LoadBasis.NONE, waitNanos);
    }
}
