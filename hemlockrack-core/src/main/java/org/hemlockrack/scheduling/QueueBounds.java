package org.hemlockrack.scheduling;

/**
 * Bounds of the waiting requests of one service at one gateway.
 *
 * @param maxRequests maximum number
 * @param maxBytes maximum memory that they hold
 * @param maxWaitNanos longest wait of a request
 */
public record QueueBounds(int maxRequests, long maxBytes, long maxWaitNanos) {}
