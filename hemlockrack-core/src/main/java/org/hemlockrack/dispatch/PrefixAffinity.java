package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
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

    /** Smallest part of the load bound up to which the holders of a prefix are filled. */
    private static final double MIN_BOUND_PART = 0.8;

    /** Servers that a prefix may overflow to, besides a share of those below the bound. */
    private static final int MIN_OVERFLOW_SERVERS = 2;

    /** One in this many servers below the bound is added to them. */
    private static final int SERVERS_PER_OVERFLOW_SERVER = 4;

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
     * those that have recently processed the prefix. A prefix that has outgrown one server is
     * shared by the room of its holders below the bound.
     *
     * @param nowNanos monotonic time
     * @param all all servers of the service
     * @param usable the servers to choose from
     * @param key hash of the prompt prefix
     * @param random source of randomness for a prefix that has outgrown one server
     * @param observer receives the servers that are not chosen
     */
    ServerChoice choose(
            long nowNanos,
            List<ServerSlot> all,
            List<ServerSlot> usable,
            long key,
            RandomGenerator random,
            ChoiceObserver observer) {
        List<ServerSlot> holders = among(usable, mPrefixes.holders(nowNanos, key));
        LoadBound bound = LoadBound.of(all, usable);
        List<ServerSlot> open = open(bound, usable, holders.size() > 1, random);
        observer.onRemaining(usable, open, ServerExclusion.ABOVE_LOAD_BOUND);
        WeightedDraw cached = WeightedDraw.create();
        for (ServerSlot slot : open) {
            if (holders.contains(slot)) {
                cached.add(slot, bound.roomAt(slot));
            }
        }
        if (!cached.isEmpty()) {
            ServerSlot chosen = cached.draw(random);
            observer.onRemaining(open, cached.slots(), ServerExclusion.NOT_CACHED);
            observer.onRemaining(cached.slots(), List.of(chosen), ServerExclusion.NOT_DRAWN);
            return ServerChoice.of(
                    chosen, ServerChoice.Reason.CACHED, usable.size(), ServerCost.NONE);
        }
        if (!holders.isEmpty()) {
            return overflow(bound, usable, open, key, random, observer);
        }
        ServerSlot first = RendezvousRanking.first(open, key);
        observer.onRemaining(open, List.of(first), ServerExclusion.RANKED_LOWER);
        boolean preferred =
                open.size() == usable.size() || first == RendezvousRanking.first(usable, key);
        ServerChoice.Reason reason =
                preferred ? ServerChoice.Reason.AFFINITY : ServerChoice.Reason.OVERFLOW;
        return ServerChoice.of(first, reason, usable.size(), ServerCost.NONE);
    }

    private static List<ServerSlot> among(List<ServerSlot> slots, List<BackendId> ids) {
        List<ServerSlot> found = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (ids.contains(slot.id())) {
                found.add(slot);
            }
        }
        return found;
    }

    /**
     * Returns the servers below the bound, or below a part of it that is drawn for each request if
     * the prefix is shared. All gateways learn late that a server has reached the bound; with a
     * fixed one, all would leave it and return to it at the same time.
     */
    private static List<ServerSlot> open(
            LoadBound bound, List<ServerSlot> usable, boolean isShared, RandomGenerator random) {
        if (isShared) {
            double part = MIN_BOUND_PART + (1 - MIN_BOUND_PART) * random.nextDouble();
            List<ServerSlot> open = bound.belowPart(usable, part);
            if (!open.isEmpty()) {
                return open;
            }
        }
        return bound.belowPart(usable, 1);
    }

    /**
     * Draws a server by its room for a prefix whose holders are too loaded. The number of servers
     * to draw from grows with the fleet, as does the load that gateways add to one of them before
     * they learn of it.
     */
    private static ServerChoice overflow(
            LoadBound bound,
            List<ServerSlot> usable,
            List<ServerSlot> open,
            long key,
            RandomGenerator random,
            ChoiceObserver observer) {
        int limit = MIN_OVERFLOW_SERVERS + open.size() / SERVERS_PER_OVERFLOW_SERVER;
        WeightedDraw draw = WeightedDraw.create();
        for (ServerSlot slot : RendezvousRanking.first(open, key, limit)) {
            draw.add(slot, bound.roomAt(slot));
        }
        ServerSlot chosen = draw.draw(random);
        observer.onRemaining(open, draw.slots(), ServerExclusion.RANKED_LOWER);
        observer.onRemaining(draw.slots(), List.of(chosen), ServerExclusion.NOT_DRAWN);
        return ServerChoice.of(
                chosen, ServerChoice.Reason.OVERFLOW, usable.size(), ServerCost.NONE);
    }
}
