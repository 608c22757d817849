package org.hemlockrack.claims;

import java.util.Optional;
import java.util.function.Consumer;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.RunState;
import org.jspecify.annotations.Nullable;

/**
 * Drives one non-idempotent command on its entry instance from the claim to its end.
 *
 * <p>{@link Dispatch} is emitted at most once, and only after the claim was granted within its
 * time. A session that gave up before that never dispatches and leaves its attempt to {@link
 * AbandonedAttempts}. Events of earlier phases are ignored.
 */
public final class ClaimSession implements Decider<ClaimSession.Event, ClaimSession.Output> {
    private static final long FINISH_RETRY_NANOS = 500_000_000L;

    private final ClaimKey mKey;
    private final BodyHash mBodyHash;
    private final AttemptSource mSource;
    private final AbandonedAttempts mAbandoned;
    private final Timeouts mTimes;
    private final int mMaxAnswerBytes;
    private Phase mPhase = Phase.NEW;
    private boolean mTakingOver;
    private long mTimerNanos = NO_TIMER;
    private long mFinishEndNanos;
    private @Nullable AttemptId mAttempt;
    private @Nullable AttemptId mAsked;
    private @Nullable RecordedAnswer mAnswer;

    private enum Phase {
        NEW,
        CLAIMING,
        ASKING,
        DISPATCHED,
        FINISHING,
        ENDED
    }

    /**
     * Time limits.
     *
     * @param claimNanos longest wait for the answer to a claim
     * @param askNanos longest wait for the answer of another holder
     * @param runNanos longest run of the command; {@code limits.request_ms} of the configuration
     * @param finishNanos time for which the end is proposed again until it is recorded
     */
    public record Timeouts(long claimNanos, long askNanos, long runNanos, long finishNanos) {}

    /** What the session is told. */
    public sealed interface Event {}

    /** The command arrived. */
    public record Started() implements Event {}

    /**
     * A claim was applied.
     *
     * @param attempt its attempt
     * @param result the answer of the state
     */
    public record ClaimApplied(AttemptId attempt, ClaimResult result) implements Event {}

    /**
     * A claim was certainly not appended to the log and never will be.
     *
     * @param attempt its attempt
     */
    public record ClaimNotAppended(AttemptId attempt) implements Event {}

    /**
     * It is not known whether a claim was or will be applied.
     *
     * @param attempt its attempt
     */
    public record ClaimOutcomeUnknown(AttemptId attempt) implements Event {}

    /**
     * The holder of an open claim answered.
     *
     * @param asked the attempt asked about
     * @param abandoned whether the holder gave it up
     */
    public record HolderReplied(AttemptId asked, boolean abandoned) implements Event {}

    /**
     * No byte of the command reached a backend server, and none will.
     *
     * @param kind why
     */
    public record NotDispatched(ErrorKind kind) implements Event {}

    /**
     * The whole answer arrived.
     *
     * @param answer the answer
     */
    public record AnswerArrived(RecordedAnswer answer) implements Event {}

    /**
     * The answer was lost after the first byte of the command was sent.
     *
     * @param kind why
     */
    public record AnswerLost(ErrorKind kind) implements Event {}

    /** The proposed end was applied. */
    public record FinishApplied() implements Event {}

    /** The caller closed the connection. */
    public record CallerDisconnected() implements Event {}

    /** What the session asks for. */
    public sealed interface Output {}

    /**
     * Propose a claim and report its answer.
     *
     * @param command the claim
     */
    public record ProposeClaim(ClaimCommand.Claim command) implements Output {}

    /**
     * Ask a holder whether it gave up an attempt.
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

    /** Cancel the command at the backend server; it ran for too long. */
    public record CancelDispatched() implements Output {}

    /**
     * Propose the end and report when it was applied.
     *
     * @param command the end
     */
    public record ProposeFinish(ClaimCommand.Finish command) implements Output {}

    /**
     * Answer the caller with the answer of this run.
     *
     * @param answer the answer
     */
    public record DeliverAnswer(RecordedAnswer answer) implements Output {}

    /**
     * Answer the caller with what an earlier run recorded.
     *
     * @param answer the answer; {@code COMPLETE} or {@code WITHOUT_BODY}
     */
    public record ReplayAnswer(RecordedAnswer answer) implements Output {}

    /**
     * Refuse the command.
     *
     * @param kind the kind, whose run state is true
     * @param message text for the caller
     */
    public record Refuse(ErrorKind kind, String message) implements Output {}

