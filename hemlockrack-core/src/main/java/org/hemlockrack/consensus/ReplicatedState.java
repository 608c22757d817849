package org.hemlockrack.consensus;

/**
 * A state machine fed by the replicated log. It must be deterministic: every voter applies the same
 * commands with the same arguments in the same order.
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
     * Returns what applying a command again after a restart costs, in units of a cheap command. A
     * snapshot is due once the commands since the last one reach the snapshot interval in cost.
     *
     * @param command the command
     * @return the cost, at least 1
     */
    default int replayCost(byte[] command) {
        return 1;
    }

    /** Returns the whole state as bytes that {@link #restore} reads. */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @param snapshot bytes from {@link #snapshot}
     */
    void restore(byte[] snapshot);
}
