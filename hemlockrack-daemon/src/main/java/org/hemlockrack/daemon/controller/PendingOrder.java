package org.hemlockrack.daemon.controller;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.control.ControlState;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.ProposalOutcome;
import org.hemlockrack.daemon.replica.Proposer;

/**
 * An order of an operator until it is committed. It must not undo a newer order, also if this
 * process is delayed at any step: the operator then gives the order to another controller, and goes
 * on when that has acknowledged it. So the order is proposed only while its caller still waits, and
 * names the revision that was committed before this was checked; the replicated state refuses it if
 * a newer order was committed since.
 */
final class PendingOrder {
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final EventLoop mLoop;
    private final Proposer mProposer;
    private final LongSupplier mCommittedRevision;
    private final CallerCheck mCaller;
    private final LongFunction<byte[]> mCommand;
    private final long mDeadlineNanos;
    private final CompletableFuture<Result> mResult = new CompletableFuture<>();

    /** How an order ended. */
    enum Result {
        COMMITTED,
        /** The caller has left. The order is not known to be committed. */
        CALLER_LEFT,
        /** No majority has committed the order in time. It may still be committed. */
        NOT_CONFIRMED
    }

    /** Finds out whether the caller of an order still waits for its acknowledgement. */
    @FunctionalInterface
    interface CallerCheck {
        /** Completes with false if the caller has left before this call. */
        CompletableFuture<Boolean> isWaiting();
    }

    private PendingOrder(
            EventLoop loop,
            Proposer proposer,
            LongSupplier committedRevision,
            CallerCheck caller,
            LongFunction<byte[]> command,
            long timeoutMillis) {
        mLoop = loop;
        mProposer = proposer;
        mCommittedRevision = committedRevision;
        mCaller = caller;
        mCommand = command;
        mDeadlineNanos = loop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }

    /**
     * Proposes an order until it is committed, its caller leaves or the timeout has passed.
     *
     * @param loop runs retries
     * @param proposer proposes the command
     * @param committedRevision returns the newest revision that is known to be committed
     * @param caller the caller of the order
     * @param command creates the command for a revision
     * @param timeoutMillis time after which no further attempt is made
     * @return completes with the result
     */
    static CompletableFuture<Result> propose(
            EventLoop loop,
            Proposer proposer,
            LongSupplier committedRevision,
            CallerCheck caller,
            LongFunction<byte[]> command,
            long timeoutMillis) {
        PendingOrder order =
                new PendingOrder(loop, proposer, committedRevision, caller, command, timeoutMillis);
        order.attempt();
        return order.mResult;
    }

    private void attempt() {
        // Read before the check: whatever the caller orders after it leaves is newer than this.
        long revision = mCommittedRevision.getAsLong();
        mCaller.isWaiting()
                .whenComplete(
                        (waiting, fault) -> {
                            if (!Boolean.TRUE.equals(waiting)) {
                                mResult.complete(Result.CALLER_LEFT);
                                return;
                            }
                            propose(revision);
                        });
    }

    private void propose(long revision) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - mLoop.nowNanos());
        if (remainingMillis <= 0) {
            mResult.complete(Result.NOT_CONFIRMED);
            return;
        }
        mProposer
                .propose(mCommand.apply(revision), remainingMillis)
                .whenComplete((outcome, fault) -> onOutcome(revision, outcome));
    }

    private void onOutcome(long revision, ProposalOutcome outcome) {
        boolean applied =
                outcome != null
                        && outcome.status() == ProposalStatus.APPLIED
                        && outcome.result() != null;
        if (applied && ControlState.isSuccess(outcome.result())) {
            mResult.complete(Result.COMMITTED);
            return;
        }
        if (applied && ControlState.isSuperseded(outcome.result())) {
            awaitNewerRevision(revision);
            return;
        }
        mResult.complete(Result.NOT_CONFIRMED);
    }

    /**
     * Tries again once this controller knows the order that came in between. A caller that still
     * waits then has not given that order, or gave this one after it.
     */
    private void awaitNewerRevision(long revision) {
        if (mCommittedRevision.getAsLong() > revision) {
            attempt();
            return;
        }
        long nextNanos = mLoop.nowNanos() + RETRY_DELAY_NANOS;
        if (nextNanos - mDeadlineNanos >= 0) {
            mResult.complete(Result.NOT_CONFIRMED);
            return;
        }
        mLoop.scheduleAt(nextNanos, () -> awaitNewerRevision(revision));
    }
}
