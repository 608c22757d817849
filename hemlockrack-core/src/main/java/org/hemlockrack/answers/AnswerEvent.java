package org.hemlockrack.answers;

import java.util.List;
import org.hemlockrack.errors.ErrorKind;

/** Input of an {@link AnswerTracker}. Events of earlier attempts are ignored. */
public sealed interface AnswerEvent {
    /**
     * An attempt is about to be sent: the first, or the one that the last {@link
     * AnswerOutput.Resume} or {@link AnswerOutput.Rerun} asked for.
     *
     * @param attempt number of the attempt, larger than that of any earlier one
     * @param requestId the id that the server must echo; differs between attempts
     */
    record AttemptStarted(int attempt, String requestId) implements AnswerEvent {}

    /**
     * The head of the response was received.
     *
     * @param attempt number of the attempt
     * @param status HTTP status
     * @param headers header fields in order
     */
    record HeadReceived(int attempt, int status, List<Header> headers) implements AnswerEvent {
        /** Copies the list. */
        public HeadReceived {
            headers = List.copyOf(headers);
        }
    }

    /**
     * Body bytes were received.
     *
     * @param attempt number of the attempt
     * @param bytes the bytes without transfer coding, split at any position; neither side may
     *     modify them afterwards
     */
    record BodyReceived(int attempt, byte[] bytes) implements AnswerEvent {}

    /**
     * The message ended by its framing: at the Content-Length or with the last chunk.
     *
     * @param attempt number of the attempt
     */
    record EndReceived(int attempt) implements AnswerEvent {}

    /**
     * The attempt failed: the connection was closed, or an instance on the path refused the
     * request.
     *
     * @param attempt number of the attempt
     * @param kind the failure
     */
    record AttemptFailed(int attempt, ErrorKind kind) implements AnswerEvent {}

    /**
     * The requested attempt cannot be made: no retry budget, server or time is left.
     *
     * @param kind the error to report to the caller
     */
    record GaveUp(ErrorKind kind) implements AnswerEvent {}
}
