package org.hemlockrack.answers;

import java.util.List;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;

/** Actions that the user of an {@link AnswerTracker} must perform, in order. */
public sealed interface AnswerOutput {
    /**
     * Send the head to the caller. Heads of streams carry no Content-Length.
     *
     * @param status HTTP status
     * @param headers header fields of the server
     */
    record ForwardHead(int status, List<Header> headers) implements AnswerOutput {
        /** Copies the list. */
        public ForwardHead {
            headers = List.copyOf(headers);
        }
    }

    /**
     * Send body bytes to the caller.
     *
     * @param bytes the bytes
     */
    record ForwardBytes(byte[] bytes) implements AnswerOutput {}

    /** The answer is complete; end the response. */
    record Complete() implements AnswerOutput {}

    /**
     * Cancel the current attempt and resume the stream at the same engine.
     *
     * @param lastEventId value of the Last-Event-ID header
     * @param cause why the attempt ended
     */
    record Resume(long lastEventId, ErrorKind cause) implements AnswerOutput {}

    /**
     * Cancel the current attempt and run the request on another server.
     *
     * @param skippedEvents number of events that the tracker drops because they were already
     *     forwarded to the caller; 0 if nothing was forwarded
     * @param cause why the attempt ended
     */
    record Rerun(long skippedEvents, ErrorKind cause) implements AnswerOutput {}

    /**
     * Respond with an error; nothing was forwarded.
     *
     * @param kind the error
     * @param message description of the error
     * @param runState whether the request took effect
     */
    record Fail(ErrorKind kind, String message, RunState runState) implements AnswerOutput {}

    /**
     * End the stream with an error event, after complete events and without the terminator event.
     *
     * @param kind the error
     * @param eventBytes the error event
     */
    record FailStream(ErrorKind kind, byte[] eventBytes) implements AnswerOutput {}

    /**
     * Close the caller's connection. The forwarded part of an answer that is not a stream could
     * otherwise be taken for the complete answer.
     *
     * @param kind the error
     * @param message description of the error
     */
    record Abort(ErrorKind kind, String message) implements AnswerOutput {}
}
