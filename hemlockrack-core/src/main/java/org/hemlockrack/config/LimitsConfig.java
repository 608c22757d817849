package org.hemlockrack.config;

/**
 * Limits of every instance and of the replicated claims.
 *
 * @param maxBodyBytes largest request body
 * @param maxHeaderBytes largest request head
 * @param maxConnections most connections of callers
 * @param idleTimeoutMillis time after which an idle connection is closed
 * @param requestTimeoutMillis longest time a request may run
 * @param maxQueuedRequests most queued requests of a backend server
 * @param maxQueuedBytes most bytes of queued requests of a backend server
 * @param claimExpiryMillis time for which a claim is kept
 * @param maxClaims most claims
 * @param maxClaimBytes most bytes of all claims
 * @param maxClaimAnswerBytes largest answer body recorded with a claim
 */
public record LimitsConfig(
        int maxBodyBytes,
        int maxHeaderBytes,
        int maxConnections,
        long idleTimeoutMillis,
        long requestTimeoutMillis,
        int maxQueuedRequests,
        long maxQueuedBytes,
        long claimExpiryMillis,
        int maxClaims,
        long maxClaimBytes,
        int maxClaimAnswerBytes) {}
