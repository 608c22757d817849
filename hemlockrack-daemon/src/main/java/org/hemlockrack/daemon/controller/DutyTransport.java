package org.hemlockrack.daemon.controller;

import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/** Sends calls of duties. */
interface DutyTransport {
    /** Status of a call without an answer. */
    int NO_ANSWER = 0;

    /**
     * Sends a call.
     *
     * @param call the call
     * @param maySend asked right before the first byte is written
     * @param onEnd receives the HTTP status or {@link #NO_ANSWER}, once
     */
    void send(DutyCalls.Call call, BooleanSupplier maySend, IntConsumer onEnd);
}
