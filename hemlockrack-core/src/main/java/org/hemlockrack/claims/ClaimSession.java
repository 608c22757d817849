package org.hemlockrack.claims;

import java.util.Optional;
import java.util.function.Consumer;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.RunState;
import org.jspecify.annotations.Nullable;

/**
 * State machine for one non-idempotent command, on the instance that received it from the caller.
 * It claims the idempotency key in the replicated log, dispatches the command once the claim is
 * granted, and records the answer in the claim.
 *
 * <p>{@link Dispatch} is emitted at most once, and only if the claim was granted before its
 * timeout. A session abandons its attempt if the claim times out, has an unknown outcome or is
 * refused as stale, if the caller disconnects before the grant, or if the command did not reach a
 * backend server. It never dispatches from then on and adds the attempt to {@link
 * AbandonedAttempts}. Events that belong to an earlier phase are ignored.
 */
public final class ClaimSession implements Decider<ClaimSession.Event, ClaimSession.Output> {
    private static final long FINISH_RETRY_NANOS = 500_000_000L;

    private final ClaimKey mKey;
    private final BodyHash mBodyHash;
    private final AttemptSource mSource;
    private final AbandonedAttempts mAbandoned;
    private final Timeouts mTimeouts;
    private final int mMaxAnswerBytes;
    private Phase mPhase = Phase.NEW;
    private boolean mTakeOverProposed;
    private long mTimerNanos = NO_TIMER;
    private long mFinishDeadlineNanos;
    private @Nullable AttemptId mAttempt;
    private @Nullable AttemptId mQueriedAttempt;
    private @Nullable RecordedAnswer mAnswer;

    private enum Phase {
        NEW,
        CLAIMING,
        QUERYING_HOLDER,
        DISPATCHED,
        FINISHING,
        ENDED
    }

    /**
     * Time limits of a session.
     *
     * @param claimNanos longest wait for the result of a claim
     * @param queryNanos longest wait for the reply of another holder
     * @param runNanos longest run of the command; {@code limits.request_ms} of the configuration
     * @param finishNanos how long the proposal to record the answer is retried
     */
    public record Timeouts(long claimNanos, long queryNanos, long runNanos, long finishNanos) {}

    /** Inputs of the session. */
    public sealed interface Event {}

    /** The command was received from the caller. */
    public record Started() implements Event {}

    /**
     * A proposed claim was applied to the replicated state.
     *
     * @param attempt its attempt
     * @param result the result
     */
    public record ClaimApplied(AttemptId attempt, ClaimResult result) implements Event {}

    /**
     * A claim was certainly not appended to the log and never will be.
     *
     * @param attempt its attempt
     */
    public record ClaimNotAppended(AttemptId attempt) implements Event {}

    /**
     * It is unknown whether a claim was or will be applied, for example because its reply was lost.
     *
     * @param attempt its attempt
     */
    public record ClaimOutcomeUnknown(AttemptId attempt) implements Event {}

    /**
     * The holder of an open claim replied to {@link QueryHolder}.
     *
     * @param attempt the queried attempt
     * @param abandoned whether the holder abandoned it before dispatch
     */
    public record HolderReplied(AttemptId attempt, boolean abandoned) implements Event {}

    /**
     * No byte of the command was sent to a backend server, and none will be.
     *
     * @param kind the reason
     */
    public record NotDispatched(ErrorKind kind) implements Event {}

    /**
     * The complete answer was received.
     *
     * @param answer the answer
     */
    public record AnswerArrived(RecordedAnswer answer) implements Event {}

    /**
     * The answer was lost after at least one byte of the command was sent.
     *
     * @param kind the reason
     */
    public record AnswerLost(ErrorKind kind) implements Event {}

    /** A proposed {@link ClaimCommand.Finish} was applied. */
    public record FinishApplied() implements Event {}

    /** The caller closed the connection. */
    public record CallerDisconnected() implements Event {}

    /** Actions that the session requests from its driver. */
    public sealed interface Output {}

    /**
     * Propose a claim and report its result.
     *
     * @param command the claim
     */
    public record ProposeClaim(ClaimCommand.Claim command) implements Output {}

