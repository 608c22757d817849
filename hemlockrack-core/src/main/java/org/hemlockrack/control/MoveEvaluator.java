package org.hemlockrack.control;

import org.jspecify.annotations.Nullable;

/**
 * Decides the steps of a move from the answers of both versions. The target keeps a small share
 * until shortly before the deadline, because some faults show late; only then it gets everything.
 */
public final class MoveEvaluator {
    /** Share of the target until it is judged, in parts of 1000; below the tenth it may get. */
    public static final int CANARY_PER_MILLE = 70;

    /** Before the deadline, all requests go to the target for this long. */
    private static final long SWITCH_MILLIS = 1_400;

    /** Before the deadline, the move is reported as over. */
    private static final long FINISH_MILLIS = 500;

    /** Failures of the target below which nothing is concluded. */
    private static final long MIN_FAILURES = 4;

    /** Answers of each version below which latencies are not compared. */
    private static final long MIN_ANSWERS = 8;

    /** Failure rate of the target above that of the others that counts as a fault. */
    private static final double FAILURE_MARGIN = 0.05;

    /**
     * Factor between mean latencies that counts as a fault; faulty versions are several times
     * slower.
     */
    private static final double SLOW_FACTOR = 2.2;

    private MoveEvaluator() {}

    /**
     * Sums up the answers of one version.
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
     * @param target answers of the target
     * @param others answers of all other versions of the service
     * @return the move with a new share or status, or null if nothing changes
     */
    public static @Nullable TrafficMove nextStep(
            TrafficMove move, long leftMillis, VersionAnswers target, VersionAnswers others) {
        if (isFaulty(target, others)) {
            return move.withStatus(MoveStatus.REVERTED);
        }
        boolean judged = target.succeeded() >= MIN_ANSWERS;
        if (leftMillis <= FINISH_MILLIS) {
            return move.withStatus(judged ? MoveStatus.COMPLETED : MoveStatus.REVERTED);
        }
        if (leftMillis <= SWITCH_MILLIS
                && judged
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
