package org.hemlockrack.daemon.gateway;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hemlockrack.answers.EventStreamFramer;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.dispatch.AttemptOutcome;
import org.hemlockrack.dispatch.ServerChoice;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.quarantine.PromptParts;
import org.hemlockrack.quarantine.Verdict;
import org.hemlockrack.routing.Route;
import org.hemlockrack.routing.WorkspaceKeys;
import org.jspecify.annotations.Nullable;

/**
 * Handles one request of a caller: selects backend servers, retries, and forwards one answer.
 * Thread-safe; the state is guarded by the lock of this object.
 */
final class GatewayExchange {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** Largest number of rejections by servers that are retried; each one costs a round trip. */
    private static final int MAX_REJECTIONS = 3;

    private final GatewayContext mContext;
    private final HttpCall mCall;
    private final Responder mResponder;
    private final RequestMetadata mMetadata;
    private final Route mRoute;
    private final @Nullable String mWorkspace;
    private final int mRank;
    private final ServiceId mService;
    private final ServerSelection mSelection;
    private final ExchangeLog mLog;
    private final long mStartNanos;
    private final TimeLimits mTimeLimits;
    private final Set<BackendId> mTriedServers = new HashSet<>();
    private final List<String> mPartNames;
    private final CrashEvidence mCrashEvidence;
    private final QueueWait mWait;

    private final @Nullable EventStreamFramer mEventFramer;

    private final AnswerMemory mAnswerMemory;
    private @Nullable ForwardAttempt mAttempt;
    private @Nullable ScheduledFuture<?> mDeadlineTimer;
    private long mLastProgressNanos;
    private int mSentAttempts;
    private int mRejections;
    private boolean mMayHaveRun;
    private boolean mHeadSent;
    private boolean mEnded;

    /** Whether the caller gets whole events only, so that another server can continue. */
    private boolean mResumable;

    GatewayExchange(
            GatewayContext context,
            HttpCall call,
            Responder responder,
            RequestMetadata metadata,
            Route route,
            @Nullable WorkspaceKeys workspace,
            long tableVersion) {
        mContext = context;
        mCall = call;
        mResponder = responder;
        mMetadata = metadata;
        mRoute = route;
        mWorkspace = workspace == null ? null : workspace.workspace().value();
        mRank = Routing.rankOf(route, workspace);
        mService = Routing.serviceOf(route, metadata);
        mSelection = new ServerSelection(context, route, mService, metadata);
        PromptParts parts = PromptParts.of(metadata.promptPartIds());
        mPartNames = parts.all();
        mCrashEvidence = new CrashEvidence(context.quarantine(), metadata.attemptId(), parts);
        mStartNanos = System.nanoTime();
        mLog =
                new ExchangeLog(
                        context.log(),
                        context.openExchanges(),
                        metadata.attemptId(),
                        route,
                        mWorkspace,
                        tableVersion,
                        mPartNames,
                        mStartNanos);
        mWait = new QueueWait(context.queues(), this, mLog);
        mTimeLimits = TimeLimits.of(context, route, metadata, mStartNanos);
        mEventFramer =
                route.isStreaming() && route.allowsRerun() ? EventStreamFramer.create() : null;
        mResumable = mEventFramer != null;
        mAnswerMemory = AnswerMemory.of(context.answerBudget());
    }

    Route route() {
        return mRoute;
    }

    ExchangeLog log() {
        return mLog;
    }

    HttpCall call() {
        return mCall;
    }

    Responder responder() {
        return mResponder;
    }

    GatewayContext context() {
        return mContext;
    }

    CrashEvidence crashEvidence() {
        return mCrashEvidence;
    }

    AnswerMemory answerMemory() {
        return mAnswerMemory;
    }

    @Nullable String workspace() {
        return mWorkspace;
    }

    int rank() {
        return mRank;
    }

    RequestMetadata metadata() {
        return mMetadata;
    }

