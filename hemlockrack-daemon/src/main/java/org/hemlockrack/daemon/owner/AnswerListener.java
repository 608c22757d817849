package org.hemlockrack.daemon.owner;

import java.nio.ByteBuffer;
import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.errors.ErrorKind;

/** Receives the events of one attempt to run a request. Called by one thread at a time. */
public interface AnswerListener {
    /**
     * The attempt ended because it was refused; the backend server did not run the request.
     *
     * @param kind the reason
     * @param retryAfterMillis time after which a retry can succeed, or 0
     */
    void onRefused(ErrorKind kind, long retryAfterMillis);

    /**
     * The head of the answer has arrived.
     *
     * @param status HTTP status
     * @param headers header fields of the backend server
     * @param lengthBytes content length, or -1 if not known
     */
    void onHead(int status, List<HeaderField> headers, long lengthBytes);

    /**
     * Body bytes have arrived.
     *
     * @param data the bytes; consumed within the call
     */
    void onBody(ByteBuffer data);

    /** The attempt ended: the answer is complete by its framing. */
    void onEnd();

    /**
     * The attempt ended with a failure.
     *
     * @param kind the reason
     * @param message description of the failure
     * @param mayHaveRun whether bytes of the request may have reached the backend server
     */
    void onFailed(ErrorKind kind, String message, boolean mayHaveRun);

    /**
     * The attempt ended because the connection to the backend server's owner was lost.
     *
     * @param message description of the failure
     * @param mayHaveRun whether bytes of the request may have reached the owner
     */
    default void onOwnerLost(String message, boolean mayHaveRun) {
        onFailed(ErrorKind.BACKEND_FAILED, message, mayHaveRun);
    }
}
