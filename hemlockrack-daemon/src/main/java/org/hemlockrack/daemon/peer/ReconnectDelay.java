package org.hemlockrack.daemon.peer;

/** Limits the rate of connection attempts. Confined to one thread. */
final class ReconnectDelay {
    /** Minimum time between two connection attempts. */
    private static final long DELAY_NANOS = 100_000_000L;

    private long mNextAttemptNanos = System.nanoTime();

    /** Returns whether a connection may be attempted now, and counts the attempt. */
    boolean tryAcquire() {
        long nowNanos = System.nanoTime();
        if (nowNanos - mNextAttemptNanos < 0) {
            return false;
        }
        mNextAttemptNanos = nowNanos + DELAY_NANOS;
        return true;
    }
}
