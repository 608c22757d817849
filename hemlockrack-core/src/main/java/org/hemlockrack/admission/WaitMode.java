package org.hemlockrack.admission;

/** How the owner handles a request that it cannot dispatch at once. */
public enum WaitMode {
    /** Refuse it, so that the entry instance tries the next backend server of the ranking. */
    TRY_ONLY(false),
    /** Queue it. */
    MAY_QUEUE(true);

    private final boolean mMayQueue;

    WaitMode(boolean queues) {
        mMayQueue = queues;
    }

    /** Returns whether the request may be queued. */
    public boolean mayQueue() {
        return mMayQueue;
    }
}
