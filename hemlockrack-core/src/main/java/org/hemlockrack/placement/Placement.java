package org.hemlockrack.placement;

import java.util.List;
import org.hemlockrack.placement.internal.TablePlacement;

/**
 * Ranks backend servers for chats. Not thread-safe; time is monotonic and passed in.
 *
 * <p>Instances with equal candidates rank them equally. The chat table of an instance only reorders
 * the first {@value #STABLE_CHOICES} servers of that ranking, so copies of a chat stay within this
 * set whatever each instance remembers.
 */
public interface Placement {
    /** Length of the head of the ranking that the chat table may reorder. */
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
     * Replaces the candidates of all services. Servers that are not live must stay in the list for
     * as long as they may return. A server that appears after the first call counts as cold.
     *
     * @param nowNanos monotonic time
     * @param candidates all candidates, in any order
     */
    void update(long nowNanos, List<Candidate> candidates);

    /**
     * Chooses servers for a request. The first {@value #STABLE_CHOICES} ranked servers come in this
     * order: known live copies by rank, then the rest by load (all up to the mean count alike) if
     * the chat is new or the table knows it and the servers publish cache events, otherwise by
     * rank. A summary that says full does not move a server back, since the owner's refusal is
     * exact and costs less than a lost cache.
     *
     * <p>Servers of a version whose gate admits the key come before those of ungated versions;
     * servers of a gated version never serve another key.
     *
     * @param nowNanos monotonic time
     * @param key the chat
     * @param filter service, model and excluded servers
     * @param max largest number of choices, at least 1
     * @return the choices, best first; empty if no server may take the request
     */
    List<PlacementChoice> choose(long nowNanos, PlacementKey key, PlacementFilter filter, int max);

    /**
     * Records that a server completed a request of a chat.
     *
     * @param nowNanos monotonic time
     * @param key the chat
     * @param choice the choice that was used
     */
    void recordServed(long nowNanos, PlacementKey key, PlacementChoice choice);

    /**
     * Corrects the table from a cache event. A server that publishes events does so at least every
     * 10 s, with an empty one if need be; after 30 s of silence its remembered chats count like
     * those of a server without events.
     *
     * @param nowNanos monotonic time
     * @param event the event
     */
    void applyCacheEvent(long nowNanos, CacheEvent event);

    /**
     * Returns the estimated time after which a chat has left the cache of a server.
     *
     * @param choice the server
     * @return nanoseconds
     */
    long turnoverNanos(PlacementChoice choice);

    /**
     * Returns the number of remembered chats.
     *
     * @return at most {@link PlacementSettings#maxChats()}
     */
    int trackedChats();

    /**
     * Returns the memory of the chat table, including its index.
     *
     * @return bytes of all arrays
     */
    long tableBytes();
}
