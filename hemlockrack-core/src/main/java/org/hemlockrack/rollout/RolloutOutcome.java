package org.hemlockrack.rollout;

import org.hemlockrack.errors.ErrorKind;

/** Outcome of a roll-out command. */
public enum RolloutOutcome {
    ACCEPTED(ErrorKind.INTERNAL),
    /** Another roll-out of the service and model is running. */
    RUNNING_ALREADY(ErrorKind.VERSION_CONFLICT),
    /** No such roll-out is running. */
    NOT_RUNNING(ErrorKind.NOT_FOUND),
    /** Another controller has acquired a newer authority number. */
    STALE_AUTHORITY(ErrorKind.STALE_FENCE),
    /** The roll-out is at another stage. */
    STALE_STAGE(ErrorKind.VERSION_CONFLICT),
    /** The report was counted before. */
    DUPLICATE(ErrorKind.VERSION_CONFLICT),
    /** The command is well-formed but not allowed. */
    INVALID(ErrorKind.BAD_REQUEST),
    /** The command could not be decoded. */
    MALFORMED(ErrorKind.BAD_REQUEST),
    /** The request id was used with another command. */
    REQUEST_ID_REUSED(ErrorKind.BAD_REQUEST),
    /** The maximum number of roll-outs is running. */
    FULL(ErrorKind.RATE_LIMITED);

    private final ErrorKind mKind;

    RolloutOutcome(ErrorKind kind) {
        mKind = kind;
    }

    /** Returns whether the command took effect. */
    public boolean isAccepted() {
        return this == ACCEPTED;
    }

    /** Returns the kind of error with which a refusal is reported. */
    public ErrorKind errorKind() {
        return mKind;
    }
}
