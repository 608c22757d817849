package org.hemlockrack.burn;

import org.hemlockrack.config.LatencyObjective;

/** A latency that the objective of a workspace limits; reports call it {@code promise}. */
public enum LatencyIndicator {
    FIRST_TOKEN("first token") {
        @Override
        public long limitMillis(LatencyObjective objective) {
            return objective.firstTokenMillis();
        }
    },
    BETWEEN_TOKENS("between tokens") {
        @Override
        public long limitMillis(LatencyObjective objective) {
            return objective.betweenTokensMillis();
        }
    },
    WHOLE_ANSWER("whole answer") {
        @Override
        public long limitMillis(LatencyObjective objective) {
            return objective.wholeAnswerMillis();
        }
    };

    private final String mLabel;

    LatencyIndicator(String label) {
        mLabel = label;
    }

    /** Returns the name shown in reports. */
    public String label() {
        return mLabel;
    }

    /**
     * Returns the limit that an objective sets for this indicator.
     *
     * @param objective the latency objective of the workspace
     * @return the limit in milliseconds
     */
    public abstract long limitMillis(LatencyObjective objective);
}