    ServiceId service() {
        return mService;
    }

    long remainingMillis() {
        return mTimeLimits.remainingMillis();
    }

    /** Returns the names of the parts of the prompt. */
    List<String> partNames() {
        return mPartNames;
    }

    void start() {
        mContext.retries().countRequest(mService);
        mDeadlineTimer = mContext.loop().scheduleAt(mTimeLimits.deadlineNanos(), this::onDeadline);
        if (!mPartNames.isEmpty()) {
            mContext.quarantine().addExchange(this);
        }
        mContext.openExchanges().add(this);
        mResponder.onReleased(mAnswerMemory::release);
        mResponder.onCancel(this::onCallerLeft);
        startNextAttempt(null);
    }

    /** Starts an attempt; the choice of its server may have been made before. */
    private void startNextAttempt(@Nullable ServerChoice chosen) {
        startAttempt(chosen, false);
    }

    /** Starts the attempt of a waiting request if a server has a free slot. */
    QueueWait.Result startFromQueue() {
        return startAttempt(null, true);
    }

    private QueueWait.Result startAttempt(@Nullable ServerChoice chosen, boolean fromQueue) {
        ForwardAttempt attempt;
        synchronized (this) {
            if (mEnded || fromQueue && !mWait.isWaiting()) {
                abandonChoice(chosen);
                return QueueWait.Result.ENDED;
            }
            long nowNanos = System.nanoTime();
            if (chosen == null && !mTimeLimits.canCompleteBeforeStop(nowNanos)) {
                failStopping();
                return QueueWait.Result.ENDED;
            }
            if (mTimeLimits.isLate()) {
                mLog.passedOnWhileStopping(mTimeLimits.expectedNanos(nowNanos));
            }
            Verdict verdict = mContext.quarantine().inForce(nowNanos, mPartNames);
            if (chosen == null && verdict != null) {
                failHeld(nowNanos, verdict);
                return QueueWait.Result.ENDED;
            }
            ServerChoice choice = chosen == null ? chooseOrWait(nowNanos, fromQueue) : chosen;
            if (choice == null) {
                return QueueWait.Result.WAITING;
            }
            if (choice.server() == null) {
                failWithoutServer(choice);
                return QueueWait.Result.ENDED;
            }
            if (fromQueue) {
                mWait.onServed();
            }
            mTriedServers.add(choice.server().id());
            attempt = new ForwardAttempt(this, choice, nowNanos, mEventFramer, mMayHaveRun);
            mAttempt = attempt;
            mWait.recordStart(attempt);
            mLastProgressNanos = nowNanos;
            if (mRoute.allowsRerun()) {
                scheduleSilenceCheck(attempt, mContext.state().silenceTimeoutNanos(mRoute));
            }
        }
        attempt.send();
        return QueueWait.Result.STARTED;
    }

    /**
     * Chooses a server, or lets a request that has certainly not run wait for a free slot. Returns
     * null if the request waits.
     */
    private @Nullable ServerChoice chooseOrWait(long nowNanos, boolean fromQueue) {
        boolean isNotRun = !mMayHaveRun && !mHeadSent && mSentAttempts == 0;
        boolean mayWait = isNotRun && mContext.state().isManaged(mService);
        if (mayWait && !fromQueue && mWait.isNeeded()) {
            mWait.begin(mRejections > 0, mTimeLimits.deadlineNanos(), false);
            return null;
        }
        ServerChoice choice = mSelection.choose(nowNanos, mTriedServers, fromQueue);
        if (choice.reason() != ServerChoice.Reason.ALL_FULL || !mayWait) {
            return choice;
        }
        if (!fromQueue) {
            mWait.begin(mRejections > 0, mTimeLimits.deadlineNanos(), true);
        }
        return null;
    }

