package org.hemlockrack.admission.internal;

import org.hemlockrack.admission.AdmissionEvent.Arrived;

/**
 * A queued request.
 *
 * @param request the request
 * @param arrivalNumber number that increases with each arrival
 */
public record QueuedRequest(Arrived request, long arrivalNumber)
        implements Comparable<QueuedRequest> {
    private static final int TOKENS_PER_COST_UNIT = 512;

    /** Returns the cost of the request for fairness between workspaces, at least 1. */
    public int cost() {
        return 1 + Math.max(0, request.promptTokens()) / TOKENS_PER_COST_UNIT;
    }

    /** Orders by deadline, then by arrival. */
    @Override
    public int compareTo(QueuedRequest other) {
        int byDeadline = Long.compare(request.deadlineNanos(), other.request.deadlineNanos());
        return byDeadline != 0 ? byDeadline : Long.compare(arrivalNumber, other.arrivalNumber);
    }
}
