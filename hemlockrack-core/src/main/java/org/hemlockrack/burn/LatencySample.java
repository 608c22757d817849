package org.hemlockrack.burn;

import java.util.OptionalLong;
import org.hemlockrack.config.LatencyObjective;

/**
 * The latencies of one finished request. A latency is empty if the request ended before it could be
 * measured.
 *
 * @param firstTokenMillis time to the first token
 * @param betweenTokensMillis mean time between tokens; empty also for an answer that arrived in one
 *     piece
 * @param wholeAnswerMillis time to the end of the answer
 * @param complete whether the answer was complete; otherwise the request misses the limit for the
 *     whole answer
 */
public record LatencySample(
        OptionalLong firstTokenMillis,
        OptionalLong betweenTokensMillis,
        OptionalLong wholeAnswerMillis,
        boolean complete) {
    /** Returns the sample of a request that was refused or failed before its first token. */
    public static LatencySample failed() {
        return new LatencySample(
                OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty(), false);
    }

    /**
     * Returns whether an indicator applies to the request.
     *
     * @param indicator the indicator
     * @return false for the time between tokens if it was not measured
     */
    public boolean isSubjectTo(LatencyIndicator indicator) {
        return indicator != LatencyIndicator.BETWEEN_TOKENS || betweenTokensMillis.isPresent();
    }

    /**
     * Returns whether the request met its latency objective.
     *
     * @param indicator the latency to compare
     * @param objective the latency objective
     * @return true if the latency was measured and is within its limit; for the whole answer, only
     *     if the answer was complete
     */
    public boolean meets(LatencyIndicator indicator, LatencyObjective objective) {
        OptionalLong time =
                switch (indicator) {
                    case FIRST_TOKEN -> firstTokenMillis;
                    case BETWEEN_TOKENS -> betweenTokensMillis;
                    case WHOLE_ANSWER -> complete ? wholeAnswerMillis : OptionalLong.empty();
                };
        return time.isPresent() && time.getAsLong() <= indicator.limitMillis(objective);
    }
}