    /** Refuses the request, which has waited for a free slot and has not run. */
    void onQueueRefused(QueueService.Refusal refusal) {
        synchronized (this) {
            if (mEnded || !mWait.isWaiting()) {
                return;
            }
            mLog.refusedFromQueue(refusal, mRank);
            markEnded();
            mLog.failed(refusal.kind(), null, refusal.cause(), mTriedServers.size());
            mContext.refuseUntil(
                    mResponder, refusal.kind(), refusal.cause(), refusal.retryMillis());
        }
    }

    /** Records how an attempt ended, which frees its place at the server. */
    void recordOutcome(ForwardAttempt attempt, AttemptOutcome outcome) {
        mContext.recordOutcome(attempt.server(), outcome);
        mWait.recordEnd(attempt, outcome);
    }

    /** Returns the place at a server that was chosen for an attempt that does not start. */
    private void abandonChoice(@Nullable ServerChoice choice) {
        if (choice != null && choice.server() != null) {
            mContext.recordOutcome(choice.server(), AttemptOutcome.ABANDONED);
        }
    }

    /** Schedules a check that an attempt has made progress within the silence timeout. */
    private void scheduleSilenceCheck(ForwardAttempt attempt, long silenceTimeoutNanos) {
        mContext.loop()
                .scheduleAt(
                        mLastProgressNanos + silenceTimeoutNanos,
                        () -> checkSilence(attempt, silenceTimeoutNanos));
    }

    private void checkSilence(ForwardAttempt attempt, long silenceTimeoutNanos) {
        synchronized (this) {
            if (mEnded || attempt != mAttempt) {
                return;
            }
            if (System.nanoTime() - mLastProgressNanos < silenceTimeoutNanos) {
                scheduleSilenceCheck(attempt, silenceTimeoutNanos);
                return;
            }
        }
        if (!attempt.isSent() || !canRestartOrResume()) {
            return;
        }
        acquireRetry(granted -> onSilent(attempt, silenceTimeoutNanos, granted));
    }

    /**
     * Ends a silent attempt if its retry was granted and can begin. Otherwise its answer may still
     * come.
     */
    private void onSilent(ForwardAttempt attempt, long silenceTimeoutNanos, boolean granted) {
        ServerChoice next;
        synchronized (this) {
            long nowNanos = System.nanoTime();
            boolean stillSilent = nowNanos - mLastProgressNanos >= silenceTimeoutNanos;
            if (mEnded || attempt != mAttempt || !granted || !stillSilent) {
                return;
            }
            if (!mTimeLimits.canCompleteBeforeStop(nowNanos)
                    || mContext.quarantine().inForce(nowNanos, mPartNames) != null) {
                return;
            }
            next = mSelection.choose(nowNanos, mTriedServers, false);
            if (next.server() == null && mHeadSent) {
                return;
            }
            mMayHaveRun = true;
            clearAttempt();
        }
        attempt.cancel();
        recordOutcome(attempt, AttemptOutcome.SILENT);
        String cause = "silent for " + silenceTimeoutNanos / NANOS_PER_MILLI + " ms";
        startNextOrFail(attempt, AttemptOutcome.SILENT, cause, true, next);
    }

    /**
     * Returns whether another server can still complete the answer: the caller has received nothing
     * yet, or the stream can be resumed.
     */
    private synchronized boolean canRestartOrResume() {
        return !mHeadSent || mResumable && mEventFramer.isResumable();
    }

    /**
     * Forwards bytes of an attempt's stream to the caller; if the stream can be resumed, only whole
     * events. Bytes of an attempt that is no longer current are dropped.
     */
    synchronized void forwardBody(ForwardAttempt attempt, ByteBuffer data) {
        if (mEnded || attempt != mAttempt) {
            data.position(data.limit());
            return;
        }
        mLastProgressNanos = System.nanoTime();
        if (!mResumable) {
            mResponder.write(data);
            return;
        }
        byte[] wholeEvents = mEventFramer.feed(data);
        if (wholeEvents.length > 0) {
            mResponder.write(ByteBuffer.wrap(wholeEvents));
        }
    }

