package org.hemlockrack.daemon.http;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * Receives the events of one {@link UpstreamCall}. Methods are called by one thread at a time,
 * usually an I/O thread, and must not block.
 */
public interface UpstreamListener {
    /**
     * Called when the connection is open and before the first byte of the request is written.
     *
     * @return true to send the request; false to fail the call without writing any byte
     */
    boolean beforeSend();

    /**
     * Called when the status line and the header fields of the response were received.
     *
     * @param status HTTP status
     * @param headers header fields
     * @param lengthBytes content length, or {@link Responder#UNKNOWN_LENGTH}
     */
    void onHead(int status, List<HeaderField> headers, long lengthBytes);

    /**
     * Called when body bytes were received. Each byte must be returned later by {@link
     * UpstreamCall#releaseWindow}, or the server cannot send more.
     *
     * @param data the bytes; must be consumed before this method returns
     */
    void onBody(ByteBuffer data);

    /** Called when the response is complete according to its HTTP framing. */
    void onEnd();

    /**
     * Called when the call has failed. No other method is called afterwards.
     *
     * @param cause the cause
     * @param mayHaveBeenSent whether the server may have received any part of the request
     */
    void onFailed(Exception cause, boolean mayHaveBeenSent);
}
