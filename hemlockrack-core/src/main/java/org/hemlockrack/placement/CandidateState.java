package org.hemlockrack.placement;

/** State of a backend server that determines whether it receives new requests. */
public enum CandidateState {
    READY(true),
    /** Shutting down: finishes its requests and accepts no new ones. */
    LEAVING(false),
    /** Does not respond; it keeps its position in the ranking for its return. */
    NOT_LIVE(false);

    private final boolean mAcceptsRequests;

    CandidateState(boolean acceptsRequests) {
        mAcceptsRequests = acceptsRequests;
    }

    /** Returns whether a server in this state may receive new requests. */
    public boolean acceptsRequests() {
        return mAcceptsRequests;
    }
}
