package org.hemlockrack.admission;

/** What a backend server says about itself in an announcement. */
public enum AnnouncedState {
    READY(true),
    LEAVING(false);

    private final boolean mTakesWork;

    AnnouncedState(boolean takesWork) {
        mTakesWork = takesWork;
    }

    /** Returns whether new work may be dispatched. */
    public boolean takesWork() {
        return mTakesWork;
    }
}
