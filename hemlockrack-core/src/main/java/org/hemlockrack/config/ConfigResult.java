package org.hemlockrack.config;

import java.util.List;
import org.hemlockrack.config.internal.ConfigCodec;
import org.hemlockrack.errors.HemlockrackException;

/**
 * The answer to a configuration command.
 *
 * @param outcome how the command ended
 * @param version version in force after the command
 * @param message reason of a refusal, empty otherwise
 * @param errors errors in the document, at most {@link #MAX_ERRORS}
 * @param totalErrors number of all errors in the document
 */
public record ConfigResult(
        ConfigOutcome outcome,
        long version,
        String message,
        List<ValidationError> errors,
        int totalErrors) {
    /** Most errors in one result; a dry run on any instance returns all of them. */
    public static final int MAX_ERRORS = 1000;

    private static final int MAX_MESSAGE_CHARS = 1000;

    /** Copies the list and shortens a long message. */
    public ConfigResult {
        message = message.substring(0, Math.min(MAX_MESSAGE_CHARS, message.length()));
        errors = List.copyOf(errors);
    }

    /**
     * Creates a result without validation errors.
     *
     * @param outcome how the command ended
     * @param version version in force
     * @param message reason of a refusal
     * @return the result
     */
    public static ConfigResult of(ConfigOutcome outcome, long version, String message) {
        return new ConfigResult(outcome, version, message, List.of(), 0);
    }

    /**
     * Creates the result of a command that would make the document invalid.
     *
     * @param version version in force
     * @param errors all errors in the document
     * @return the result
     */
    public static ConfigResult invalid(long version, List<ValidationError> errors) {
        List<ValidationError> reported = errors.subList(0, Math.min(MAX_ERRORS, errors.size()));
        return new ConfigResult(ConfigOutcome.INVALID, version, "", reported, errors.size());
    }

    /**
     * Decodes the bytes that {@link ConfigState#apply} returned.
     *
     * @param bytes the bytes
     * @return the result
     * @throws HemlockrackException with {@link org.hemlockrack.errors.ErrorKind#BAD_REQUEST} if
     *     they are malformed
     */
    public static ConfigResult decode(byte[] bytes) {
        return ConfigCodec.decodeResult(bytes);
    }

    /** Returns whether the command created a new version. */
    public boolean isAccepted() {
        return outcome == ConfigOutcome.ACCEPTED;
    }
}
