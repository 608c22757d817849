package org.hemlockrack.routing;

/** Whether requests of a route may run again after an attempt that may have taken effect. */
public enum RerunPolicy {
    /** Requests may run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean allowsRerun(boolean resumable) {
            return true;
        }
    },
    /** Requests must not run more than once. */
    AT_MOST_ONCE {
        @Override
        public boolean allowsRerun(boolean resumable) {
            return false;
        }
    },
    /** Answers are event streams; a request may run again if its stream can be resumed. */
    STREAM {
        @Override
        public boolean allowsRerun(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Returns whether a request may be sent again after an attempt that may have run.
     *
     * @param resumable whether streams of the route can be resumed
     * @return true if the request may be sent again
     */
    public abstract boolean allowsRerun(boolean resumable);
}
