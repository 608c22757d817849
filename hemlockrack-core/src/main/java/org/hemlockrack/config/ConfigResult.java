package org.hemlockrack.config;

import java.util.List;
import org.hemlockrack.config.internal.ConfigCodec;
import org.hemlockrack.errors.HemlockrackException;

/**
 * The answer to a configuration command.
 *
 * @param outcome how it ended
 * @param version version in force after it
 * @param message reason of a refusal, empty otherwise
 * @param errors faults of the document, at most {@link #MAX_FAULTS}
 * @param totalErrors number of all faults
 */
public record ConfigResult(
        ConfigOutcome outcome,
        long version,
        String message,
        List<ValidationError> errors,
        int totalErrors) {
    /** Most faults in one result; a dry run on any instance names all of them. */
    public static final int MAX_FAULTS = 1000;

    private static final int MAX_MESSAGE_CHARS = 1000;

    /** Copies the list and shortens a long message. */
    public ConfigResult {
        message = message.substring(0, Math.min(MAX_MESSAGE_CHARS, message.length()));
        errors = List.copyOf(errors);
    }

    /**
     * Creates a result without faults.
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
     * Creates the result of a command whose document has faults.
     *
     * @param version version in force
     * @param faults all faults
     * @return the result
     */
    public static ConfigResult invalid(long version, List<ValidationError> faults) {
        List<ValidationError> kept = faults.subList(0, Math.min(MAX_FAULTS, faults.size()));
        return new ConfigResult(ConfigOutcome.INVALID, version, "", kept, faults.size());
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

    /** Returns whether the command made a new version. */
    public boolean isAccepted() {
        return outcome == ConfigOutcome.ACCEPTED;
    }
}
