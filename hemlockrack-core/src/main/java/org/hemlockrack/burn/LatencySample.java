package org.hemlockrack.burn;

import java.util.OptionalLong;
import org.hemlockrack.config.LatencyObjective;

/**
 * The times of one finished request. A time is empty if the request never got so far.
 *
 * @param firstTokenMillis time to the first token
 * @param betweenTokensMillis longest mean time between tokens; empty also for an answer of one
 *     piece
 * @param wholeAnswerMillis time to the end of the answer
 * @param complete whether the answer was complete; otherwise every missing time is a miss
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
     * Returns whether a promise applies to the request.
     *
     * @param promise the promise
     * @return false for the time between tokens of a request without one
     */
    public boolean counts(LatencyIndicator promise) {
        return promise != LatencyIndicator.BETWEEN_TOKENS || betweenTokensMillis.isPresent();
    }

    /**
     * Returns whether a promise was kept.
     *
     * @param promise the promise
     * @param limits the promised times
     * @return true if the time is known and within its limit, and for the whole answer if the
     *     answer was complete
     */
    public boolean kept(LatencyIndicator promise, LatencyObjective limits) {
        OptionalLong time =
                switch (promise) {
                    case FIRST_TOKEN -> firstTokenMillis;
                    case BETWEEN_TOKENS -> betweenTokensMillis;
                    case WHOLE_ANSWER -> complete ? wholeAnswerMillis : OptionalLong.empty();
                };
        return time.isPresent() && time.getAsLong() <= promise.limitMillis(limits);
    }
}
