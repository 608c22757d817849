package org.hemlockrack.consensus;

/** What a member may do. The ordinals are part of the wire and file form. */
public enum MemberKind {
    /** Votes and counts for commits. */
    VOTER(true),
    /** Receives the log only, until an operator promotes it. */
    LEARNER(false),
    /** Receives the log and takes the place of its instance's old replica after catch-up. */
    REPLACEMENT(false);

    private final boolean mVotes;

    MemberKind(boolean votes) {
        mVotes = votes;
    }

    /** Returns whether the member counts for elections and commits. */
    public boolean canVote() {
        return mVotes;
    }
}
