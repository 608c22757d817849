package org.hemlockrack.daemon.gateway;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.answers.EventStreamFramer;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.dispatch.AttemptOutcome;
import org.hemlockrack.dispatch.PromptHash;
import org.hemlockrack.dispatch.SelectionCriteria;
import org.hemlockrack.dispatch.ServerChoice;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.Route;
import org.hemlockrack.routing.WorkspaceKeys;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller: its attempts at backend servers and its answer. Safe for use from any
 * thread; a lock of its own guards the state.
 */
final class GatewayExchange {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** Servers that may refuse a request before its caller is told; each takes a round trip. */
    private static final int MAX_REJECTIONS = 3;

    private final GatewayContext mContext;
    private final HttpCall mCall;
    private final Responder mResponder;
    private final CallerFacts mCaller;
    private final Route mRoute;
    private final @Nullable String mWorkspace;
    private final int mRank;
    private final ServiceId mService;
    private final double mDraw;
    private final long mTableVersion;
    private final long mStartNanos;
    private final long mDeadlineNanos;
    private final Set<BackendId> mTried = new HashSet<>();

    private final @Nullable EventStreamFramer mEvents;

    private @Nullable ForwardAttempt mAttempt;
    private @Nullable ScheduledFuture<?> mTimer;
    private long mProgressNanos;
    private int mArrivals;
    private int mRejections;
    private boolean mMayHaveRun;
    private boolean mHeadSent;
    private boolean mDone;

    GatewayExchange(
            GatewayContext context,
            HttpCall call,
            Responder responder,
            CallerFacts caller,
            Route route,
            @Nullable WorkspaceKeys workspace,
            long tableVersion) {
        mTableVersion = tableVersion;
        mContext = context;
        mCall = call;
        mResponder = responder;
        mCaller = caller;
        mRoute = route;
        mWorkspace = workspace == null ? null : workspace.workspace().value();
        mRank =
                workspace == null || workspace.priorityRank() < 0
                        ? route.priorityRank()
                        : workspace.priorityRank();
        mDraw = PromptHash.toUnitInterval(caller.attemptId());
        mService =
                route.chooseService(PromptHash.toUnitInterval(route.name() + caller.attemptId()));
        mStartNanos = System.nanoTime();
        long waitMillis = route.timeoutMillis();
        if (caller.waitMillis() >= 0) {
            waitMillis = Math.min(waitMillis, caller.waitMillis());
        }
        mDeadlineNanos = mStartNanos + waitMillis * NANOS_PER_MILLI;
        mEvents = route.isStreaming() && route.allowsRerun() ? EventStreamFramer.create() : null;
    }

