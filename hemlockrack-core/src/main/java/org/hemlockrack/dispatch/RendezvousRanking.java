package org.hemlockrack.dispatch;

import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: all gateways rank the servers for a prompt prefix in the same order, and a
 * change of servers moves few prefixes.
 */
final class RendezvousRanking {
    private record Rank(ServerSlot slot, long rank) {}

    private RendezvousRanking() {}

    /** Returns the server that ranks first for a key; there must be a server. */
    static ServerSlot first(List<ServerSlot> slots, long key) {
        ServerSlot first = slots.get(0);
        long lowestRank = Long.MAX_VALUE;
        for (ServerSlot slot : slots) {
            long rank = rank(slot, key);
            if (rank < lowestRank) {
                first = slot;
                lowestRank = rank;
            }
        }
        return first;
    }

    /** Returns the servers that rank first for a key, in their order. */
    static List<ServerSlot> first(List<ServerSlot> slots, long key, int limit) {
        return slots.stream()
                .map(slot -> new Rank(slot, rank(slot, key)))
                .sorted(Comparator.comparingLong(Rank::rank))
                .limit(limit)
                .map(Rank::slot)
                .toList();
    }

    private static long rank(ServerSlot slot, long key) {
        return PromptHash.combine(key, slot.idHash());
    }
}
