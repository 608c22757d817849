package org.hemlockrack.retry;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;

/** Retry rules for groups of failures, by what a failure shows about the server and the request. */
public enum RetryPolicy {
    /** The owner rejected the request before dispatch; another server may accept it. */
    REFUSED {
        @Override
        RetryAction actionFor(FailedAttempt failed) {
            return RetryAction.OTHER_SERVER;
        }

        @Override
        boolean usesBudget() {
            // The rejected request caused no engine load, and overflow to the second choice must
            // continue even when more than a tenth of the requests overflow.
            return false;
        }
    },
    /** The server or the connection to it failed; the request may have run. */
    SERVER_FAILED {
        @Override
        RetryAction actionFor(FailedAttempt failed) {
            if (!failed.requestByteSent() && failed.attempts() == 1) {
                // A pooled connection that was closed while idle does not show a failed server.
                return failed.kind() == ErrorKind.BACKEND_FAILED
                        ? RetryAction.SAME_SERVER
                        : RetryAction.OTHER_SERVER;
            }
            return RetryAction.OTHER_SERVER;
        }

        @Override
        boolean usesBudget() {
            return true;
        }
    },
    /** The request itself is invalid, or only the caller can decide whether to retry. */
    FINAL {
        @Override
        RetryAction actionFor(FailedAttempt failed) {
            return RetryAction.GIVE_UP;
        }

        @Override
        boolean usesBudget() {
            return false;
        }
    };

    /**
     * One attempt for each server at the head of the ranking; later ones are unlikely to have the
     * chat cached.
     */
    public static final int MAX_ATTEMPTS = 3;

    /** An attempt with less time left cannot complete, but would still load a server. */
    public static final long MIN_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /**
     * Returns the policy for a failure.
     *
     * @param kind the failure
     * @return the policy
     */
    public static RetryPolicy of(ErrorKind kind) {
        return switch (kind) {
            case NOT_OWNER, OVERLOADED, NOT_READY, NO_BACKEND -> REFUSED;
            case BACKEND_FAILED, BACKEND_TIMEOUT, ANSWER_MISMATCH -> SERVER_FAILED;
            default -> FINAL;
        };
    }

    /**
     * Decides whether a failed attempt is retried, and takes the retry from the budget if the
     * policy requires it.
     *
     * @param nowNanos monotonic time
     * @param failed the failed attempt
     * @param budget the budget of the service
     * @return the decision
     */
    public static RetryDecision decide(long nowNanos, FailedAttempt failed, RetryBudget budget) {
        RunState runState = failed.runState();
        RetryPolicy policy = of(failed.kind());
        RetryAction action =
                isRetryAllowed(failed, runState) ? policy.actionFor(failed) : RetryAction.GIVE_UP;
        if (action == RetryAction.GIVE_UP) {
            return new RetryDecision(RetryAction.GIVE_UP, runState);
        }
        if (policy.usesBudget() && !budget.tryTake(nowNanos)) {
            return new RetryDecision(RetryAction.GIVE_UP, runState);
        }
        return new RetryDecision(action, runState);
    }

    abstract RetryAction actionFor(FailedAttempt failed);

    abstract boolean usesBudget();

    private static boolean isRetryAllowed(FailedAttempt failed, RunState runState) {
        if (failed.answerByteSent() || failed.attempts() >= MAX_ATTEMPTS) {
            return false;
        }
        if (failed.remainingNanos() < MIN_REMAINING_NANOS) {
            return false;
        }
        return failed.requestKind().isIdempotent() || runState == RunState.NOT_RUN;
    }
}