    /**
     * Ask the holder of an attempt whether it abandoned the attempt before dispatch.
     *
     * @param attempt the attempt
     */
    public record QueryHolder(AttemptId attempt) implements Output {}

    /**
     * Send the command to a backend server.
     *
     * @param attempt the attempt that holds the claim
     */
    public record Dispatch(AttemptId attempt) implements Output {}

    /** Cancel the command at the backend server because it exceeded its time limit. */
    public record CancelDispatched() implements Output {}

    /**
     * Propose to record the answer and report when that was applied.
     *
     * @param command the command with the answer
     */
    public record ProposeFinish(ClaimCommand.Finish command) implements Output {}

    /**
     * Send the answer of this run to the caller.
     *
     * @param answer the answer
     */
    public record DeliverAnswer(RecordedAnswer answer) implements Output {}

    /**
     * Send the recorded answer of an earlier run to the caller.
     *
     * @param answer the answer; {@code COMPLETE} or {@code WITHOUT_BODY}
     */
    public record ReplayAnswer(RecordedAnswer answer) implements Output {}

    /**
     * Answer the caller with an error.
     *
     * @param kind the kind; its run state is correct for this command
     * @param message text for the caller
     */
    public record Refuse(ErrorKind kind, String message) implements Output {}

    /** The session ended and may be discarded. */
    public record SessionEnded() implements Output {}

