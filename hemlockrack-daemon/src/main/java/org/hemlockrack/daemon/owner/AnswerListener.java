package org.hemlockrack.daemon.owner;

import java.nio.ByteBuffer;
import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.errors.ErrorKind;

/** Follows one attempt to run a request. Called by one thread at a time. */
public interface AnswerListener {
    /**
     * The attempt was refused before any byte went to the backend server; it is over.
     *
     * @param kind why
     * @param retryAfterMillis when a retry can succeed, or 0
     */
    void onRefused(ErrorKind kind, long retryAfterMillis);

    /**
     * The head of the answer has arrived.
     *
     * @param status HTTP status
     * @param headers header fields of the backend server
     * @param lengthBytes content length, or -1
     */
    void onHead(int status, List<HeaderField> headers, long lengthBytes);

    /**
     * Body bytes have arrived.
     *
     * @param data the bytes; consumed within the call
     */
    void onBody(ByteBuffer data);

    /** The answer is complete by its framing; the attempt is over. */
    void onEnd();

    /**
     * The attempt failed; it is over.
     *
     * @param kind why
     * @param message what was seen
     * @param mayHaveRun whether bytes may have gone to the backend server
     */
    void onFailed(ErrorKind kind, String message, boolean mayHaveRun);
}
