package org.hemlockrack.membership;

/** State of a backend server as published by its owner. */
public enum BackendState {
    READY,
    /** Finishes its requests in flight and accepts no new work. */
    LEAVING,
    GONE;

    /** Returns whether new work may be sent to the server. */
    public boolean acceptsRequests() {
        return this == READY;
    }
}
