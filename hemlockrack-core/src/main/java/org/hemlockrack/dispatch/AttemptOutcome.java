package org.hemlockrack.dispatch;

/** How an attempt at a backend server ended, and whether that counts against the server. */
public enum AttemptOutcome {
    /** The server returned a complete, successful answer. */
    SERVED(false, false),
    /** The server answered with an error status. */
    FAILED(true, false),
    /** The answer ended early or was not a valid answer to the request. */
    BROKEN(true, true),
    /** The server sent nothing for much longer than usual. */
    SILENT(true, true),
    /** No connection could be opened. */
    UNREACHABLE(true, true),
    /** The server rejected the request because it is at its capacity. */
    REJECTED(false, false),
    /** Another server answered at the address. */
    MISDIRECTED(true, true),
    /** The caller disconnected or the deadline passed before the server had answered. */
    ABANDONED(false, false);

    private final boolean mFailure;
    private final boolean mSuspends;

    AttemptOutcome(boolean failure, boolean suspends) {
        mFailure = failure;
        mSuspends = suspends;
    }

    /** Returns whether the outcome counts as a failure of the server. */
    public boolean isFailure() {
        return mFailure;
    }

    /** Returns whether one such outcome suspends the server for a short time. */
    public boolean suspendsServer() {
        return mSuspends;
    }

    /** Returns whether the outcome is ignored in the server's failure rate. */
    public boolean isNeutral() {
        return this == REJECTED || this == ABANDONED;
    }

    /** Returns whether the outcome shows that the server can be reached. */
    public boolean isAnswer() {
        return this == SERVED || this == FAILED || this == REJECTED || this == MISDIRECTED;
    }

    /** Returns whether nothing came back, as from a server behind a link that is cut. */
    public boolean isUnanswered() {
        return this == SILENT || this == UNREACHABLE;
    }
}
