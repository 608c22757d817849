package org.hemlockrack.consensus;

/** Kind of a member. The ordinals are part of the wire and file formats. */
public enum MemberKind {
    /** Votes in elections and counts for the commitment of entries. */
    VOTER(true),
    /** Receives the log without voting, until it is promoted on request. */
    LEARNER(false),
    /** Receives the log and replaces its instance's old replica once it has caught up. */
    REPLACEMENT(false);

    private final boolean mVotes;

    MemberKind(boolean votes) {
        mVotes = votes;
    }

    /** Returns whether the member votes in elections and counts for commitment. */
    public boolean canVote() {
        return mVotes;
    }
}
