package org.hemlockrack.admission;

/** State that a backend server reports in its announcements. */
public enum AnnouncedState {
    READY(true),
    LEAVING(false);

    private final boolean mAcceptsRequests;

    AnnouncedState(boolean acceptsRequests) {
        mAcceptsRequests = acceptsRequests;
    }

    /** Returns whether new requests may be dispatched. */
    public boolean acceptsRequests() {
        return mAcceptsRequests;
    }
}
