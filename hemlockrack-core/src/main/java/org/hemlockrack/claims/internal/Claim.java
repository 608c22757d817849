package org.hemlockrack.claims.internal;

import org.hemlockrack.claims.AttemptId;
import org.hemlockrack.claims.BodyHash;
import org.hemlockrack.claims.RecordedAnswer;
import org.jspecify.annotations.Nullable;

/**
 * The claim on one idempotency key.
 *
 * @param bodyHash hash of the request
 * @param attempt attempt that holds the claim, or held it until the command ended
 * @param lastChangeMillis leader time at which the claim was granted or finished
 * @param answer the recorded answer, null while the claim is open
 */
public record Claim(
        BodyHash bodyHash,
        AttemptId attempt,
        long lastChangeMillis,
        @Nullable RecordedAnswer answer) {
    /** Returns whether no answer is recorded yet. */
    public boolean isOpen() {
        return answer == null;
    }

    /** Returns the size of the recorded answer, 0 while the claim is open. */
    public int answerBytes() {
        return answer == null ? 0 : answer.sizeBytes();
    }
}
