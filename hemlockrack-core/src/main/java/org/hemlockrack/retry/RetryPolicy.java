package org.hemlockrack.retry;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;

/** Rules for failures, by what the failure says about the server and the request. */
public enum RetryPolicy {
    /** The owner refused before dispatch; another server may take the request. */
    REFUSED {
        @Override
        RetryAction action(FailedAttempt failed) {
            return RetryAction.ELSEWHERE;
        }

        @Override
        boolean drawsOnBudget() {
            // No engine saw the request, so the refusal costs no engine load, and overflow to the
            // second choice must go on when more than a tenth of requests overflow.
            return false;
        }
    },
    /** The server or the path to it failed; the request may have run. */
    SERVER_FAILED {
        @Override
        RetryAction action(FailedAttempt failed) {
            if (!failed.requestByteSent() && failed.attempts() == 1) {
                // A pooled connection that closed while idle says nothing about the server.
                return failed.kind() == ErrorKind.BACKEND_FAILED
                        ? RetryAction.SAME
                        : RetryAction.ELSEWHERE;
            }
            return RetryAction.ELSEWHERE;
        }

        @Override
        boolean drawsOnBudget() {
            return true;
        }
    },
    /** The request, not the server, is at fault, or only the caller may decide to try again. */
    FINAL {
        @Override
        RetryAction action(FailedAttempt failed) {
            return RetryAction.GIVE_UP;
        }

        @Override
        boolean drawsOnBudget() {
            return false;
        }
    };

    /** Choices of the ranking; more attempts would leave the servers that may hold the cache. */
    public static final int MAX_ATTEMPTS = 3;

    /** An attempt with less time left cannot answer, but would still cost a server its work. */
    public static final long MIN_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /**
     * Returns the rules for a failure.
     *
     * @param kind the failure
     * @return the rules
     */
    public static RetryPolicy of(ErrorKind kind) {
        return switch (kind) {
            case NOT_OWNER, OVERLOADED, NOT_READY, NO_BACKEND -> REFUSED;
            case BACKEND_FAILED, BACKEND_TIMEOUT, ANSWER_MISMATCH -> SERVER_FAILED;
            default -> FINAL;
        };
    }

    /**
     * Decides what follows a failed attempt and takes a retry from the budget if one is due.
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
                permitted(failed, runState) ? policy.action(failed) : RetryAction.GIVE_UP;
        if (action == RetryAction.GIVE_UP) {
            return new RetryDecision(RetryAction.GIVE_UP, runState);
        }
        if (policy.drawsOnBudget() && !budget.tryTake(nowNanos)) {
            return new RetryDecision(RetryAction.GIVE_UP, runState);
        }
        return new RetryDecision(action, runState);
    }

    abstract RetryAction action(FailedAttempt failed);

    abstract boolean drawsOnBudget();

    private static boolean permitted(FailedAttempt failed, RunState runState) {
        if (failed.answerByteSent() || failed.attempts() >= MAX_ATTEMPTS) {
            return false;
        }
        if (failed.remainingNanos() < MIN_REMAINING_NANOS) {
            return false;
        }
        return failed.requestKind().isIdempotent() || runState == RunState.NOT_RUN;
    }
}
