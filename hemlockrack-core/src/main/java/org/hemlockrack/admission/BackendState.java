package org.hemlockrack.admission;

/** What a backend server says about itself in an announcement. */
public enum BackendState {
    READY(true),
    LEAVING(false);

    private final boolean mTakesWork;

    BackendState(boolean takesWork) {
        mTakesWork = takesWork;
    }

    /** Returns whether new work may be dispatched. */
    public boolean takesWork() {
        return mTakesWork;
    }
}
