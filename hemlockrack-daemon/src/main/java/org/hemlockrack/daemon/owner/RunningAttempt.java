package org.hemlockrack.daemon.owner;

/** A running attempt. Safe for use from any thread. */
public interface RunningAttempt {
    /**
     * Allows more answer bytes to arrive.
     *
     * @param bytes number of bytes that were passed on
     */
    void release(int bytes);

    /** Gives up; the backend server's work is cancelled and the listener is not called again. */
    void cancel();
}
