package org.hemlockrack.rollout;

import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.rollout.internal.RolloutCodec;

/**
 * The answer of {@link RolloutState} to a command.
 *
 * @param outcome the outcome
 * @param number the id of the roll-out; for {@link RolloutCommand.AcquireAuthority} the authority
 * @param message what was refused and why; empty if accepted
 */
public record RolloutResult(RolloutOutcome outcome, long number, String message) {
    /**
     * Decodes the bytes that {@link RolloutState#apply} returned.
     *
     * @param bytes the bytes
     * @return the result
     * @throws HemlockrackException with {@link org.hemlockrack.errors.ErrorKind#BAD_REQUEST} if
     *     they are malformed
     */
    public static RolloutResult decode(byte[] bytes) {
        return RolloutCodec.decodeResult(bytes);
    }
}
