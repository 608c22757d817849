package org.hemlockrack.rollout;

import org.hemlockrack.errors.ErrorKind;

/** Reason why an instance did not send an order to the backend server. */
public enum OrderRefusal {
    /** This instance does not own the server, or its lease has ended. */
    NOT_OWNER(ErrorKind.NOT_OWNER),
    /** A newer order for the server is known. */
    STALE(ErrorKind.STALE_FENCE),
    /** The current controller did not confirm the order. */
    UNCONFIRMED(ErrorKind.STALE_FENCE);

    private final ErrorKind mKind;

    OrderRefusal(ErrorKind kind) {
        mKind = kind;
    }

    /** Returns the kind of error that is returned to the controller. */
    public ErrorKind errorKind() {
        return mKind;
    }
}
