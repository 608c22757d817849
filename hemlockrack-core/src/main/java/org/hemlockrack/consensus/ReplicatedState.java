package org.hemlockrack.consensus;

/**
 * A state machine that applies the commands of the replicated log. It must be deterministic: every
 * voter applies the same commands with the same arguments in the same order.
 */
public interface ReplicatedState {
    /**
     * Applies one committed command.
     *
     * @param index log index of the command
     * @param leaderTimeMillis wall-clock time that the leader stamped into the entry, in
     *     milliseconds since the epoch; it never decreases along the log
     * @param command the command
     * @return the result for the proposer
     */
    byte[] apply(long index, long leaderTimeMillis, byte[] command);

    /**
     * Returns the cost of replaying a command after a restart, in units of a cheap command. A new
     * snapshot is due once the cost of the commands since the last one reaches the snapshot
     * interval.
     *
     * @param command the command
     * @return the cost, at least 1
     */
    default int replayCost(byte[] command) {
        return 1;
    }

    /** Returns the whole state, encoded for {@link #restore}. */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @param snapshot bytes from {@link #snapshot}
     */
    void restore(byte[] snapshot);
}
