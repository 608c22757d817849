package org.hemlockrack.admission;

/** What the owner does with a request that cannot be dispatched at once. */
public enum WaitMode {
    /** Refuse it, so that the entry instance tries its next choice. */
    TRY_ONLY(false),
    /** Queue it. */
    MAY_QUEUE(true);

    private final boolean mQueues;

    WaitMode(boolean queues) {
        mQueues = queues;
    }

    /** Returns whether the request may wait in the queue. */
    public boolean mayQueue() {
        return mQueues;
    }
}
