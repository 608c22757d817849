package org.hemlockrack.claims;

import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;

/**
 * Identifies one attempt to claim an idempotency key; never reused.
 *
 * @param holder instance that makes the attempt
 * @param incarnation identifies the process of the holder, increasing over its restarts, not
 *     negative
 * @param sequence number of the attempt within the incarnation, not negative
 */
public record AttemptId(InstanceId holder, long incarnation, long sequence) {
    private static final String SEPARATOR = "#";

    /** Rejects negative numbers. */
    public AttemptId {
        if (incarnation < 0 || sequence < 0) {
            throw malformed(holder + SEPARATOR + incarnation + SEPARATOR + sequence);
        }
    }

    /**
     * Parses the text form.
     *
     * @param text holder, incarnation and sequence, separated by {@code #}
     * @return the attempt
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if the text has another form
     */
    public static AttemptId parse(String text) {
        String[] parts = text.split(SEPARATOR, -1);
        if (parts.length != 3) {
            throw malformed(text);
        }
        try {
            long incarnation = Long.parseLong(parts[1]);
            return new AttemptId(InstanceId.of(parts[0]), incarnation, Long.parseLong(parts[2]));
        } catch (NumberFormatException e) {
            throw malformed(text);
        }
    }

    /** Returns the text form. */
    @Override
    public String toString() {
        return holder + SEPARATOR + incarnation + SEPARATOR + sequence;
    }

    private static HemlockrackException malformed(String text) {
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST, String.format(ErrorText.STRUCT_MALFORMED, "attempt", text));
    }
}
