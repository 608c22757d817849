package org.hemlockrack.retry;

import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.model.RequestKind;

/**
 * A failed attempt, with the state of the request it belongs to.
 *
 * @param kind the failure
 * @param requestKind kind of the request
 * @param requestByteSent whether a byte of the request reached the owner or backend server in this
 *     attempt
 * @param answerByteSent whether a byte of an answer reached the caller; the request is then not
 *     retried here, {@code AnswerTracker} decides whether it resumes
 * @param earlierRunState run state after the earlier attempts, NOT_RUN for the first attempt
 * @param attempts attempts so far, including this one
 * @param remainingNanos time left until the deadline of the request
 */
public record FailedAttempt(
        ErrorKind kind,
        RequestKind requestKind,
        boolean requestByteSent,
        boolean answerByteSent,
        RunState earlierRunState,
        int attempts,
        long remainingNanos) {
    /**
     * Returns whether the request took effect, over all attempts so far.
     *
     * @return NOT_RUN only if no attempt can have run
     */
    public RunState runState() {
        if (earlierRunState != RunState.NOT_RUN) {
            return earlierRunState;
        }
        return requestByteSent ? kind.runState() : RunState.NOT_RUN;
    }
}
