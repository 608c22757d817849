package org.hemlockrack.claims;

import java.util.Optional;
import org.hemlockrack.claims.internal.ClaimCodec;

/** A command for {@link ClaimState}. */
public sealed interface ClaimCommand {
    /** Returns the key. */
    ClaimKey key();

    /** Returns the attempt that sends the command. */
    AttemptId attempt();

    /** Returns the lowest sequence of the holder whose claim may still be granted. */
    long lowestPending();

    /** Returns the bytes to propose to the replicated log. */
    default byte[] encode() {
        return ClaimCodec.encodeCommand(this);
    }

    /**
     * Claims a key.
     *
     * @param key the key
     * @param attempt a new attempt
     * @param lowestPending at most the sequence of the attempt
     * @param bodyHash hash of the request
     * @param takeOverFrom an attempt whose holder said that it abandoned it; its open claim is
     *     taken over
     */
    record Claim(
            ClaimKey key,
            AttemptId attempt,
            long lowestPending,
            BodyHash bodyHash,
            Optional<AttemptId> takeOverFrom)
            implements ClaimCommand {}

    /**
     * Records the end of the command.
     *
     * @param key the key
     * @param attempt the attempt that holds the claim
     * @param lowestPending lowest sequence that may still be granted
     * @param answer the answer
     */
    record Finish(ClaimKey key, AttemptId attempt, long lowestPending, RecordedAnswer answer)
            implements ClaimCommand {}

    /**
     * Gives up an attempt that never dispatched and never will. If the claim of the attempt has not
     * been applied yet, it will not be granted.
     *
     * @param key the key
     * @param attempt the attempt
     * @param lowestPending lowest sequence that may still be granted
     */
    record Release(ClaimKey key, AttemptId attempt, long lowestPending) implements ClaimCommand {}
}
