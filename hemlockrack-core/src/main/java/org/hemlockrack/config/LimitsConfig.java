package org.hemlockrack.config;

/**
 * Limits of every instance and of the replicated claims, which record commands by their idempotency
 * keys.
 *
 * @param maxBodyBytes largest request body
 * @param maxHeaderBytes largest request head: request line and header fields
 * @param maxConnections most connections from clients
 * @param idleTimeoutMillis time after which an idle connection is closed
 * @param requestTimeoutMillis longest time a request may run
 * @param maxQueuedRequests most queued requests of a backend server
 * @param maxQueuedBytes most bytes of queued requests of a backend server
 * @param claimExpiryMillis time after its last change at which a claim expires
 * @param maxClaims most claims at a time
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
