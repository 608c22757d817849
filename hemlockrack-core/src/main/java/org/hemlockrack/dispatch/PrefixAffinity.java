package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.wire.PrefixUseData;

/**
 * Keeps requests with the same prompt prefix at the same servers, as far as their load allows. Not
 * thread-safe; time is monotonic and passed in.
 */
final class PrefixAffinity {
    /** Prefix uses retained until they are reported to a controller. */
    private static final int MAX_LOGGED_USES = 2_048;

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
     * Chooses the server that ranks first for a key among those below the load bound, preferring
     * those that have recently processed the prefix.
     *
     * @param nowNanos monotonic time
     * @param all all servers of the service
     * @param usable the servers to choose from
     * @param key hash of the prompt prefix
     * @param observer receives the servers that are not chosen
     */
    ServerChoice choose(
            long nowNanos,
            List<ServerSlot> all,
            List<ServerSlot> usable,
            long key,
            ChoiceObserver observer) {
        List<ServerSlot> open = LoadBound.below(all, usable, observer);
        List<BackendId> holders = mPrefixes.holders(nowNanos, key);
        List<ServerSlot> cached = new ArrayList<>();
        for (ServerSlot slot : open) {
            if (holders.contains(slot.id())) {
                cached.add(slot);
            }
        }
        if (!cached.isEmpty()) {
            ServerSlot first = firstRanked(cached, key);
            observer.onRemaining(open, cached, ServerExclusion.NOT_CACHED);
            observer.onRemaining(cached, List.of(first), ServerExclusion.RANKED_LOWER);
            return ServerChoice.of(
                    first, ServerChoice.Reason.CACHED, usable.size(), ServerCost.NONE);
        }
        ServerSlot first = firstRanked(open, key);
        observer.onRemaining(open, List.of(first), ServerExclusion.RANKED_LOWER);
        boolean preferred = open.size() == usable.size() || first == firstRanked(usable, key);
        ServerChoice.Reason reason =
                preferred ? ServerChoice.Reason.AFFINITY : ServerChoice.Reason.OVERFLOW;
        return ServerChoice.of(first, reason, usable.size(), ServerCost.NONE);
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
