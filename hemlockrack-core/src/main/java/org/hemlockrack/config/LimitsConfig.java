package org.hemlockrack.config;

/**
 * Limits of every instance and of the replicated claims.
 *
 * @param bodyBytes largest request body
 * @param headerBytes largest request head
 * @param connections most connections of callers
 * @param idleMillis time after which an idle connection is closed
 * @param requestMillis longest time a request may run
 * @param queueRequests most queued requests of a backend server
 * @param queueBytes most bytes of queued requests of a backend server
 * @param claimExpiryMillis time for which a claim is kept
 * @param claims most claims
 * @param claimBytes most bytes of all claims
 * @param claimAnswerBytes largest answer body recorded with a claim
 */
public record LimitsConfig(
        int bodyBytes,
        int headerBytes,
        int connections,
        long idleMillis,
        long requestMillis,
        int queueRequests,
        long queueBytes,
        long claimExpiryMillis,
        int claims,
        long claimBytes,
        int claimAnswerBytes) {}
