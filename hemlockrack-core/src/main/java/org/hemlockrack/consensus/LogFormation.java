package org.hemlockrack.consensus;

/**
 * When replicas without data may form a new log. An enum of rules, because a replica whose data was
 * lost looks the same as one that starts for the first time.
 */
public enum LogFormation {
    /** The replica only joins a log, because its earlier data may belong to one. */
    NEVER {
        @Override
        public int requiredReplicas(int listed) {
            return Integer.MAX_VALUE;
        }
    },
    /**
     * All listed replicas must report that they have no data, because any of them may have lost it.
     */
    WITH_ALL {
        @Override
        public int requiredReplicas(int listed) {
            return listed;
        }
    },
    /** A majority suffices, because the replica is known to start for the first time. */
    WITH_MAJORITY {
        @Override
        public int requiredReplicas(int listed) {
            return listed / 2 + 1;
        }
    };

    /**
     * Returns how many replicas without data, this one included, must take part.
     *
     * @param listed number of listed replicas
     * @return the number of replicas
     */
    public abstract int requiredReplicas(int listed);
}
