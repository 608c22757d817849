package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.wire.PrefixUseData;
import org.jspecify.annotations.Nullable;

/**
 * Keeps requests with the same prompt prefix at the same servers, as far as their load allows. Not
 * thread-safe; time is monotonic and passed in.
 */
final class PrefixAffinity {
    /** Prefix uses retained until they are reported to a controller. */
    private static final int MAX_LOGGED_USES = 2_048;

    /** Multiple of the mean load up to which a request stays at its first-ranked server. */
    private static final double AFFINITY_LOAD_FACTOR = 1.6;

    /** Requests added to that bound, so that it does not apply at low load. */
    private static final double AFFINITY_LOAD_SLACK = 2.5;

    /**
     * Replaces {@link #AFFINITY_LOAD_FACTOR} when all usable servers are above that bound; then it
     * is a multiple of the mean load of the usable servers only.
     */
    private static final double SCARCE_LOAD_FACTOR = 1.25;

    /** Requests added to the bound of {@link #SCARCE_LOAD_FACTOR}. */
    private static final double SCARCE_LOAD_SLACK = 1;

    private final PrefixDirectory mPrefixes = PrefixDirectory.create();
    private final PagedLog<PrefixUseData> mUseLog = PagedLog.of(MAX_LOGGED_USES);

    /** Returns the log of the prefix uses of this gateway. */
    PagedLog<PrefixUseData> localUses() {
        return mUseLog;
    }

    /** Returns the servers that have recently processed a prefix. */
    List<BackendId> holders(long nowNanos, long key) {
        return mPrefixes.holders(nowNanos, key);
    }

    void retainServers(Set<BackendId> present) {
        mPrefixes.retainServers(present);
    }

    void recordLocalUse(long nowNanos, long prefixHash, BackendId server) {
        if (mPrefixes.recordUse(nowNanos, prefixHash, server)) {
            mUseLog.add(new PrefixUseData(prefixHash, server.value()));
        }
    }

    void recordRemoteUses(long nowNanos, List<PrefixUseData> uses) {
        for (PrefixUseData use : uses) {
            mPrefixes.recordUse(nowNanos, use.getPrefixHash(), BackendId.of(use.getServer()));
        }
    }

    /**
     * Chooses a server within the load bounds.
     *
     * @param nowNanos monotonic time
     * @param all all servers of the service; the mean includes those that receive no requests now,
     *     such as those of an evacuated zone
     * @param usable the servers to choose from
     * @param key hash of the prompt prefix
     * @return the choice, or null if every usable server is above the bounds
     */
    @Nullable ServerChoice choose(
            long nowNanos, List<ServerSlot> all, List<ServerSlot> usable, long key) {
        double bound = ServerSlot.meanLoad(all) * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK;
        ServerChoice choice = chooseWithinBound(nowNanos, usable, key, bound);
        if (choice != null) {
            return choice;
        }
        // So few servers are usable that the load of each of them is above the bound.
        bound = ServerSlot.meanLoad(usable) * SCARCE_LOAD_FACTOR + SCARCE_LOAD_SLACK;
        return chooseWithinBound(nowNanos, usable, key, bound);
    }

    /**
     * Chooses the server that ranks first for a key among those below the load bound, preferring
     * those that have recently processed the prefix. Returns null if no server is below the bound.
     */
    private @Nullable ServerChoice chooseWithinBound(
            long nowNanos, List<ServerSlot> slots, long key, double bound) {
        List<BackendId> holders = mPrefixes.holders(nowNanos, key);
        List<ServerSlot> cached = new ArrayList<>();
        List<ServerSlot> open = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (slot.load() >= bound) {
                continue;
            }
            open.add(slot);
            if (holders.contains(slot.id())) {
                cached.add(slot);
            }
        }
        if (!cached.isEmpty()) {
            ServerSlot first = firstRanked(cached, key);
            return ServerChoice.of(
                    first, ServerChoice.Reason.CACHED, slots.size(), ServerCost.NONE);
        }
        if (open.isEmpty()) {
            return null;
        }
        ServerSlot first = firstRanked(open, key);
        boolean preferred = open.size() == slots.size() || first == firstRanked(slots, key);
        ServerChoice.Reason reason =
                preferred ? ServerChoice.Reason.AFFINITY : ServerChoice.Reason.OVERFLOW;
        return ServerChoice.of(first, reason, slots.size(), ServerCost.NONE);
    }

    /**
     * Rendezvous hashing: all gateways rank the servers in the same order, and a change of servers
     * moves few keys.
     */
    private static ServerSlot firstRanked(List<ServerSlot> slots, long key) {
        ServerSlot first = slots.get(0);
        long lowestRank = Long.MAX_VALUE;
        for (ServerSlot slot : slots) {
            long rank = PromptHash.combine(key, slot.idHash());
            if (rank < lowestRank) {
                first = slot;
                lowestRank = rank;
            }
        }
        return first;
    }
}