    Route route() {
        return mRoute;
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

    @Nullable String workspace() {
        return mWorkspace;
    }

    int rank() {
        return mRank;
    }

    CallerFacts caller() {
        return mCaller;
    }

    ServiceId service() {
        return mService;
    }

    long leftMillis() {
        return (mDeadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
    }

    void start() {
        mContext.pool().onRequest(mStartNanos, mService);
        mTimer = mContext.loop().schedule(mDeadlineNanos, this::timedOut);
        mResponder.onCancel(this::callerLeft);
        tryNext();
    }

    private void tryNext() {
        ForwardAttempt attempt;
        synchronized (this) {
            if (mDone) {
                return;
            }
            long nowNanos = System.nanoTime();
            long key =
                    mRoute.prefixAffinity() ? PromptHash.ofSharedPrefix(mCaller.promptParts()) : 0;
            ServerChoice choice =
                    mContext.pool()
                            .choose(
                                    nowNanos,
                                    new SelectionCriteria(
                                            mService, key, mDraw, Set.copyOf(mTried)));
            mContext.metrics().count(MetricName.CHOICES, "reason", choice.reason().name());
            if (choice.server() == null) {
                refuseFor(choice);
                return;
            }
            mTried.add(choice.server().id());
            attempt = new ForwardAttempt(this, choice.server(), choice, nowNanos, mEvents);
            mAttempt = attempt;
            mProgressNanos = nowNanos;
            if (mRoute.allowsRerun()) {
                watch(attempt, mContext.pool().silenceNanos(mRoute));
            }
        }
        attempt.send();
    }

    /** Looks after a time whether an attempt still makes progress. */
    private void watch(ForwardAttempt attempt, long silenceNanos) {
        mContext.loop()
                .schedule(mProgressNanos + silenceNanos, () -> checkSilence(attempt, silenceNanos));
    }

    private void checkSilence(ForwardAttempt attempt, long silenceNanos) {
        synchronized (this) {
            if (mDone || attempt != mAttempt) {
                return;
            }
            if (System.nanoTime() - mProgressNanos < silenceNanos) {
                watch(attempt, silenceNanos);
                return;
            }
        }
        if (!attempt.isSent() || !canGoOn() || !retryAllowed()) {
            return;
        }
        attempt.cancel();
        String cause = "silent for " + silenceNanos / NANOS_PER_MILLI + " ms";
        synchronized (this) {
            mMayHaveRun = true;
        }
        ended(attempt, AttemptOutcome.SILENT, cause, true);
    }

    /** Returns whether another server can still give the caller one whole answer. */
    private synchronized boolean canGoOn() {
        return !mHeadSent || mEvents != null && mEvents.isResumable();
    }

    /** Passes on what may reach the caller of an attempt's stream; late bytes are dropped. */
    synchronized void passOn(ForwardAttempt attempt, ByteBuffer data) {
        if (mDone || attempt != mAttempt) {
            data.position(data.limit());
            return;
        }
        mProgressNanos = System.nanoTime();
        if (mEvents == null) {
            mResponder.write(data);
            return;
        }
        byte[] whole = mEvents.feed(data);
        if (whole.length > 0) {
            mResponder.write(ByteBuffer.wrap(whole));
        }
    }

    /** Completes the stream of an attempt. Returns false if the exchange is over. */
    synchronized boolean endStream(ForwardAttempt attempt) {
        if (mDone || attempt != mAttempt) {
            return false;
        }
        if (mEvents != null && mEvents.partialBytes() > 0) {
            mResponder.write(ByteBuffer.wrap(mEvents.takePartial()));
        }
        mResponder.end();
        return true;
    }

    /** Notes that the server of an attempt has sent something. */
    synchronized void progressed(ForwardAttempt attempt) {
        if (attempt == mAttempt) {
            mProgressNanos = System.nanoTime();
        }
    }

    synchronized boolean isHeadSent() {
        return mHeadSent;
    }

    private void refuseFor(ServerChoice choice) {
        if (mMayHaveRun) {
            fail(ErrorKind.BACKEND_FAILED, choice.reason().name());
            return;
        }
        ErrorKind kind =
                choice.reason() == ServerChoice.Reason.NO_SERVER
                        ? ErrorKind.NO_BACKEND
                        : ErrorKind.OVERLOADED;
        fail(kind, choice.reason().name());
    }

    /** Called by an attempt before its first byte goes out. */
    synchronized boolean onSending(ForwardAttempt attempt) {
        if (mDone || attempt != mAttempt || leftMillis() <= 0) {
            return false;
        }
        mArrivals++;
        return true;
    }

    /** Ends an attempt whose request has certainly not run. */
    void notRun(ForwardAttempt attempt, AttemptOutcome outcome, String cause) {
        boolean arrived =
                outcome == AttemptOutcome.REJECTED || outcome == AttemptOutcome.MISDIRECTED;
        if (!arrived) {
            ended(attempt, outcome, cause, true);
            return;
        }
        boolean fewRejections;
        synchronized (this) {
            // The route limits attempts that may have run; the fleet's budget counts this one too.
            mArrivals--;
            mRejections++;
            fewRejections = mRejections <= MAX_REJECTIONS;
        }
        ended(attempt, outcome, cause, fewRejections && retryAllowed());
    }

    /** Ends an attempt whose request may have run, without an answer for the caller. */
    void mayHaveRun(ForwardAttempt attempt, AttemptOutcome outcome, String cause) {
        synchronized (this) {
            mMayHaveRun = true;
        }
        ended(attempt, outcome, cause, mRoute.allowsRerun() && retryAllowed());
    }

    /** Ends an attempt that the server answered with a failure; the retry was granted already. */
    void failedAnswer(ForwardAttempt attempt, String cause) {
        synchronized (this) {
            mMayHaveRun = true;
        }
        ended(attempt, AttemptOutcome.FAILED, cause, true);
    }

    private void ended(
            ForwardAttempt attempt, AttemptOutcome outcome, String cause, boolean again) {
        Registration server = attempt.server();
        mContext.pool().finished(System.nanoTime(), server.id(), outcome);
        synchronized (this) {
            if (mDone || attempt != mAttempt) {
                return;
            }
            mAttempt = null;
            if (mEvents != null) {
                mEvents.discardPartial();
            }
        }
        mContext.log()
                .request("attempt_failed", mCaller.attemptId())
                .put("route", mRoute.name())
                .put("server", server.id().value())
                .put("outcome", outcome.name())
                .put("cause", cause)
                .put("load", attempt.choice().load())
                .put("elapsed_ms", elapsedMillis())
                .put("again", again ? "yes" : "no")
                .write();
        if (again) {
            mContext.metrics().count(MetricName.RETRIES, "", "");
            tryNext();
            return;
        }
        synchronized (this) {
            if (!mDone) {
                fail(mMayHaveRun ? ErrorKind.BACKEND_FAILED : ErrorKind.OVERLOADED, cause);
            }
        }
    }

    /**
     * Returns whether one more arrival at a server is within the route's and the fleet's limits.
     */
    boolean retryAllowed() {
        synchronized (this) {
            if (mDone) {
                return false;
            }
            if (mArrivals >= mRoute.maxAttempts()) {
                mContext.metrics().count(MetricName.RETRIES_DENIED, "limit", "route");
                return false;
            }
        }
        boolean granted = mContext.pool().tryRetry(System.nanoTime(), mService);
        if (!granted) {
            mContext.metrics().count(MetricName.RETRIES_DENIED, "limit", "fleet");
        }
        return granted;
    }

    /** Takes the right to answer the caller. Returns false if the exchange is over. */
    synchronized boolean beginAnswer(ForwardAttempt attempt) {
        if (mDone || attempt != mAttempt) {
            return false;
        }
        mHeadSent = true;
        return true;
    }

    /** Ends the exchange after an attempt has delivered an answer. */
    void delivered(ForwardAttempt attempt, int status, AttemptOutcome outcome) {
        mContext.pool().finished(System.nanoTime(), attempt.server().id(), outcome);
        synchronized (this) {
            if (mDone) {
                return;
            }
            mDone = true;
            cancelTimer();
        }
        mContext.answered(mRoute.name(), attempt.firstByteNanos(), System.nanoTime() - mStartNanos);
        long elapsedMillis = elapsedMillis();
        boolean late = attempt.firstByteMillis() > mRoute.targetLatencyMillis();
        if (status < 400 && !late && mTried.size() == 1 && !mContext.log().sampled()) {
            return;
        }
        mContext.log()
                .request(late ? "answered_late" : "answered", mCaller.attemptId())
                .put("route", mRoute.name())
                .put("workspace", mWorkspace)
                .put("server", attempt.server().id().value())
                .put("why", attempt.choice().reason().name())
                .put("load", attempt.choice().load())
                .put("candidates", attempt.choice().candidates())
                .put("table", mTableVersion)
                .put("status", status)
                .put("attempts", mTried.size())
                .put("first_byte_ms", attempt.firstByteMillis())
                .put("elapsed_ms", elapsedMillis)
                .write();
    }

    /** Ends an attempt whose stream broke off; it goes on elsewhere or the answer is cut. */
    void cut(ForwardAttempt attempt, AttemptOutcome outcome, String cause) {
        ended(attempt, outcome, cause, canGoOn() && retryAllowed());
    }

    private void logEnd(String event, @Nullable String server, String cause) {
        mContext.log()
                .request(event, mCaller.attemptId())
                .put("route", mRoute.name())
                .put("workspace", mWorkspace)
                .put("server", server)
                .put("cause", cause)
                .put("table", mTableVersion)
                .put("attempts", mTried.size())
                .put("elapsed_ms", elapsedMillis())
                .write();
    }

    private void callerLeft() {
        ForwardAttempt attempt;
        synchronized (this) {
            if (mDone) {
                return;
            }
            mDone = true;
            cancelTimer();
            attempt = mAttempt;
        }
        mContext.ended("caller_left");
        logEnd("caller_left", attempt == null ? null : attempt.server().id().value(), "");
        abandon(attempt);
    }

    private void timedOut() {
        ForwardAttempt attempt;
        synchronized (this) {
            if (mDone) {
                return;
            }
            attempt = mAttempt;
            boolean sent = mMayHaveRun || mArrivals > 0;
            fail(
                    sent ? ErrorKind.BACKEND_TIMEOUT : ErrorKind.DEADLINE_UNREACHABLE,
                    "the time limit passed");
        }
        abandon(attempt);
    }

    private void abandon(@Nullable ForwardAttempt attempt) {
        if (attempt != null) {
            attempt.cancel();
            mContext.pool()
                    .finished(System.nanoTime(), attempt.server().id(), AttemptOutcome.ABANDONED);
        }
    }

    /** Sends a failure of this gateway's own, or cuts a begun answer. Called with the lock held. */
    private void fail(ErrorKind kind, String cause) {
        mDone = true;
        cancelTimer();
        String server = mAttempt == null ? null : mAttempt.server().id().value();
        if (mHeadSent) {
            mContext.ended("cut");
            logEnd("answer_cut", server, cause);
            mResponder.abort();
            return;
        }
        logEnd("failed_" + kind.name().toLowerCase(Locale.ROOT), server, cause);
        mContext.refuse(mResponder, kind, cause);
    }

    private void cancelTimer() {
        ScheduledFuture<?> timer = mTimer;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    long elapsedMillis() {
        return (System.nanoTime() - mStartNanos) / NANOS_PER_MILLI;
    }
}
