package org.hemlockrack.burn;

import org.hemlockrack.config.LatencyObjective;

/** One of the times that a workspace is promised. */
public enum LatencyIndicator {
    FIRST_TOKEN("first token") {
        @Override
        public long limitMillis(LatencyObjective promise) {
            return promise.firstTokenMillis();
        }
    },
    BETWEEN_TOKENS("between tokens") {
        @Override
        public long limitMillis(LatencyObjective promise) {
            return promise.betweenTokensMillis();
        }
    },
    WHOLE_ANSWER("whole answer") {
        @Override
        public long limitMillis(LatencyObjective promise) {
            return promise.wholeAnswerMillis();
        }
    };

    private final String mLabel;

    LatencyIndicator(String label) {
        mLabel = label;
    }

    /** Returns the name in reports. */
    public String label() {
        return mLabel;
    }

    /**
     * Returns the promised time.
     *
     * @param promise the latency objective of the workspace
     * @return the time in milliseconds
     */
    public abstract long limitMillis(LatencyObjective promise);
}
