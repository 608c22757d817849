package org.hemlockrack.burn;

import org.hemlockrack.config.LatencyPromise;

/** One of the times that a workspace is promised. */
public enum Promise {
    FIRST_TOKEN("first token") {
        @Override
        public long limitMillis(LatencyPromise promise) {
            return promise.firstTokenMillis();
        }
    },
    BETWEEN_TOKENS("between tokens") {
        @Override
        public long limitMillis(LatencyPromise promise) {
            return promise.betweenTokensMillis();
        }
    },
    WHOLE_ANSWER("whole answer") {
        @Override
        public long limitMillis(LatencyPromise promise) {
            return promise.wholeAnswerMillis();
        }
    };

    private final String mLabel;

    Promise(String label) {
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
    public abstract long limitMillis(LatencyPromise promise);
}
