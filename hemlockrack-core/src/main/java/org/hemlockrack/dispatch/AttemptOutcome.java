package org.hemlockrack.dispatch;

/** How an attempt at a backend server ended, and what it says about the server. */
public enum AttemptOutcome {
    /** A complete, successful answer. */
    SERVED(false, false),
    /** The server answered with a failure. */
    FAILED(true, false),
    /** The answer was broken off or was not a valid answer to the request. */
    BROKEN(true, true),
    /** Nothing came from the server for much longer than usual. */
    SILENT(true, true),
    /** No connection could be opened. */
    UNREACHABLE(true, true),
    /** The server refused because it is full. */
    REJECTED(false, false),
    /** The server at the address is another one. */
    MISDIRECTED(true, true),
    /** The caller left, or time ran out, before the server had answered. */
    ABANDONED(false, false);

    private final boolean mFailure;
    private final boolean mSuspends;

    AttemptOutcome(boolean failure, boolean suspends) {
        mFailure = failure;
        mSuspends = suspends;
    }

    /** Returns whether the outcome counts against the server. */
    public boolean isFailure() {
        return mFailure;
    }

    /** Returns whether the server is left out for a short time at once. */
    public boolean suspendsServer() {
        return mSuspends;
    }

    /** Returns whether the outcome tells nothing about the server's health. */
    public boolean isNeutral() {
        return this == REJECTED || this == ABANDONED;
    }
}
