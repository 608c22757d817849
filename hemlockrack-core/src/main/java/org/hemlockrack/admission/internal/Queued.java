package org.hemlockrack.admission.internal;

import org.hemlockrack.admission.AdmissionEvent.Arrived;

/**
 * A waiting request.
 *
 * @param request the request
 * @param order rises with each arrival
 */
public record Queued(Arrived request, long order) implements Comparable<Queued> {
    private static final int TOKENS_PER_COST = 512;

    /** Returns the cost of the request for fairness between workspaces, at least 1. */
    public int cost() {
        return 1 + Math.max(0, request.promptTokens()) / TOKENS_PER_COST;
    }

    /** Orders by deadline, then by arrival. */
    @Override
    public int compareTo(Queued other) {
        int byDeadline = Long.compare(request.deadlineNanos(), other.request.deadlineNanos());
        return byDeadline != 0 ? byDeadline : Long.compare(order, other.order);
    }
}
