package org.hemlockrack.capacity;

/**
 * Limit by queueing delay, as in TCP Vegas: by Little's law, of {@code load} requests the part
 * {@code load * (1 - 1 / delayRatio)} waits. The limit follows the part that does not wait.
 */
final class QueueingDelayRule implements LimitRule {
    /** Waiting requests that are tolerated, as a part of the slots; keeps the server busy. */
    private static final double TOLERATED_QUEUE = 0.06;

    /** Growth in one period, as a part of the slots: from the floor to the slots in 1 s. */
    private static final double GROWTH = 0.1;

    /** Growth while the limit is not in use, so that idle servers do not forget it at once. */
    private static final double UNUSED_GROWTH = 0.04;

    /** Part of the limit from which on it counts as in use. */
    private static final double USED = 0.7;

    /** Largest decrease in one period, so that a few slow answers do not close a server. */
    private static final double SMALLEST_FACTOR = 0.75;

    @Override
    public double next(double limit, Observation observed) {
        double queued = observed.load() * (1 - 1 / Math.max(1, observed.delayRatio()));
        double tolerated = Math.max(1, TOLERATED_QUEUE * observed.slots());
        if (queued > 2 * tolerated) {
            double sustained = observed.load() - queued + tolerated;
            return Math.min(limit, Math.max(sustained, limit * SMALLEST_FACTOR));
        }
        if (queued > tolerated) {
            return limit;
        }
        boolean used = observed.load() >= USED * limit;
        return limit + Math.max(0.5, (used ? GROWTH : UNUSED_GROWTH) * observed.slots());
    }
}
