package org.hemlockrack.consensus.internal;

import java.util.concurrent.TimeUnit;

/**
 * The shortest election timeout of a replica. It is the one of the settings until several terms in
 * a row have ended without a committed entry, and then doubles with each further one: on slow disks
 * or links a vote, or the first entry of a leader, can take longer than the timeout, and each
 * election would be ended by the next one.
 */
final class ElectionTimeout {
    /** Failed terms in a row before the first doubling; split votes cause single ones. */
    private static final int TOLERATED_TERMS = 2;

    private static final int MAX_DOUBLINGS = 2;

    /** Time from the first committed entry of a term after which its leader counts as stable. */
    private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final long mShortestNanos;

    /** Earlier terms without a committed entry since a leader was last stable. */
    private int mFailedTerms;

    /** Whether an entry of the current term is committed; also true of the term at the start. */
    private boolean mHasCommitted = true;

    /** When the first entry of the current term was committed; 0 before the first such commit. */
    private long mCommitNanos;

    private ElectionTimeout(long shortestNanos) {
        mShortestNanos = shortestNanos;
    }

    /**
     * Creates the timeout of a replica that starts.
     *
     * @param shortestNanos the timeout of the settings
     */
    static ElectionTimeout create(long shortestNanos) {
        return new ElectionTimeout(shortestNanos);
    }

    void onTermStarted(long nowNanos) {
        if (isLeaderStable(nowNanos)) {
            mFailedTerms = 0;
        } else if (!mHasCommitted) {
            mFailedTerms++;
        }
        mHasCommitted = false;
    }

    /** Records that an entry of the current term is committed. */
    void onCommitted(long nowNanos) {
        if (!mHasCommitted) {
            mHasCommitted = true;
            mCommitNanos = nowNanos;
        }
    }

    /** Returns the time after which a replica without contact to a leader may start an election. */
    long followerNanos() {
        return mHasCommitted ? mShortestNanos : longerNanos();
    }

    /**
     * Returns the time after which a leader steps down that has not heard from a majority. It stays
     * longer until the leader is stable, as a disk that made elections fail also delays replies.
     */
    long leaderNanos(long nowNanos) {
        return isLeaderStable(nowNanos) ? mShortestNanos : longerNanos();
    }

    private boolean isLeaderStable(long nowNanos) {
        return mHasCommitted && nowNanos - mCommitNanos >= STABLE_NANOS;
    }

    private long longerNanos() {
        int doublings = Math.max(0, mFailedTerms - TOLERATED_TERMS);
        return mShortestNanos << Math.min(MAX_DOUBLINGS, doublings);
    }
}
