package org.hemlockrack.placement;

/** State of a backend server as far as new work is concerned. */
public enum CandidateState {
    READY(true),
    /** Finishes its work and takes no more (R8). */
    LEAVING(false),
    /** Does not answer; it keeps its place in the ranking. */
    NOT_LIVE(false);

    private final boolean mTakesWork;

    CandidateState(boolean takesWork) {
        mTakesWork = takesWork;
    }

    /** Returns whether a server in this state may receive new work. */
    public boolean takesWork() {
        return mTakesWork;
    }
}
