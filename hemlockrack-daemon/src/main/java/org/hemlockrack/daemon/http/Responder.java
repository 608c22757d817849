package org.hemlockrack.daemon.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;

/** Sends the response to one request. Safe for use from any thread. */
public interface Responder {
    /** Content length of a response whose length is not known in advance. */
    long UNKNOWN_LENGTH = -1;

    /** Retry-After is in whole seconds; delays are rounded up to the next second. */
    long MILLIS_PER_SECOND = 1_000;

    /** A message can quote a part of the request, which can be large. */
    int MAX_MESSAGE_CHARS = 1_000;

    /**
     * Sends the status and the header fields. Must be called before any body bytes are written;
     * later calls have no effect.
     *
     * @param status HTTP status
     * @param headers header fields; hop-by-hop fields are dropped
     * @param lengthBytes body length in bytes, or {@link #UNKNOWN_LENGTH}
     */
    void sendHead(int status, List<HeaderField> headers, long lengthBytes);

    /**
     * Queues body bytes. They are copied, and dropped if the exchange has ended already.
     *
     * @param data the bytes
     * @return number of bytes that are queued and not yet written to the connection
     */
    int write(ByteBuffer data);

    /** Returns the number of bytes that are queued and not yet written to the connection. */
    int queuedBytes();

    /** Completes the response after all queued bytes were written. */
    void end();

    /**
     * Closes the connection after the queued bytes without completing the response, so that the
     * client detects that it is truncated.
     */
    void abort();

    /**
     * Sets an action that runs when the exchange ends before the response was complete, for example
     * because the client has disconnected.
     *
     * @param action the action; runs immediately if that has happened already
     */
    void onCancel(Runnable action);

    /** Returns why the exchange ended before the response was complete. */
    default String cancelReason() {
        return "";
    }

    /**
     * Checks whether the client is still connected. All that had arrived on the connection before
     * this call counts, also if this process was stopped and has not read it yet. A responder
     * without a connection is always connected.
     *
     * @return completes with false if the client has closed the connection
     */
    default CompletableFuture<Boolean> checkConnected() {
        return CompletableFuture.completedFuture(true);
    }

    /**
     * Sets an action that runs once nothing of the response is queued any more: the client has
     * taken all of it, or the connection has ended. A responder that queues nothing may ignore it.
     *
     * @param action the action; runs immediately if that has happened already
     */
    default void onReleased(Runnable action) {}

    /**
     * Sets a listener that is called each time queued bytes were written to the connection.
     *
     * @param action the listener
     */
    void onDrain(DrainListener action);

    /** Listens for queued bytes that were written to the connection. */
    @FunctionalInterface
    interface DrainListener {
        /**
         * Called after bytes were written.
         *
         * @param bytes number of bytes written
         */
        void onDrained(int bytes);
    }

    /**
     * Sends a complete response.
     *
     * @param status HTTP status
     * @param headers header fields
     * @param body the body
     */
    default void send(int status, List<HeaderField> headers, byte[] body) {
        sendHead(status, headers, body.length);
        if (body.length > 0) {
            write(ByteBuffer.wrap(body));
        }
        end();
    }

    /**
     * Sends a complete response to a request that only reads. The body must not change later. If
     * clients have not taken too much of earlier responses, an error is sent instead.
     *
     * @param status HTTP status
     * @param headers header fields
     * @param body the body
     */
    default void sendDocument(int status, List<HeaderField> headers, byte[] body) {
        send(status, headers, body);
    }

    /**
     * Sends a JSON document as {@link #sendDocument(int, List, byte[])} does.
     *
     * @param status HTTP status
     * @param json the JSON text
     * @param more additional header fields
     */
    default void sendJsonDocument(int status, String json, HeaderField... more) {
        List<HeaderField> headers = new ArrayList<>(List.of(more));
        headers.add(HeaderField.of("Content-Type", "application/json"));
        sendDocument(status, headers, json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a complete response with a JSON body.
     *
     * @param status HTTP status
     * @param json the JSON text
     * @param more additional header fields
     */
    default void sendJson(int status, String json, HeaderField... more) {
        List<HeaderField> headers = new ArrayList<>(List.of(more));
        headers.add(HeaderField.of("Content-Type", "application/json"));
        send(status, headers, json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends an error response. Its run state is the default of the error kind.
     *
     * @param kind the error kind, which determines the status
     * @param message the error message
     * @param retryAfterMillis delay after which a retry may succeed, or 0 if not known
     */
    default void sendError(ErrorKind kind, String message, long retryAfterMillis) {
        sendError(kind, kind.runState(), message, retryAfterMillis);
    }

    /**
     * Sends an error response with a run state that differs from the default of the error kind.
     *
     * @param kind the error kind, which determines the status
     * @param ran whether the request was executed
     * @param message the error message
     * @param retryAfterMillis delay after which a retry may succeed, or 0 if not known
     */
    default void sendError(ErrorKind kind, RunState ran, String message, long retryAfterMillis) {
        ObjectNode error = errorJson(kind, ran, message, retryAfterMillis);
        List<HeaderField> more = new ArrayList<>();
        if (kind.isRetryable() || retryAfterMillis > 0) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            more.add(HeaderField.of("Retry-After", Long.toString(Math.max(1, seconds))));
        }
        sendJson(kind.httpStatus(), error.toString(), more.toArray(new HeaderField[0]));
    }

    /**
     * Builds the JSON body of an error response.
     *
     * @param kind the error kind
     * @param ran whether the request was executed
     * @param message the error message
     * @param retryAfterMillis delay after which a retry may succeed, or 0 if not known
     * @return the JSON object
     */
    static ObjectNode errorJson(
            ErrorKind kind, RunState ran, String message, long retryAfterMillis) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ObjectNode error = root.putObject("error");
        error.put("kind", kind.name());
        error.put("message", Ascii.truncate(message, MAX_MESSAGE_CHARS, "..."));
        error.put("ran", ran.wireName());
        if (kind.isRetryable() || retryAfterMillis > 0) {
            error.put("retry_after_ms", Math.max(1, retryAfterMillis));
        }
        return root;
    }
}
