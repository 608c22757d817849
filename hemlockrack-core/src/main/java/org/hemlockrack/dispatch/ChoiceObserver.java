package org.hemlockrack.dispatch;

import java.util.Collection;

/** Receives how a server is chosen. Observing a choice does not influence it. */
interface ChoiceObserver {
    /** Observes nothing. */
    ChoiceObserver NONE = new ChoiceObserver() {};

    /** A server is not considered further. */
    default void onExcluded(ServerSlot slot, ServerExclusion reason) {}

    /** The cost of a server was computed. */
    default void onCompared(ServerSlot slot, ServerCost cost) {}

    /** Reports the servers that are not among the remaining ones. */
    default void onRemaining(
            Collection<ServerSlot> before,
            Collection<ServerSlot> remaining,
            ServerExclusion reason) {}
}
