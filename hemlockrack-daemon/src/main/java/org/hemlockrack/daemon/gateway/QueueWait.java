package org.hemlockrack.daemon.gateway;

import org.hemlockrack.dispatch.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * The wait of one exchange for a free slot, and the count of its attempts as running requests of
 * its workspace. The wait is guarded by the lock of the exchange.
 */
final class QueueWait {
    private final QueueService mQueues;
    private final GatewayExchange mExchange;
    private final ExchangeLog mLog;

    /** Id in the queue of the service while the exchange waits. */
    private @Nullable String mQueueId;

    /** What became of a waiting request for which a free slot was looked for. */
    enum Result {
        STARTED,
        /** No server has a free slot, or others precede the request. */
        WAITING,
        ENDED
    }

    QueueWait(QueueService queues, GatewayExchange exchange, ExchangeLog log) {
        mQueues = queues;
        mExchange = exchange;
        mLog = log;
    }

    boolean isWaiting() {
        return mQueueId != null;
    }

    /** Returns whether the request must wait because others precede it. */
    boolean isNeeded() {
        return !mQueues.mayStart(mExchange.service(), mExchange.rank(), workspace());
    }

    /**
     * Begins the wait.
     *
     * @param isRetry whether a server has refused the request before
     * @param deadlineNanos time at which the answer must be complete
     * @param wasFull whether no free slot was found
     */
    void begin(boolean isRetry, long deadlineNanos, boolean wasFull) {
        mQueueId = mQueues.enqueue(mExchange, isRetry, deadlineNanos, wasFull);
    }

    /** Ends the wait because a free slot was found. */
    void onServed() {
        WaitReport report =
                mQueueId == null ? null : mQueues.describe(mExchange.service(), mQueueId);
        mQueueId = null;
        if (report != null) {
            mLog.servedAfterWait(report, mExchange.rank());
        }
    }

    /** Ends the wait, if there is one, because the exchange has ended. */
    void end() {
        if (mQueueId != null) {
            mQueues.leave(mExchange.service(), mQueueId);
            mQueueId = null;
        }
    }

    /** Counts an attempt as a running request of the workspace if the service is managed. */
    void recordStart(ForwardAttempt attempt) {
        if (mQueues.recordStart(mExchange.service(), mExchange.rank(), workspace())) {
            attempt.countAsRunning();
        }
    }

    /** Records the end of an attempt, which may be reported more than once. */
    void recordEnd(ForwardAttempt attempt, AttemptOutcome outcome) {
        if (!attempt.stopCounting()) {
            return;
        }
        boolean served = outcome == AttemptOutcome.SERVED;
        long servedNanos = served ? System.nanoTime() - attempt.startNanos() : 0;
        mQueues.recordEnd(
                mExchange.service(),
                mExchange.rank(),
                workspace(),
                mExchange.route().name(),
                servedNanos);
    }

    private String workspace() {
        String workspace = mExchange.workspace();
        return workspace == null ? "" : workspace;
    }
}
