package org.hemlockrack.claims;

import java.util.Arrays;
import java.util.List;

/**
 * The outcome of a command as recorded in its claim. Later requests with the same idempotency key
 * get it as a replay.
 *
 * @param outcome how much of the answer is known
 * @param status HTTP status, 0 if not known
 * @param headers header fields to replay
 * @param body the body; must not be modified
 */
public record RecordedAnswer(Outcome outcome, int status, List<Header> headers, byte[] body) {
    private static final byte[] NO_BODY = {};

    /** How much of the answer is known. */
    public enum Outcome {
        /** The whole answer is recorded. */
        COMPLETE,
        /** The command ran; headers and body are not recorded because they exceed a limit. */
        WITHOUT_BODY,
        /** The command may have run. */
        UNKNOWN
    }

    /**
     * An HTTP header field.
     *
     * @param name its name
     * @param value its value
     */
    public record Header(String name, String value) {}

    /** Copies the headers. */
    public RecordedAnswer {
        headers = List.copyOf(headers);
    }

    /**
     * Creates the record of a complete answer.
     *
     * @param status HTTP status
     * @param headers header fields to replay
     * @param body the body
     * @return the answer
     */
    public static RecordedAnswer complete(int status, List<Header> headers, byte[] body) {
        return new RecordedAnswer(Outcome.COMPLETE, status, headers, body);
    }

    /** Returns the record of a command that may have run. */
    public static RecordedAnswer unknown() {
        return new RecordedAnswer(Outcome.UNKNOWN, 0, List.of(), NO_BODY);
    }

    /** Returns this answer without headers and body; unchanged if it is not complete. */
    public RecordedAnswer withoutBody() {
        return outcome == Outcome.COMPLETE
                ? new RecordedAnswer(Outcome.WITHOUT_BODY, status, List.of(), NO_BODY)
                : this;
    }

    /** Returns the size of body, header names and header values. */
    public int sizeBytes() {
        int bytes = body.length;
        for (Header header : headers) {
            bytes += header.name().length() + header.value().length();
        }
        return bytes;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RecordedAnswer that
                && outcome == that.outcome
                && status == that.status
                && headers.equals(that.headers)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * status + headers.hashCode()) + Arrays.hashCode(body);
    }

    @Override
    public String toString() {
        return outcome + " " + status + " with " + body.length + " bytes";
    }
}
