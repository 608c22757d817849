package org.hemlockrack.daemon.peer;

import java.util.concurrent.TimeUnit;

/**
 * Time limit for the answer to a probe. It follows the answers of a slow peer, so that its
 * connection is not given up again and again. Safe for use from any thread.
 */
final class ProbeTimeout {
    private static final long MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /**
     * Largest limit. With the interval between two probes it stays below the 3 s after which
     * instances are in touch again.
     */
    private static final long MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    private volatile long mNanos = MIN_NANOS;

    /** Returns the limit in nanoseconds. */
    long nanos() {
        return mNanos;
    }

    /**
     * Called after an answer.
     *
     * @param elapsedNanos time that the answer took
     */
    void onAnswer(long elapsedNanos) {
        mNanos = Math.max(MIN_NANOS, Math.min(MAX_NANOS, 2 * elapsedNanos));
    }

    /** Called when no answer came within the limit. */
    void onMissed() {
        mNanos = Math.min(MAX_NANOS, 2 * mNanos);
    }
}
