package org.hemlockrack.answers;

import java.util.function.Consumer;
import org.hemlockrack.answers.internal.ForwardingTracker;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.model.RequestKind;

/**
 * Checks the answer to one request and recovers it from broken attempts. The caller receives the
 * complete answer or an explicit error (R5).
 *
 * <p>A stream is complete only with {@code data: [DONE]}, and at its Content-Length if it states
 * one. Any other body is complete only at its Content-Length or at the end of its chunks; a body
 * that ends with the connection cannot be told from a cut one and counts as failed.
 *
 * <p>Stream events either all carry an {@code id}, counting from 1, or none does. Only whole events
 * are forwarded. After events were forwarded, a stream continues in two ways:
 *
 * <ul>
 *   <li>numbered streams resume at the same engine after the last number;
 *   <li>streams whose head stated {@value #DETERMINISTIC_HEADER}{@code : true} run again elsewhere;
 *       the events already sent must come again byte for byte and are dropped, otherwise the stream
 *       ends with an error.
 * </ul>
 *
 * <p>Only idempotent requests are attempted again, and others after attempts that surely did not
 * run. There are no timers.
 */
public interface AnswerTracker extends Decider<AnswerEvent, AnswerOutput> {
    /** Echoes the id of the attempt. */
    String REQUEST_ID_HEADER = "X-Request-Id";

    /** Stated by an engine that repeats a run byte for byte. */
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
     * Returns whether the outcome was emitted; all later events are then ignored.
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