    /**
     * Completes the stream of an attempt. Returns false if the exchange has ended or the attempt is
     * no longer current.
     */
    synchronized boolean completeStream(ForwardAttempt attempt) {
        if (mEnded || attempt != mAttempt) {
            return false;
        }
        mResponder.end();
        markEnded();
        return true;
    }

    /** Records that the server of an attempt has sent something. */
    synchronized void recordProgress(ForwardAttempt attempt) {
        if (attempt == mAttempt) {
            mLastProgressNanos = System.nanoTime();
        }
    }

    /** Returns whether the answer may only begin once it is whole. */
    boolean requiresWholeAnswer() {
        return mTimeLimits.requiresWholeAnswer();
    }

    synchronized boolean isHeadSent() {
        return mHeadSent;
    }

    private void failWithoutServer(ServerChoice choice) {
        if (mMayHaveRun) {
            fail(ErrorKind.BACKEND_FAILED, choice.reason().name());
            return;
        }
        mContext.dutyReports().recordRefused(mService);
        fail(
                ServerSelection.refusalKind(choice),
                choice.reason().name(),
                choice.waitNanos() / NANOS_PER_MILLI);
    }

    /** Ends the request because a part of its prompt is held back. Called with the lock held. */
    private void failHeld(long nowNanos, Verdict verdict) {
        ErrorKind kind = mMayHaveRun ? ErrorKind.BACKEND_FAILED : ErrorKind.PROMPT_HELD;
        fail(
                kind,
                String.format(ErrorText.PART_HELD, verdict.part()),
                verdict.remainingMillis(nowNanos));
    }

    /**
     * Ends the request if a server may still begin to answer it, because a part of its prompt is
     * held back from now on.
     */
    void onPartHeld(Verdict verdict) {
        ForwardAttempt attempt;
        synchronized (this) {
            attempt = mAttempt;
            if (mEnded || attempt != null && attempt.hasBegun()) {
                return;
            }
            mMayHaveRun |= mSentAttempts > 0;
            failHeld(System.nanoTime(), verdict);
        }
        abandonAttempt(attempt);
    }

    /**
     * Ends an attempt whose connection the server has cut. If the server may have crashed because
     * of the prompt, the request is not sent to another one.
     */
    void onCut(ForwardAttempt attempt, String cause) {
        boolean mayCrashServers = mCrashEvidence.recordCut(System.nanoTime(), attempt);
        synchronized (this) {
            mMayHaveRun = true;
        }
        boolean again = attempt.isStreaming() ? canRestartOrResume() : mRoute.allowsRerun();
        endAttempt(
                attempt,
                AttemptOutcome.BROKEN,
                cause,
                NextAttempt.wantedIf(again && !mayCrashServers));
    }

    /** Called by an attempt before it sends its first byte. Returns whether it may send. */
    synchronized boolean onSending(ForwardAttempt attempt) {
        if (mEnded || attempt != mAttempt || remainingMillis() <= 0) {
            return false;
        }
        mSentAttempts++;
        return true;
    }

    /** Ends an attempt whose request has certainly not run. */
    void onNotRun(ForwardAttempt attempt, AttemptOutcome outcome, String cause) {
        boolean reachedServer =
                outcome == AttemptOutcome.REJECTED || outcome == AttemptOutcome.MISDIRECTED;
        if (outcome == AttemptOutcome.ABANDONED) {
            synchronized (this) {
                mTriedServers.remove(attempt.server().id());
            }
        }
        if (!reachedServer) {
            endAttempt(attempt, outcome, cause, NextAttempt.GRANTED);
            return;
        }
        boolean withinRejectionLimit;
        synchronized (this) {
            // A rejected attempt does not count towards the attempt limit of the route, but its
            // retry takes from the fleet's retry budget.
            mSentAttempts--;
            mRejections++;
            withinRejectionLimit = mRejections <= MAX_REJECTIONS;
        }
        endAttempt(attempt, outcome, cause, NextAttempt.wantedIf(withinRejectionLimit));
    }

