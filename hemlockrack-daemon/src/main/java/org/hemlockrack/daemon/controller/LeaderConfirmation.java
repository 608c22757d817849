package org.hemlockrack.daemon.controller;

import java.util.concurrent.atomic.AtomicBoolean;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.ReplicaService;

/**
 * Lets a majority confirm the state of this leader. To know of a leader is not enough to confirm a
 * state: the message that named it may have been held up, and the follower may lag.
 */
final class LeaderConfirmation {
    /** Receives confirmations. */
    interface Listener {
        /**
         * Called when a majority has confirmed that this process leads.
         *
         * @param requestNanos monotonic time before the confirming round was sent
         * @param requestWallMillis time of day then
         */
        void onConfirmed(long requestNanos, long requestWallMillis);
    }

    private final EventLoop mLoop;
    private final ReplicaService mReplica;
    private final Listener mListener;
    private final AtomicBoolean mConfirming = new AtomicBoolean();

    private LeaderConfirmation(EventLoop loop, ReplicaService replica, Listener listener) {
        mLoop = loop;
        mReplica = replica;
        mListener = listener;
    }

    static LeaderConfirmation create(EventLoop loop, ReplicaService replica, Listener listener) {
        return new LeaderConfirmation(loop, replica, listener);
    }

    /** Requests a confirmation unless one is under way. */
    void request() {
        if (mConfirming.getAndSet(true)) {
            return;
        }
        long requestNanos = mLoop.nowNanos();
        long requestWallMillis = System.currentTimeMillis();
        mReplica.readIndex()
                .whenComplete(
                        (outcome, fault) -> {
                            mConfirming.set(false);
                            if (outcome != null && outcome.status() == ProposalStatus.APPLIED) {
                                mListener.onConfirmed(requestNanos, requestWallMillis);
                            }
                        });
    }
}
