package org.hemlockrack.claims;

import org.hemlockrack.config.LimitsConfig;

/**
 * Limits of the replicated claims.
 *
 * @param expiryMillis how long a claim is kept after its last change, by leader time
 * @param maxClaims maximum number of claims
 * @param maxBytes maximum size of all claims and recorded answers
 * @param maxAnswerBytes maximum size of one recorded answer
 */
public record ClaimLimits(long expiryMillis, int maxClaims, long maxBytes, int maxAnswerBytes) {
    /**
     * Extracts the claim limits from a configuration.
     *
     * @param limits all limits of the configuration
     * @return the limits of claims
     */
    public static ClaimLimits of(LimitsConfig limits) {
        return new ClaimLimits(
                limits.claimExpiryMillis(),
                limits.maxClaims(),
                limits.maxClaimBytes(),
                limits.maxClaimAnswerBytes());
    }
}
