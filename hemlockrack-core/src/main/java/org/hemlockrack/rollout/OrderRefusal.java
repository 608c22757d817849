package org.hemlockrack.rollout;

import org.hemlockrack.errors.ErrorKind;

/** Why an owner does not send an order. */
public enum OrderRefusal {
    /** This instance does not own the server, or its lease has ended. */
    NOT_OWNER(ErrorKind.NOT_OWNER),
    /** A newer order is known. */
    STALE(ErrorKind.STALE_FENCE),
    /** The controller in charge did not confirm the order. */
    UNCONFIRMED(ErrorKind.STALE_FENCE);

    private final ErrorKind mKind;

    OrderRefusal(ErrorKind kind) {
        mKind = kind;
    }

    /** Returns the kind of error that the controller is answered with. */
    public ErrorKind errorKind() {
        return mKind;
    }
}