    /** The session is over and may be dropped. */
    public record SessionEnded() implements Output {}

    private ClaimSession(
            ClaimKey key,
            BodyHash bodyHash,
            AttemptSource source,
            AbandonedAttempts abandoned,
            Timeouts times,
            int maxAnswerBytes) {
        mKey = key;
        mBodyHash = bodyHash;
        mSource = source;
        mAbandoned = abandoned;
        mTimes = times;
        mMaxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Creates a session.
     *
     * @param key the key of the command
     * @param bodyHash hash of the command
     * @param source attempts of this instance
     * @param abandoned attempts that this instance gave up
     * @param times time limits
     * @param maxAnswerBytes largest answer to record
     * @return the session
     */
    public static ClaimSession of(
            ClaimKey key,
            BodyHash bodyHash,
            AttemptSource source,
            AbandonedAttempts abandoned,
            Timeouts times,
            int maxAnswerBytes) {
        return new ClaimSession(key, bodyHash, source, abandoned, times, maxAnswerBytes);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A due timer goes first, so a late grant is not dispatched. After the dispatch the event
     * goes first: what is known about the run counts more than its time limit.
     */
    @Override
    public void onEvent(long nowNanos, Event event, Consumer<? super Output> out) {
        if (mPhase != Phase.DISPATCHED) {
            onTimer(nowNanos, out);
        }
        switch (mPhase) {
            case NEW -> onStart(nowNanos, event, out);
            case CLAIMING -> onClaiming(nowNanos, event, out);
            case ASKING -> onAsking(nowNanos, event, out);
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
            case CLAIMING -> giveUp(nowNanos, ErrorKind.NO_QUORUM, ErrorText.CLAIM_NO_QUORUM, out);
            case ASKING -> refuse(ErrorKind.KEY_IN_PROGRESS, ErrorText.CLAIM_IN_PROGRESS, out);
            case DISPATCHED -> {
                out.accept(new CancelDispatched());
                loseAnswer(nowNanos, ErrorKind.OUTCOME_UNKNOWN, out);
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
        if (!mAbandoned.reserve()) {
            mPhase = Phase.ENDED;
            out.accept(new Refuse(ErrorKind.OVERLOADED, ErrorText.CLAIM_FULL));
            out.accept(new SessionEnded());
            return;
        }
        propose(nowNanos, Optional.empty(), out);
    }

    private void propose(
            long nowNanos, Optional<AttemptId> takeOverFrom, Consumer<? super Output> out) {
        Optional<AttemptId> attempt = mSource.next();
        if (attempt.isEmpty()) {
            refuse(ErrorKind.OVERLOADED, ErrorText.CLAIM_FULL, out);
            return;
        }
        mAttempt = attempt.get();
        mPhase = Phase.CLAIMING;
        mTimerNanos = nowNanos + mTimes.claimNanos();
        long lowest = mSource.lowestPending();
        out.accept(
                new ProposeClaim(
                        new ClaimCommand.Claim(mKey, mAttempt, lowest, mBodyHash, takeOverFrom)));
    }

    private void onClaiming(long nowNanos, Event event, Consumer<? super Output> out) {
        if (event instanceof ClaimApplied applied && applied.attempt().equals(mAttempt)) {
            onClaimApplied(nowNanos, applied.result(), out);
        } else if (event instanceof ClaimNotAppended lost && lost.attempt().equals(mAttempt)) {
            mSource.markResolved(mAttempt);
            refuse(ErrorKind.NO_QUORUM, ErrorText.CLAIM_NO_QUORUM, out);
        } else if (event instanceof ClaimOutcomeUnknown lost && lost.attempt().equals(mAttempt)) {
            giveUp(nowNanos, ErrorKind.NO_QUORUM, ErrorText.CLAIM_NO_QUORUM, out);
        } else if (event instanceof CallerDisconnected) {
            giveUp(nowNanos, ErrorKind.REQUEST_TIMEOUT, ErrorText.CLAIM_NO_QUORUM, out);
        }
    }

    private void onClaimApplied(long nowNanos, ClaimResult result, Consumer<? super Output> out) {
        if (result instanceof ClaimResult.StaleAttempt stale) {
            mSource.raise(stale.minimumIncarnation());
            giveUp(nowNanos, ErrorKind.NOT_READY, ErrorText.CLAIM_STALE, out);
            return;
        }
        mSource.markResolved(mAttempt);
        if (result instanceof ClaimResult.Granted) {
            mPhase = Phase.DISPATCHED;
            mTimerNanos = nowNanos + mTimes.runNanos();
            out.accept(new Dispatch(mAttempt));
        } else if (result instanceof ClaimResult.Finished finished) {
            replay(finished.answer(), out);
        } else if (result instanceof ClaimResult.InProgress progress) {
            askHolder(nowNanos, progress.holder(), out);
        } else if (result instanceof ClaimResult.BodyMismatch) {
            refuse(ErrorKind.KEY_REUSED, ErrorText.CLAIM_KEY_REUSED, out);
        } else if (result instanceof ClaimResult.Full) {
            refuse(ErrorKind.OVERLOADED, ErrorText.CLAIM_FULL, out);
        } else {
            giveUp(nowNanos, ErrorKind.NOT_READY, ErrorText.CLAIM_STALE, out);
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

    private void askHolder(long nowNanos, AttemptId holder, Consumer<? super Output> out) {
        if (mTakingOver) {
            refuse(ErrorKind.KEY_IN_PROGRESS, ErrorText.CLAIM_IN_PROGRESS, out);
            return;
        }
        mPhase = Phase.ASKING;
        mAsked = holder;
        mTimerNanos = nowNanos + mTimes.askNanos();
        if (holder.holder().equals(mSource.holder())) {
            onHolderAnswer(nowNanos, mAbandoned.isAbandoned(holder), out);
        } else {
            out.accept(new QueryHolder(holder));
        }
    }

    private void onAsking(long nowNanos, Event event, Consumer<? super Output> out) {
        if (event instanceof HolderReplied answered && answered.asked().equals(mAsked)) {
            onHolderAnswer(nowNanos, answered.abandoned(), out);
        } else if (event instanceof CallerDisconnected) {
            refuse(ErrorKind.KEY_IN_PROGRESS, ErrorText.CLAIM_IN_PROGRESS, out);
        }
    }

    private void onHolderAnswer(long nowNanos, boolean abandoned, Consumer<? super Output> out) {
        if (!abandoned) {
            refuse(ErrorKind.KEY_IN_PROGRESS, ErrorText.CLAIM_IN_PROGRESS, out);
            return;
        }
        mTakingOver = true;
        propose(nowNanos, Optional.ofNullable(mAsked), out);
    }

    private void onDispatched(long nowNanos, Event event, Consumer<? super Output> out) {
        if (event instanceof NotDispatched failed) {
            boolean notRun = failed.kind().runState() == RunState.NOT_RUN;
            ErrorKind kind = notRun ? failed.kind() : ErrorKind.NO_BACKEND;
            giveUp(nowNanos, kind, ErrorText.CLAIM_NOT_DISPATCHED, out);
        } else if (event instanceof AnswerLost lost) {
            boolean unknown = lost.kind().runState() == RunState.UNKNOWN;
            loseAnswer(nowNanos, unknown ? lost.kind() : ErrorKind.OUTCOME_UNKNOWN, out);
        } else if (event instanceof AnswerArrived arrived) {
            RecordedAnswer answer = arrived.answer();
            out.accept(new DeliverAnswer(answer));
            boolean fits = answer.sizeBytes() <= mMaxAnswerBytes;
            finish(nowNanos, fits ? answer : answer.withoutBody(), out);
        }
    }

    private void loseAnswer(long nowNanos, ErrorKind kind, Consumer<? super Output> out) {
        out.accept(new Refuse(kind, ErrorText.CLAIM_OUTCOME_UNKNOWN));
        finish(nowNanos, RecordedAnswer.unknown(), out);
    }

    private void finish(long nowNanos, RecordedAnswer answer, Consumer<? super Output> out) {
        mPhase = Phase.FINISHING;
        mAnswer = answer;
        mFinishEndNanos = nowNanos + mTimes.finishNanos();
        proposeFinish(nowNanos, out);
    }

    private void proposeFinish(long nowNanos, Consumer<? super Output> out) {
        mTimerNanos = nowNanos + FINISH_RETRY_NANOS;
        long lowest = mSource.lowestPending();
        out.accept(new ProposeFinish(new ClaimCommand.Finish(mKey, mAttempt, lowest, mAnswer)));
    }

    private void retryFinish(long nowNanos, Consumer<? super Output> out) {
        if (nowNanos >= mFinishEndNanos) {
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

    private void giveUp(long nowNanos, ErrorKind kind, String text, Consumer<? super Output> out) {
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
        mAbandoned.unreserve();
        mPhase = Phase.ENDED;
        mTimerNanos = NO_TIMER;
        out.accept(new SessionEnded());
    }
}