    /** Ends an attempt whose request may have run, without an answer for the caller. */
    void onMayHaveRun(ForwardAttempt attempt, AttemptOutcome outcome, String cause) {
        synchronized (this) {
            mMayHaveRun = true;
        }
        endAttempt(attempt, outcome, cause, NextAttempt.wantedIf(mRoute.allowsRerun()));
    }

    /**
     * Ends an attempt that the server answered with a server error, and starts the next one; the
     * retry was already granted.
     */
    void onServerError(ForwardAttempt attempt, String cause) {
        synchronized (this) {
            mMayHaveRun = true;
        }
        endAttempt(attempt, AttemptOutcome.FAILED, cause, NextAttempt.GRANTED);
    }

    private void endAttempt(
            ForwardAttempt attempt, AttemptOutcome outcome, String cause, NextAttempt next) {
        recordOutcome(attempt, outcome);
        synchronized (this) {
            if (mEnded || attempt != mAttempt) {
                return;
            }
            clearAttempt();
        }
        switch (next) {
            case GRANTED -> startNextOrFail(attempt, outcome, cause, true, null);
            case NONE -> startNextOrFail(attempt, outcome, cause, false, null);
            case WANTED ->
                    acquireRetry(
                            granted -> startNextOrFail(attempt, outcome, cause, granted, null));
            default -> throw new AssertionError(next);
        }
    }

    /** Forgets the current attempt, which has ended. Called with the lock held. */
    private void clearAttempt() {
        mAttempt = null;
        if (mEventFramer != null) {
            mEventFramer.discardPartial();
        }
    }

    private void startNextOrFail(
            ForwardAttempt attempt,
            AttemptOutcome outcome,
            String cause,
            boolean retry,
            @Nullable ServerChoice chosen) {
        mLog.attemptFailed(attempt, outcome, cause, retry);
        if (retry) {
            mContext.metrics().increment(MetricName.RETRIES, "", "");
            startNextAttempt(chosen);
            return;
        }
        synchronized (this) {
            if (!mEnded) {
                fail(mMayHaveRun ? ErrorKind.BACKEND_FAILED : ErrorKind.OVERLOADED, cause);
            }
        }
    }

    /**
     * Acquires one retry within the fleet's limit if the route allows another attempt.
     *
     * @param onDecided receives whether the retry is granted; the exchange may have ended by then
     */
    void acquireRetry(Consumer<Boolean> onDecided) {
        boolean allowed;
        synchronized (this) {
            allowed = !mEnded && mSentAttempts < mRoute.maxAttempts();
        }
        if (!allowed) {
            mContext.metrics().increment(MetricName.RETRIES_DENIED, "limit", "route");
            onDecided.accept(false);
            return;
        }
        mContext.acquireRetry(mService, onDecided);
    }

    /**
     * Reserves the answer to the caller for an attempt. Returns false if the exchange has ended or
     * the attempt is no longer current.
     *
     * @param mayResume whether another server can continue the answer, if the route allows it
     */
    synchronized boolean tryBeginAnswer(ForwardAttempt attempt, boolean mayResume) {
        if (mEnded || attempt != mAttempt) {
            return false;
        }
        mHeadSent = true;
        mResumable &= mayResume;
        return true;
    }

    /**
     * Reserves the answer to the caller for the whole answer of an attempt, and ends the exchange.
     * Returns false if the exchange has ended or the attempt is no longer current.
     */
    synchronized boolean tryEnd(ForwardAttempt attempt) {
        if (mEnded || attempt != mAttempt) {
            return false;
        }
        mHeadSent = true;
        markEnded();
        return true;
    }

