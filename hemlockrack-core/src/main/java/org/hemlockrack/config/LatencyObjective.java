package org.hemlockrack.config;

/**
 * Latency objective (SLO) of a workspace; table {@code promise} of the configuration.
 *
 * @param firstTokenMillis time to the first token
 * @param betweenTokensMillis time between tokens
 * @param wholeAnswerMillis time to the end of the answer
 * @param targetShare share of requests that must meet the times
 */
public record LatencyObjective(
        long firstTokenMillis,
        long betweenTokensMillis,
        long wholeAnswerMillis,
        double targetShare) {}
