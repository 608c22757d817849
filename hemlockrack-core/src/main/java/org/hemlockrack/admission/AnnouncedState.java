package org.hemlockrack.admission;

/** State that a backend server reports in its announcements. */
public enum AnnouncedState {
    READY(true),
    LEAVING(false);

    private final boolean mTakesWork;

    AnnouncedState(boolean takesWork) {
        mTakesWork = takesWork;
    }

    /** Returns whether new requests may be dispatched. */
    public boolean acceptsRequests() {
        return mTakesWork;
    }
}