    /** Returns whether another attempt could complete the answer before this instance stops. */
    boolean canCompleteBeforeStop() {
        return mTimeLimits.canCompleteBeforeStop(System.nanoTime());
    }

    /** Records that an attempt has delivered a whole answer, which has ended the exchange. */
    void onDelivered(ForwardAttempt attempt, int status, AttemptOutcome outcome) {
        recordOutcome(attempt, outcome);
        long wholeNanos = System.nanoTime() - mStartNanos;
        if (outcome == AttemptOutcome.SERVED) {
            mContext.state().recordWholeAnswer(mRoute, wholeNanos);
        }
        mContext.countAnswered(mRoute.name(), attempt.firstByteNanos(), wholeNanos);
        mLog.answered(attempt, status, mTriedServers.size());
    }

    private void onCallerLeft() {
        ForwardAttempt attempt;
        synchronized (this) {
            if (mEnded) {
                return;
            }
            markEnded();
            attempt = mAttempt;
        }
        mContext.countEnded("caller_left");
        mLog.ended("caller_left", attempt, mResponder.cancelReason(), mTriedServers.size());
        detachOrAbandon(attempt);
    }

    /** Ends the exchange because this instance stops. */
    void onInstanceStops() {
        ForwardAttempt attempt;
        synchronized (this) {
            if (mEnded) {
                return;
            }
            attempt = mAttempt;
            mMayHaveRun |= mSentAttempts > 0;
            failStopping();
        }
        detachOrAbandon(attempt);
    }

    /** Ends the request because this instance stops. Called with the lock held. */
    private void failStopping() {
        fail(
                mMayHaveRun ? ErrorKind.BACKEND_FAILED : ErrorKind.NOT_READY,
                ErrorText.INSTANCE_STOPS);
    }

    /** Ends an attempt whose answer nobody waits for any more. */
    private void detachOrAbandon(@Nullable ForwardAttempt attempt) {
        boolean isCommand = !mRoute.allowsRerun() && !mRoute.isStreaming();
        if (isCommand && attempt != null && attempt.isSent()) {
            // A command that is cut has an unknown effect, so the server completes it.
            attempt.detach();
            return;
        }
        abandonAttempt(attempt);
    }

    private void onDeadline() {
        ForwardAttempt attempt;
        synchronized (this) {
            if (mEnded) {
                return;
            }
            attempt = mAttempt;
            boolean mayHaveRun = mMayHaveRun || mSentAttempts > 0;
            fail(
                    mayHaveRun ? ErrorKind.BACKEND_TIMEOUT : ErrorKind.DEADLINE_UNREACHABLE,
                    "the time limit passed");
        }
        abandonAttempt(attempt);
    }

    private void abandonAttempt(@Nullable ForwardAttempt attempt) {
        if (attempt != null) {
            attempt.cancel();
            recordOutcome(attempt, AttemptOutcome.ABANDONED);
        }
    }

    private void fail(ErrorKind kind, String cause) {
        fail(kind, cause, 0);
    }

    /**
     * Sends an error to the caller, or aborts an answer that has begun. Called with the lock held.
     *
     * @param expectedMillis expected time until the cause of the error is gone
     */
    private void fail(ErrorKind kind, String cause, long expectedMillis) {
        markEnded();
        if (mHeadSent) {
            mContext.countEnded("cut");
            mLog.ended("answer_cut", mAttempt, cause, mTriedServers.size());
            mResponder.abort();
            return;
        }
        mLog.failed(kind, mAttempt, cause, mTriedServers.size());
        mContext.refuse(mResponder, kind, cause, expectedMillis);
    }

    private void markEnded() {
        mEnded = true;
        mWait.end();
        if (mDeadlineTimer != null) {
            mDeadlineTimer.cancel(false);
        }
        mContext.quarantine().removeExchange(this);
        mContext.openExchanges().remove(this);
    }
}
