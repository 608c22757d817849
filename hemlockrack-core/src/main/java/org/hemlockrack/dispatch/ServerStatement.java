package org.hemlockrack.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * What one incarnation of a backend server has said in its answers about the requests that it
 * accepts. Unlike health and load it is the server's own word. Not thread-safe.
 */
final class ServerStatement {
    /** Longest rest that a server can ask for; longer ones are cut. */
    private static final long MAX_REST_NANOS = TimeUnit.MINUTES.toNanos(10);

    private boolean mLeaving;
    private boolean mHasRested;
    private long mRestUntilNanos;

    /** Records that the server leaves and accepts no new requests any more. */
    void recordLeaving() {
        mLeaving = true;
    }

    /** Records that the server accepts nothing for a time. A later word replaces an earlier one. */
    void recordRest(long nowNanos, long restNanos) {
        mHasRested = true;
        mRestUntilNanos = nowNanos + Math.min(MAX_REST_NANOS, restNanos);
    }

    boolean isLeaving() {
        return mLeaving;
    }

    /** Returns the time until the server accepts requests again, 0 if it does now. */
    long remainingRestNanos(long nowNanos) {
        return mHasRested ? Math.max(0, mRestUntilNanos - nowNanos) : 0;
    }
}
