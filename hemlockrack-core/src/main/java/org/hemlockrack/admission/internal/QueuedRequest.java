package org.hemlockrack.admission.internal;

import org.hemlockrack.admission.AdmissionEvent.Arrived;
import org.hemlockrack.scheduling.Waiting;

/**
 * A queued request.
 *
 * @param request the request
 * @param arrivalNumber number that increases with each arrival
 */
public record QueuedRequest(Arrived request, long arrivalNumber)
        implements Waiting, Comparable<QueuedRequest> {
    private static final int TOKENS_PER_COST_UNIT = 512;

    /** Returns the cost of the request for fairness between workspaces, at least 1. */
    public int cost() {
        return 1 + Math.max(0, request.promptTokens()) / TOKENS_PER_COST_UNIT;
    }

    @Override
    public String id() {
        return request.requestId();
    }

    @Override
    public long deadlineNanos() {
        return request.deadlineNanos();
    }

    /** Orders by deadline, then by arrival. */
    @Override
    public int compareTo(QueuedRequest other) {
        return BY_DEADLINE.compare(this, other);
    }
}
