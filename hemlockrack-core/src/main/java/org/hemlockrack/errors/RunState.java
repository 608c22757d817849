package org.hemlockrack.errors;

/** Whether a refused or failed request took effect on a backend server. */
public enum RunState {
    /** No byte of the request reached a backend server. */
    NOT_RUN("not_run"),
    /** The backend server completed the request. */
    RAN("ran"),
    /** The request may or may not have taken effect. */
    UNKNOWN("unknown");

    private final String mWireName;

    RunState(String wireName) {
        mWireName = wireName;
    }

    /** Returns the name used in JSON answers. */
    public String wireName() {
        return mWireName;
    }
}
