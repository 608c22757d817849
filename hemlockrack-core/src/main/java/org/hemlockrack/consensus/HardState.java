package org.hemlockrack.consensus;

/**
 * The Raft hard state of a replica, which must be durable before a vote or reply that depends on it
 * is sent.
 *
 * @param replicaId random id of the data folder, never 0
 * @param term current term
 * @param vote replica id voted for in the term, or 0
 */
public record HardState(long replicaId, long term, long vote) {
    /**
     * Returns the initial state of a new data folder.
     *
     * @param replicaId the random id
     * @return the state
     */
    public static HardState fresh(long replicaId) {
        return new HardState(replicaId, 0, 0);
    }

    /**
     * Returns the state in another term.
     *
     * @param newTerm the term
     * @param newVote the vote in that term, or 0
     * @return the new state
     */
    public HardState inTerm(long newTerm, long newVote) {
        return new HardState(replicaId, newTerm, newVote);
    }
}
