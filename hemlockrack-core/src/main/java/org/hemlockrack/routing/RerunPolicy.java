package org.hemlockrack.routing;

/** What of a route's requests may be run more than once. */
public enum RerunPolicy {
    /** A request may run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean allowsRerun(boolean resumable) {
            return true;
        }
    },
    /** A request runs once at most. */
    AT_MOST_ONCE {
        @Override
        public boolean allowsRerun(boolean resumable) {
            return false;
        }
    },
    /** The answer is a stream of events; only a resumable one may run again. */
    STREAM {
        @Override
        public boolean allowsRerun(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Returns whether a request that may have run can be sent again.
     *
     * @param resumable whether the route's streams can be resumed
     * @return true if it can
     */
    public abstract boolean allowsRerun(boolean resumable);
}
