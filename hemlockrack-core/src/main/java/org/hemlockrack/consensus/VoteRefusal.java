package org.hemlockrack.consensus;

/** Why a replica did not grant a pre-vote or a vote. */
public enum VoteRefusal {
    /** It leads, or heard of a leader within the election timeout. */
    LEADER_KNOWN,
    /** The term of the request is not newer than its own. */
    TERM_OUTDATED,
    /** It has voted for another candidate in this term. */
    VOTE_GIVEN,
    /** The log of the candidate lacks entries that it has itself. */
    LOG_BEHIND
}
