package org.hemlockrack.claims.internal;

import org.hemlockrack.claims.AttemptId;
import org.hemlockrack.claims.BodyHash;
import org.hemlockrack.claims.RecordedAnswer;
import org.jspecify.annotations.Nullable;

/**
 * One claim.
 *
 * @param bodyHash hash of the request
 * @param attempt attempt that holds or held it
 * @param stampMillis leader time of the last change
 * @param answer what was recorded, null while the claim is open
 */
public record Claim(
        BodyHash bodyHash, AttemptId attempt, long stampMillis, @Nullable RecordedAnswer answer) {
    /** Returns whether the command has not ended. */
    public boolean open() {
        return answer == null;
    }

    /** Returns the bytes of the recorded answer. */
    public int answerBytes() {
        return answer == null ? 0 : answer.sizeBytes();
    }
}
