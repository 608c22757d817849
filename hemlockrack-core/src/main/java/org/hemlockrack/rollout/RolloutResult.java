package org.hemlockrack.rollout;

import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.rollout.internal.RolloutCodec;

/**
 * Result of a command that {@link RolloutState} applied or refused.
 *
 * @param outcome the outcome
 * @param number the id of the roll-out; for {@link RolloutCommand.AcquireAuthority} the authority
 *     number
 * @param message description of a refusal; empty if accepted
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
