package org.hemlockrack.claims;

import org.hemlockrack.claims.internal.ClaimCodec;
import org.hemlockrack.errors.HemlockrackException;

/** The answer of {@link ClaimState} to a command. */
public sealed interface ClaimResult {
    /** The attempt holds the claim and may dispatch. */
    record Granted() implements ClaimResult {}

    /**
     * The command ended before.
     *
     * @param answer what was recorded
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

    /** No more claims can be kept at present. */
    record Full() implements ClaimResult {}

    /**
     * The attempt was used or given up before, or belongs to an earlier incarnation.
     *
     * @param minimumIncarnation lowest incarnation accepted from the holder
     */
    record StaleAttempt(long minimumIncarnation) implements ClaimResult {}

    /** The answer is recorded. */
    record Recorded() implements ClaimResult {}

    /** The attempt no longer holds the claim and never will. */
    record Released() implements ClaimResult {}

    /** The attempt to be finished does not hold the claim. */
    record NotHeld() implements ClaimResult {}

    /** The command could not be read. */
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
