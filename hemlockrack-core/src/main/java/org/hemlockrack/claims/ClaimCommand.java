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
     * @param lowestPending lowest sequence of the holder that may still be granted; not above the
     *     sequence of the attempt
     * @param bodyHash hash of the request
     * @param takeOverFrom an attempt that its holder confirmed as abandoned; if it still holds an
     *     open claim on the key, the new attempt replaces it
     */
    record Claim(
            ClaimKey key,
            AttemptId attempt,
            long lowestPending,
            BodyHash bodyHash,
            Optional<AttemptId> takeOverFrom)
            implements ClaimCommand {}

    /**
     * Records the outcome of the command.
     *
     * @param key the key
     * @param attempt the attempt that holds the claim
     * @param lowestPending lowest sequence of the holder that may still be granted
     * @param answer the outcome
     */
    record Finish(ClaimKey key, AttemptId attempt, long lowestPending, RecordedAnswer answer)
            implements ClaimCommand {}

    /**
     * Releases the claim of an attempt that was not dispatched and never will be. If the claim has
     * not been applied yet, it will not be granted.
     *
     * @param key the key
     * @param attempt the attempt
     * @param lowestPending lowest sequence of the holder that may still be granted
     */
    record Release(ClaimKey key, AttemptId attempt, long lowestPending) implements ClaimCommand {}
}
