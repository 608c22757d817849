package org.hemlockrack.daemon.owner;

/** Handle to control an attempt in progress. Safe for use from any thread. */
public interface RunningAttempt {
    /**
     * Returns flow-control credit, so that the sender may send more answer bytes.
     *
     * @param bytes number of received bytes that were processed
     */
    void release(int bytes);

    /** Cancels the attempt, also at the backend server. The listener is not called again. */
    void cancel();
}
