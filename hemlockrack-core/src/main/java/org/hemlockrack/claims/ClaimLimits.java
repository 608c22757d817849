package org.hemlockrack.claims;

import org.hemlockrack.config.LimitsConfig;

/**
 * Bounds of the replicated claims.
 *
 * @param expiryMillis time for which a claim is kept after its last change, by leader time
 * @param maxClaims most claims
 * @param maxBytes most bytes of all claims
 * @param maxAnswerBytes most bytes of one recorded answer
 */
public record ClaimLimits(long expiryMillis, int maxClaims, long maxBytes, int maxAnswerBytes) {
    /**
     * Takes the limits from a configuration.
     *
     * @param limits limits of the configuration
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
