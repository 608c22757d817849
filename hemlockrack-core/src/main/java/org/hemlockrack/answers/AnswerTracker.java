package org.hemlockrack.answers;

import java.util.function.Consumer;
import org.hemlockrack.answers.internal.ForwardingTracker;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.model.RequestKind;

/**
 * Checks the answer to one request and recovers from failed attempts, so that the caller receives
 * either the complete answer or an explicit error.
 *
 * <p>A stream is complete only after {@code data: [DONE]}, and at its Content-Length if it states
 * one. Any other body is complete only at its Content-Length or after its last chunk; a body whose
 * end is marked by the end of the connection cannot be distinguished from a truncated one and
 * counts as failed.
 *
 * <p>Stream events either all have an {@code id}, counting from 1, or none has. Only complete
 * events are forwarded. A stream that breaks after events were forwarded is continued in one of two
 * ways:
 *
 * <ul>
 *   <li>A numbered stream is resumed at the same engine after the last number.
 *   <li>A stream whose head stated {@value #DETERMINISTIC_HEADER}{@code : true} is run again at
 *       another server. The events already forwarded must be repeated byte for byte and are
 *       dropped; otherwise the stream ends with an error.
 * </ul>
 *
 * <p>Requests that are not idempotent are attempted again only if no earlier attempt can have run.
 * The tracker uses no timers.
 */
public interface AnswerTracker extends Decider<AnswerEvent, AnswerOutput> {
    /** Response header in which the server echoes the id of the attempt. */
    String REQUEST_ID_HEADER = "X-Request-Id";

    /** Response header by which an engine states that a run can be repeated byte for byte. */
    String DETERMINISTIC_HEADER = "X-Deterministic";

    /**
     * Creates the tracker of a request.
     *
     * @param settings bounds
     * @param kind kind of the request
     * @param bodyExpected false for a HEAD request
     * @return the tracker
     */
    static AnswerTracker create(AnswerSettings settings, RequestKind kind, boolean bodyExpected) {
        return ForwardingTracker.create(settings, kind, bodyExpected);
    }

    /**
     * Returns whether the final output was emitted; later events are ignored.
     *
     * @return true after Complete, Fail, FailStream or Abort
     */
    boolean isDone();

    /**
     * Returns whether anything was forwarded to the caller.
     *
     * @return true after the first ForwardHead
     */
    boolean hasForwarded();

    /**
     * Returns whether the request took effect, over all attempts.
     *
     * @return {@code RAN} only after a complete answer, {@code NOT_RUN} only if every attempt was
     *     refused before it ran
     */
    RunState runState();

    @Override
    default void onTimer(long nowNanos, Consumer<? super AnswerOutput> out) {}

    @Override
    default long nextTimerNanos() {
        return NO_TIMER;
    }
}
