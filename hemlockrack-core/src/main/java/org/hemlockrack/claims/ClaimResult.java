package org.hemlockrack.claims;

import org.hemlockrack.claims.internal.ClaimCodec;
import org.hemlockrack.errors.HemlockrackException;

/** The result of applying a {@link ClaimCommand} to {@link ClaimState}. */
public sealed interface ClaimResult {
    /** The attempt holds the claim and may send the command to a backend server. */
    record Granted() implements ClaimResult {}

    /**
     * An earlier attempt ended the command.
     *
     * @param answer the recorded answer
     */
    record Finished(RecordedAnswer answer) implements ClaimResult {}

    /**
     * Another attempt holds the claim, and its outcome is not known.
     *
     * @param holder the other attempt
     */
    record InProgress(AttemptId holder) implements ClaimResult {}

    /** The key was claimed with another request. */
    record BodyMismatch() implements ClaimResult {}

    /** The limits on the number or size of claims are reached. */
    record Full() implements ClaimResult {}

    /**
     * The attempt was already used or released, its sequence is outside the window of its holder,
     * or it belongs to an earlier incarnation.
     *
     * @param minimumIncarnation lowest incarnation accepted from the holder
     */
    record StaleAttempt(long minimumIncarnation) implements ClaimResult {}

    /** The answer is recorded. */
    record Recorded() implements ClaimResult {}

    /** The attempt does not hold the claim and will never be granted it. */
    record Released() implements ClaimResult {}

    /** The attempt to finish does not hold the claim, or the claim to release has already ended. */
    record NotHeld() implements ClaimResult {}

    /** The command could not be decoded. */
    record Malformed() implements ClaimResult {}

    /**
     * Decodes the bytes that {@link ClaimState#apply} returned.
     *
     * @param bytes the bytes
     * @return the result
     * @throws HemlockrackException with {@link org.hemlockrack.errors.ErrorKind#BAD_REQUEST} if
     *     they are malformed
     */
    static ClaimResult decode(byte[] bytes) {
        return ClaimCodec.decodeResult(bytes);
    }
}
