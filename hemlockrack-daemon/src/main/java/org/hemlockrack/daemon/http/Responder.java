package org.hemlockrack.daemon.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;

/** Takes the answer to one request. Safe for use from any thread. */
public interface Responder {
    /** Content length of an answer whose length is not known in advance. */
    long UNKNOWN_LENGTH = -1;

    /** Sub-second waits round up to this, because Retry-After counts whole seconds. */
    long MILLIS_PER_SECOND = 1_000;

    /**
     * Sends the head. Called once, before any body.
     *
     * @param status HTTP status
     * @param headers header fields; hop-by-hop fields are dropped
     * @param lengthBytes body length in bytes, or {@link #UNKNOWN_LENGTH}
     */
    void sendHead(int status, List<HeaderField> headers, long lengthBytes);

    /**
     * Queues body bytes; they are copied.
     *
     * @param data the bytes
     * @return number of bytes now queued and not yet written to the connection
     */
    int write(ByteBuffer data);

    /** Returns the bytes that are queued and not yet written to the connection. */
    int queuedBytes();

    /** Completes the answer. */
    void end();

    /** Closes the connection without completing the answer, so that the caller sees it is cut. */
    void abort();

    /**
     * Sets what runs when the caller has gone before the answer was complete.
     *
     * @param action the action; runs at once if the caller has gone already
     */
    void onCancel(Runnable action);

    /**
     * Sets what runs each time queued bytes were written to the connection.
     *
     * @param action takes the number of bytes written
     */
    void onDrain(DrainListener action);

    /** Listens for progress of the connection. */
    @FunctionalInterface
    interface DrainListener {
        /**
         * Called after bytes were written.
         *
         * @param bytes how many
         */
        void onDrained(int bytes);
    }

    /**
     * Sends a whole answer.
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
     * Sends a JSON answer.
     *
     * @param status HTTP status
     * @param json the JSON text
     * @param more further header fields
     */
    default void sendJson(int status, String json, HeaderField... more) {
        List<HeaderField> headers = new ArrayList<>(List.of(more));
        headers.add(HeaderField.of("Content-Type", "application/json"));
        send(status, headers, json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends the answer of an error kind.
     *
     * @param kind the kind
     * @param message what was found
     * @param retryAfterMillis when a retry helps, or 0
     */
    default void sendError(ErrorKind kind, String message, long retryAfterMillis) {
        sendError(kind, kind.runState(), message, retryAfterMillis);
    }

    /**
     * Sends the answer of an error kind with a run state that is known better than the kind says.
     *
     * @param kind the kind
     * @param ran whether the request took effect
     * @param message what was found
     * @param retryAfterMillis when a retry helps, or 0
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
     * Builds the JSON object of a refusal.
     *
     * @param kind the kind
     * @param ran whether the request took effect
     * @param message what was found
     * @param retryAfterMillis when a retry helps, or 0
     * @return the object
     */
    static ObjectNode errorJson(
            ErrorKind kind, RunState ran, String message, long retryAfterMillis) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ObjectNode error = root.putObject("error");
        error.put("kind", kind.name());
        error.put("message", message);
        error.put("ran", ran.wireName());
        if (kind.isRetryable() || retryAfterMillis > 0) {
            error.put("retry_after_ms", Math.max(1, retryAfterMillis));
        }
        return root;
    }
}
