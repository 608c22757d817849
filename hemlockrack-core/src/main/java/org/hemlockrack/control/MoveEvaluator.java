package org.hemlockrack.control;

import org.jspecify.annotations.Nullable;

/**
 * Decides the steps of a traffic move from the responses of the target and the other versions: a
 * canary. The target keeps a small share until shortly before the deadline, because some faults
 * show only after a while; then it gets all requests.
 */
public final class MoveEvaluator {
    /** Share of the target during the canary, in parts of 1000; the allowed limit is 100. */
    public static final int CANARY_PER_MILLE = 70;

    /** Time before the deadline at which all requests go to the target. */
    private static final long FULL_SHARE_LEAD_MILLIS = 1_400;

    /** Time before the deadline at which the move is completed or reverted. */
    private static final long FINISH_LEAD_MILLIS = 500;

    /** Failures of the target below which its failure rate is not compared. */
    private static final long MIN_FAILURES = 4;

    /**
     * Successful answers of each version below which latencies are not compared. With fewer, the
     * target also does not get all requests, and the move is reverted.
     */
    private static final long MIN_ANSWERS = 8;

    /** The target is faulty if its failure rate exceeds that of the others by more than this. */
    private static final double FAILURE_MARGIN = 0.05;

    /**
     * The target is faulty if its mean latency exceeds that of the others by more than this factor;
     * faulty versions are several times slower.
     */
    private static final double SLOW_FACTOR = 2.2;

    private MoveEvaluator() {}

    /**
     * Counts of the answers of one version.
     *
     * @param succeeded number of successful answers
     * @param failed number of failures
     * @param firstByteMicros sum of the times to the first byte of successful answers
     */
    public record VersionAnswers(long succeeded, long failed, long firstByteMicros) {
        /** No answers. */
        public static final VersionAnswers NONE = new VersionAnswers(0, 0, 0);

        /** Returns the sum of both. */
        public VersionAnswers mergedWith(VersionAnswers other) {
            return new VersionAnswers(
                    succeeded + other.succeeded,
                    failed + other.failed,
                    firstByteMicros + other.firstByteMicros);
        }

        private double failureRate() {
            return (double) failed / Math.max(1, succeeded + failed);
        }

        private double meanMicros() {
            return (double) firstByteMicros / Math.max(1, succeeded);
        }
    }

    /**
     * Decides the next step.
     *
     * @param move a move in progress
     * @param leftMillis time to the deadline
     * @param target answers of the target version
     * @param others answers of all other versions of the service
     * @return the move with a new share or status, or null if it stays as it is
     */
    public static @Nullable TrafficMove nextStep(
            TrafficMove move, long leftMillis, VersionAnswers target, VersionAnswers others) {
        if (isFaulty(target, others)) {
            return move.withStatus(MoveStatus.REVERTED);
        }
        boolean hasEnoughAnswers = target.succeeded() >= MIN_ANSWERS;
        if (leftMillis <= FINISH_LEAD_MILLIS) {
            return move.withStatus(hasEnoughAnswers ? MoveStatus.COMPLETED : MoveStatus.REVERTED);
        }
        if (leftMillis <= FULL_SHARE_LEAD_MILLIS
                && hasEnoughAnswers
                && move.sharePerMille() < TrafficMove.ALL_PER_MILLE) {
            return move.withShare(TrafficMove.ALL_PER_MILLE);
        }
        return null;
    }

    private static boolean isFaulty(VersionAnswers target, VersionAnswers others) {
        if (target.failed() >= MIN_FAILURES
                && target.failureRate() > others.failureRate() + FAILURE_MARGIN) {
            return true;
        }
        return target.succeeded() >= MIN_ANSWERS
                && others.succeeded() >= MIN_ANSWERS
                && target.meanMicros() > SLOW_FACTOR * others.meanMicros();
    }
}
