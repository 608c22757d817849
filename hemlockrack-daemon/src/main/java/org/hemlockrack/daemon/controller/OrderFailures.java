package org.hemlockrack.daemon.controller;

import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/** Reasons for which an order is not acknowledged. */
final class OrderFailures {
    private OrderFailures() {}

    static HemlockrackException callerLeft() {
        return HemlockrackException.of(ErrorKind.NOT_READY, "the caller has left");
    }

    static HemlockrackException noQuorum(String outcome) {
        return HemlockrackException.of(
                ErrorKind.NO_QUORUM,
                "no majority of controllers confirmed the request: " + outcome);
    }
}
