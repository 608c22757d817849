package org.hemlockrack.daemon.http;

import java.nio.ByteBuffer;
import java.util.List;

/** Follows one request to another server. Called on one I/O thread at a time. */
public interface UpstreamListener {
    /**
     * The connection is open and nothing was written yet.
     *
     * @return true to write the request; false to give up, with the certainty that no byte went out
     */
    boolean beforeSend();

    /**
     * The head of the answer has arrived.
     *
     * @param status HTTP status
     * @param headers header fields
     * @param lengthBytes content length, or {@link Responder#UNKNOWN_LENGTH}
     */
    void onHead(int status, List<HeaderField> headers, long lengthBytes);

    /**
     * Body bytes have arrived. Each byte must later be released by {@link
     * UpstreamCall#releaseWindow}.
     *
     * @param data the bytes; consumed within the call
     */
    void onBody(ByteBuffer data);

    /** The answer is complete by its framing. */
    void onEnd();

    /**
     * The exchange failed; nothing further is called.
     *
     * @param cause the cause
     * @param mayHaveBeenSent whether bytes of the request may have gone out
     */
    void onFailed(Exception cause, boolean mayHaveBeenSent);
}