    private ClaimSession(
            ClaimKey key,
            BodyHash bodyHash,
            AttemptSource source,
            AbandonedAttempts abandoned,
            Timeouts timeouts,
            int maxAnswerBytes) {
        mKey = key;
        mBodyHash = bodyHash;
        mSource = source;
        mAbandoned = abandoned;
        mTimeouts = timeouts;
        mMaxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Creates a session.
     *
     * @param key the key of the command
     * @param bodyHash hash of the command
     * @param source issues the attempts of this instance
     * @param abandoned attempts that this instance abandoned
     * @param timeouts time limits
     * @param maxAnswerBytes largest answer to record
     * @return the session
     */
    public static ClaimSession of(
            ClaimKey key,
            BodyHash bodyHash,
            AttemptSource source,
            AbandonedAttempts abandoned,
            Timeouts timeouts,
            int maxAnswerBytes) {
        return new ClaimSession(key, bodyHash, source, abandoned, timeouts, maxAnswerBytes);
    }

    /**
     * {@inheritDoc}
     *
     * <p>Before the dispatch a due timer is handled before the event, so that a grant that arrives
     * after the timeout is not dispatched. After the dispatch the event is handled first: a known
     * outcome of the run takes precedence over its time limit.
     */
    @Override
    public void onEvent(long nowNanos, Event event, Consumer<? super Output> out) {
        if (mPhase != Phase.DISPATCHED) {
            onTimer(nowNanos, out);
        }
        switch (mPhase) {
            case NEW -> onStart(nowNanos, event, out);
            case CLAIMING -> onClaiming(nowNanos, event, out);
            case QUERYING_HOLDER -> onQueryingHolder(nowNanos, event, out);
            case DISPATCHED -> onDispatched(nowNanos, event, out);
            case FINISHING -> onFinishing(event, out);
            default -> {}
        }
        onTimer(nowNanos, out);
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super Output> out) {
        if (mTimerNanos > nowNanos) {
            return;
        }
        switch (mPhase) {
            case CLAIMING -> abandon(nowNanos, ErrorKind.NO_QUORUM, ErrorText.CLAIM_NO_QUORUM, out);
            case QUERYING_HOLDER ->
                    refuse(ErrorKind.KEY_IN_PROGRESS, ErrorText.CLAIM_IN_PROGRESS, out);
            case DISPATCHED -> {
                out.accept(new CancelDispatched());
                finishWithUnknownOutcome(nowNanos, ErrorKind.OUTCOME_UNKNOWN, out);
            }
            case FINISHING -> retryFinish(nowNanos, out);
            default -> mTimerNanos = NO_TIMER;
        }
    }

    @Override
    public long nextTimerNanos() {
        return mTimerNanos;
    }

    private void onStart(long nowNanos, Event event, Consumer<? super Output> out) {
        if (!(event instanceof Started)) {
            return;
        }
        if (!mAbandoned.tryReserve()) {
            mPhase = Phase.ENDED;
            out.accept(new Refuse(ErrorKind.OVERLOADED, ErrorText.CLAIM_FULL));
            out.accept(new SessionEnded());
            return;
        }
        proposeClaim(nowNanos, Optional.empty(), out);
    }

    private void proposeClaim(
            long nowNanos, Optional<AttemptId> takeOverFrom, Consumer<? super Output> out) {
        Optional<AttemptId> attempt = mSource.next();
        if (attempt.isEmpty()) {
            refuse(ErrorKind.OVERLOADED, ErrorText.CLAIM_FULL, out);
            return;
        }
        mAttempt = attempt.get();
        mPhase = Phase.CLAIMING;
        mTimerNanos = nowNanos + mTimeouts.claimNanos();
        long lowest = mSource.lowestPending();
        out.accept(
                new ProposeClaim(
                        new ClaimCommand.Claim(mKey, mAttempt, lowest, mBodyHash, takeOverFrom)));
    }

    private void onClaiming(long nowNanos, Event event, Consumer<? super Output> out) {
        if (event instanceof ClaimApplied applied && applied.attempt().equals(mAttempt)) {
            onClaimApplied(nowNanos, applied.result(), out);
        } else if (event instanceof ClaimNotAppended notAppended
                && notAppended.attempt().equals(mAttempt)) {
            mSource.markResolved(mAttempt);
            refuse(ErrorKind.NO_QUORUM, ErrorText.CLAIM_NO_QUORUM, out);
        } else if (event instanceof ClaimOutcomeUnknown unknown
                && unknown.attempt().equals(mAttempt)) {
            abandon(nowNanos, ErrorKind.NO_QUORUM, ErrorText.CLAIM_NO_QUORUM, out);
        } else if (event instanceof CallerDisconnected) {
            abandon(nowNanos, ErrorKind.REQUEST_TIMEOUT, ErrorText.CLAIM_NO_QUORUM, out);
        }
    }

    private void onClaimApplied(long nowNanos, ClaimResult result, Consumer<? super Output> out) {
        if (result instanceof ClaimResult.StaleAttempt stale) {
            mSource.raiseIncarnation(stale.minimumIncarnation());
            abandon(nowNanos, ErrorKind.NOT_READY, ErrorText.CLAIM_STALE, out);
            return;
        }
        mSource.markResolved(mAttempt);
        if (result instanceof ClaimResult.Granted) {
            mPhase = Phase.DISPATCHED;
            mTimerNanos = nowNanos + mTimeouts.runNanos();
            out.accept(new Dispatch(mAttempt));
        } else if (result instanceof ClaimResult.Finished finished) {
            replay(finished.answer(), out);
        } else if (result instanceof ClaimResult.InProgress progress) {
            queryHolder(nowNanos, progress.holder(), out);
        } else if (result instanceof ClaimResult.BodyMismatch) {
            refuse(ErrorKind.KEY_REUSED, ErrorText.CLAIM_KEY_REUSED, out);
        } else if (result instanceof ClaimResult.Full) {
            refuse(ErrorKind.OVERLOADED, ErrorText.CLAIM_FULL, out);
        } else {
            abandon(nowNanos, ErrorKind.NOT_READY, ErrorText.CLAIM_STALE, out);
        }
    }

    private void replay(RecordedAnswer answer, Consumer<? super Output> out) {
        if (answer.outcome() == RecordedAnswer.Outcome.UNKNOWN) {
            refuse(ErrorKind.OUTCOME_UNKNOWN, ErrorText.CLAIM_OUTCOME_UNKNOWN, out);
            return;
        }
        out.accept(new ReplayAnswer(answer));
        end(out);
    }

    private void queryHolder(long nowNanos, AttemptId holder, Consumer<? super Output> out) {
        if (mTakeOverProposed) {
            refuse(ErrorKind.KEY_IN_PROGRESS, ErrorText.CLAIM_IN_PROGRESS, out);
            return;
        }
        mPhase = Phase.QUERYING_HOLDER;
        mQueriedAttempt = holder;
        mTimerNanos = nowNanos + mTimeouts.queryNanos();
        if (holder.holder().equals(mSource.holder())) {
            onHolderReply(nowNanos, mAbandoned.isAbandoned(holder), out);
        } else {
            out.accept(new QueryHolder(holder));
        }
    }

    private void onQueryingHolder(long nowNanos, Event event, Consumer<? super Output> out) {
        if (event instanceof HolderReplied reply && reply.attempt().equals(mQueriedAttempt)) {
            onHolderReply(nowNanos, reply.abandoned(), out);
        } else if (event instanceof CallerDisconnected) {
            refuse(ErrorKind.KEY_IN_PROGRESS, ErrorText.CLAIM_IN_PROGRESS, out);
        }
    }

    private void onHolderReply(long nowNanos, boolean abandoned, Consumer<? super Output> out) {
        if (!abandoned) {
            refuse(ErrorKind.KEY_IN_PROGRESS, ErrorText.CLAIM_IN_PROGRESS, out);
            return;
        }
        mTakeOverProposed = true;
        proposeClaim(nowNanos, Optional.ofNullable(mQueriedAttempt), out);
    }

    private void onDispatched(long nowNanos, Event event, Consumer<? super Output> out) {
        if (event instanceof NotDispatched failed) {
            boolean notRun = failed.kind().runState() == RunState.NOT_RUN;
            ErrorKind kind = notRun ? failed.kind() : ErrorKind.NO_BACKEND;
            abandon(nowNanos, kind, ErrorText.CLAIM_NOT_DISPATCHED, out);
        } else if (event instanceof AnswerLost lost) {
            boolean unknown = lost.kind().runState() == RunState.UNKNOWN;
            finishWithUnknownOutcome(
                    nowNanos, unknown ? lost.kind() : ErrorKind.OUTCOME_UNKNOWN, out);
        } else if (event instanceof AnswerArrived arrived) {
            RecordedAnswer answer = arrived.answer();
            out.accept(new DeliverAnswer(answer));
            boolean fitsRecord = answer.sizeBytes() <= mMaxAnswerBytes;
            finish(nowNanos, fitsRecord ? answer : answer.withoutBody(), out);
        }
    }

    private void finishWithUnknownOutcome(
            long nowNanos, ErrorKind kind, Consumer<? super Output> out) {
        out.accept(new Refuse(kind, ErrorText.CLAIM_OUTCOME_UNKNOWN));
        finish(nowNanos, RecordedAnswer.unknown(), out);
    }

    private void finish(long nowNanos, RecordedAnswer answer, Consumer<? super Output> out) {
        mPhase = Phase.FINISHING;
        mAnswer = answer;
        mFinishDeadlineNanos = nowNanos + mTimeouts.finishNanos();
        proposeFinish(nowNanos, out);
    }

    private void proposeFinish(long nowNanos, Consumer<? super Output> out) {
        mTimerNanos = nowNanos + FINISH_RETRY_NANOS;
        long lowest = mSource.lowestPending();
        out.accept(new ProposeFinish(new ClaimCommand.Finish(mKey, mAttempt, lowest, mAnswer)));
    }

    private void retryFinish(long nowNanos, Consumer<? super Output> out) {
        if (nowNanos >= mFinishDeadlineNanos) {
            end(out);
        } else {
            proposeFinish(nowNanos, out);
        }
    }

    private void onFinishing(Event event, Consumer<? super Output> out) {
        if (event instanceof FinishApplied) {
            end(out);
        }
    }

    private void abandon(long nowNanos, ErrorKind kind, String text, Consumer<? super Output> out) {
        mSource.markResolved(mAttempt);
        mAbandoned.add(nowNanos, mKey, mAttempt);
        mPhase = Phase.ENDED;
        mTimerNanos = NO_TIMER;
        out.accept(new Refuse(kind, text));
        out.accept(new SessionEnded());
    }

    private void refuse(ErrorKind kind, String text, Consumer<? super Output> out) {
        out.accept(new Refuse(kind, text));
        end(out);
    }

    private void end(Consumer<? super Output> out) {
        mAbandoned.cancelReservation();
        mPhase = Phase.ENDED;
        mTimerNanos = NO_TIMER;
        out.accept(new SessionEnded());
    }
}
