package org.hemlockrack.placement;

import java.util.List;
import org.hemlockrack.placement.internal.TablePlacement;

/**
 * Ranks backend servers for chats. Not thread-safe; time is monotonic and passed in.
 *
 * <p>Instances with equal candidates rank them equally. The chat table of an instance only reorders
 * the first {@value #STABLE_CHOICES} servers of that ranking, so cached copies of a chat stay
 * within this set even if the tables of the instances differ.
 */
public interface Placement {
    /** Number of servers at the head of the ranking that the chat table may reorder. */
    int STABLE_CHOICES = 3;

    /**
     * Creates a placement without candidates.
     *
     * @param settings the settings
     * @return the placement
     */
    static Placement create(PlacementSettings settings) {
        return TablePlacement.create(settings);
    }

    /**
     * Replaces the candidates of all services. Servers that are not live must stay in the list
     * while they may return. A server that appears after the first call counts as cold.
     *
     * @param nowNanos monotonic time
     * @param candidates all candidates, in any order
     */
    void update(long nowNanos, List<Candidate> candidates);

    /**
     * Chooses servers for a request. The first {@value #STABLE_CHOICES} ranked servers come in this
     * order: servers known to have the chat cached, by rank; then the rest. The rest are ordered by
     * load if all of the first servers publish cache events and the chat is new or known to be
     * cached, otherwise by rank. All loads up to the mean are treated as equal. A server that is
     * full by its load summary keeps its position, because a rejection by the owner is exact and
     * costs less than a cache miss.
     *
     * <p>Servers of a version in rollout whose share includes the key come before those of other
     * versions; they never serve a key outside the share.
     *
     * @param nowNanos monotonic time
     * @param key the chat
     * @param filter the service, the model and the servers to exclude
     * @param max maximum number of choices, at least 1
     * @return the choices, best first; empty if no server may take the request
     */
    List<PlacementChoice> choose(long nowNanos, PlacementKey key, PlacementFilter filter, int max);

    /**
     * Records that a server completed a request of a chat.
     *
     * @param nowNanos monotonic time
     * @param key the chat
     * @param choice the choice whose server was used
     */
    void recordServed(long nowNanos, PlacementKey key, PlacementChoice choice);

    /**
     * Updates the chat table from a cache event. A server that publishes events sends one at least
     * every 10 s, an empty one if nothing changed; after 30 s without events it is treated like a
     * server that publishes none.
     *
     * @param nowNanos monotonic time
     * @param event the event
     */
    void applyCacheEvent(long nowNanos, CacheEvent event);

    /**
     * Returns the estimated time after which an unused chat is evicted from the cache of a server.
     *
     * @param choice the server
     * @return nanoseconds
     */
    long turnoverNanos(PlacementChoice choice);

    /**
     * Returns the number of chats in the chat table.
     *
     * @return at most {@link PlacementSettings#maxChats()}
     */
    int trackedChats();

    /**
     * Returns the memory that the chat table uses, including its index.
     *
     * @return total size of its arrays in bytes
     */
    long tableBytes();
}
