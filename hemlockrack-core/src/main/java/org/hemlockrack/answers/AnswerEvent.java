package org.hemlockrack.answers;

import java.util.List;
import org.hemlockrack.errors.ErrorKind;

/** What an {@link AnswerTracker} is told. Events of earlier attempts are ignored. */
public sealed interface AnswerEvent {
    /**
     * An attempt is about to be sent: the first, or the one that the last {@link
     * AnswerOutput.Resume} or {@link AnswerOutput.Rerun} asked for.
     *
     * @param attempt number of the attempt, larger than that of any earlier one
     * @param requestId the id that the server must echo; unique to the attempt
     */
    record AttemptStarted(int attempt, String requestId) implements AnswerEvent {}

    /**
     * The head of a response.
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
     * Body bytes, with the transfer coding removed.
     *
     * @param attempt number of the attempt
     * @param bytes the bytes, cut anywhere; not modified afterwards by either side
     */
    record BodyReceived(int attempt, byte[] bytes) implements AnswerEvent {}

    /**
     * The message ended as its framing says: at the Content-Length, or with the last chunk.
     *
     * @param attempt number of the attempt
     */
    record EndReceived(int attempt) implements AnswerEvent {}

    /**
     * The attempt failed: the connection broke, or an instance on the way refused it.
     *
     * @param attempt number of the attempt
     * @param kind the failure
     */
    record AttemptFailed(int attempt, ErrorKind kind) implements AnswerEvent {}

    /**
     * The attempt that was asked for cannot be made: no budget, no server or no time is left.
     *
     * @param kind what the caller is told
     */
    record GaveUp(ErrorKind kind) implements AnswerEvent {}
}
