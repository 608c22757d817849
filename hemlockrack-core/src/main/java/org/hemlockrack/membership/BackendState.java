package org.hemlockrack.membership;

/** State of a backend server as its owner states it. */
public enum BackendState {
    READY,
    /** Finishes its work and takes no new work. */
    LEAVING,
    GONE;

    /** Returns whether new work may be sent. */
    public boolean takesWork() {
        return this == READY;
    }
}
