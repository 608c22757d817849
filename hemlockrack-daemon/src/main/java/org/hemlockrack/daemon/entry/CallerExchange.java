package org.hemlockrack.daemon.entry;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import org.hemlockrack.admission.WaitMode;
import org.hemlockrack.answers.AnswerEvent;
import org.hemlockrack.answers.AnswerOutput;
import org.hemlockrack.answers.AnswerSettings;
import org.hemlockrack.answers.AnswerTracker;
import org.hemlockrack.answers.Header;
import org.hemlockrack.burn.LatencySample;
import org.hemlockrack.burn.MissContext;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.owner.AnswerListener;
import org.hemlockrack.daemon.owner.ForwardingMetadata;
import org.hemlockrack.daemon.owner.RunningAttempt;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.placement.PlacementChoice;
import org.hemlockrack.retry.RetryPolicy;
import org.jspecify.annotations.Nullable;

/**
 * One caller's request from acceptance to the end of its answer. Attempts are started on the loop;
 * answer bytes pass through the tracker on I/O threads under this object's lock.
 */
final class CallerExchange {
    /** Refusals by owners cost no engine work, so only the deadline bounds them. */
    private static final int MAX_ATTEMPTS = 1_000;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /** Attempts that may have cost engine work. */
    private static final int MAX_RUNS = 3;

    /** Pause before all choices are tried again while a new owner waits for its lease. */
    private static final long OWNER_WAIT_NANOS = 100 * 1_000_000L;

    private final long mStartNanos = System.nanoTime();
    private final EntryService mService;
    private final Loop mLoop;
    private final CallerRequest mRequest;
    private final Responder mResponder;
    private final AnswerTracker mTracker;
    private final RequestTimes mTimes = new RequestTimes(System.nanoTime());
    private final Set<BackendId> mExcluded = new HashSet<>();
    private final AnswerRecord mRecord = AnswerRecord.create();

    /** Servers that stopped to take work since this request saw them as choices. */
    private final Set<BackendId> mStopped = new HashSet<>();

    private ClaimGate.@Nullable Ticket mTicket;
    private @Nullable ScheduledFuture<?> mDeadline;
    private volatile @Nullable RunningAttempt mAttempt;
    private @Nullable PlacementChoice mChoice;
    private @Nullable PlacementChoice mFirstChoice;
    private int mAttemptNumber;
    private int mRuns;
    private int mHeldBytes;
    private ErrorKind mLastRefusal = ErrorKind.NO_BACKEND;
    private long mRetryAfterMillis;
    private boolean mQueued;
    private boolean mClosed;
    private boolean mComplete;
    private boolean mCallerGone;
    private volatile boolean mServerError;

    CallerExchange(EntryService service, Loop loop, CallerRequest request, Responder responder) {
        mService = service;
        mLoop = loop;
        mRequest = request;
        mResponder = responder;
        AnswerSettings defaults = AnswerSettings.defaults();
        mTracker =
                AnswerTracker.create(
                        new AnswerSettings(
                                defaults.maxEventBytes(),
                                defaults.maxBufferedBytes(),
                                MAX_ATTEMPTS),
                        request.kind(),
                        !request.call().method().equals("HEAD"));
    }

    CallerRequest request() {
        return mRequest;
    }

    void start() {
        mResponder.onDrain(bytes -> releaseHeld());
        mResponder.onCancel(() -> mLoop.execute(this::callerGone));
        mDeadline = mLoop.schedule(mRequest.deadlineNanos(), this::deadlinePassed);
        boolean claimed = !mRequest.kind().isIdempotent() && mRequest.idempotencyKey() != null;
        if (claimed) {
            mService.claims().claim(mRequest, new ClaimDecision());
            return;
        }
        nextAttempt(null);
    }

    /** Continues once the claim of an idempotency key is decided. */
    private final class ClaimDecision implements ClaimGate.Decision {
        @Override
        public void granted(ClaimGate.Ticket ticket) {
            mTicket = ticket;
            if (mClosed) {
                ticket.notRun();
                return;
            }
            nextAttempt(null);
        }

        @Override
        public void replay(int status, List<HeaderField> headers, byte @Nullable [] body) {
            List<HeaderField> all = new ArrayList<>(headers);
            all.add(HeaderField.of("Idempotency-Replayed", "true"));
            mResponder.send(status, all, body == null ? new byte[0] : body);
            close();
        }

        @Override
        public void refused(ErrorKind kind, RunState ran, String message) {
            mResponder.sendError(kind, ran, message, kind.isRetryable() ? 1_000 : 0);
            close();
        }
    }

    private void nextAttempt(@Nullable String lastEventId) {
        if (mClosed) {
            return;
        }
        Optional<PlacementChoice> choice = nextChoice(lastEventId != null);
        if (choice.isEmpty()) {
            if (!awaitOwner()) {
                giveUp();
            }
            return;
        }
        mChoice = choice.get();
        if (mFirstChoice == null) {
            mFirstChoice = mChoice;
        }
        mExcluded.add(mChoice.backend());
        mAttemptNumber++;
        if (mAttemptNumber > 1) {
            mService.metrics().count(MetricName.RETRIES, "", "");
        }
        String attemptId = mRequest.id() + "." + mAttemptNumber;
        int number = mAttemptNumber;
        synchronized (this) {
            mTimes.attemptStarted(mLoop.nowNanos());
        }
        feed(new AnswerEvent.AttemptStarted(number, attemptId));
        WaitMode waitMode = mQueued ? WaitMode.MAY_QUEUE : WaitMode.TRY_ONLY;
        HttpCall call = attemptCall(mChoice, lastEventId);
        Optional<RunningAttempt> attempt =
                mService.attempt(
                        mRequest, call, mChoice, attemptId, waitMode, new Listener(number));
        if (attempt.isEmpty()) {
            refused(number, ErrorKind.NOT_OWNER, 0);
            return;
        }
        mAttempt = attempt.get();
        releaseHeld();
    }

    private Optional<PlacementChoice> nextChoice(boolean resume) {
        if (resume && mChoice != null) {
            return Optional.of(mChoice);
        }
        List<PlacementChoice> choices = mService.choose(mRequest, mExcluded);
        if (!choices.isEmpty()) {
            return Optional.of(choices.get(0));
        }
        boolean mayQueue = mLastRefusal == ErrorKind.OVERLOADED && !mQueued;
        if (!mayQueue || mFirstChoice == null) {
            return Optional.empty();
        }
        mQueued = true;
        return Optional.of(mFirstChoice);
    }

    /** Tries all choices again after a pause, if they were refused only for want of an owner. */
    private boolean awaitOwner() {
        boolean wanting =
                mLastRefusal == ErrorKind.NOT_OWNER || mLastRefusal == ErrorKind.NOT_READY;
        long againNanos = mLoop.nowNanos() + OWNER_WAIT_NANOS;
        if (!wanting || againNanos - mRequest.firstByteDeadlineNanos() >= 0) {
            return false;
        }
        chooseAnew();
        mLoop.schedule(againNanos, () -> nextAttempt(null));
        return true;
    }

    private void chooseAnew() {
        mExcluded.clear();
        mExcluded.addAll(mStopped);
    }

    /** A request that waited in the queue of a server that leaves must find another queue. */
    private void stoppedTakingWork() {
        if (mChoice != null && mStopped.add(mChoice.backend())) {
            mQueued = false;
            mFirstChoice = null;
            chooseAnew();
        }
    }

    private HttpCall attemptCall(PlacementChoice choice, @Nullable String lastEventId) {
        HttpCall call = mRequest.call();
        List<HeaderField> headers = new ArrayList<>(call.headers());
        headers.add(
                HeaderField.of(ForwardingMetadata.MODEL_VERSION, choice.modelVersion().version()));
        if (lastEventId != null) {
            headers.add(HeaderField.of("Last-Event-ID", lastEventId));
        }
        return new HttpCall(call.method(), call.path(), call.query(), headers, call.body());
    }

    private void giveUp() {
        boolean wanting =
                mLastRefusal == ErrorKind.NOT_OWNER || mLastRefusal == ErrorKind.NOT_READY;
        feed(new AnswerEvent.GaveUp(wanting ? ErrorKind.NO_BACKEND : mLastRefusal));
    }

    private void refused(int number, ErrorKind kind, long retryAfterMillis) {
        mLastRefusal = kind;
        mRetryAfterMillis = retryAfterMillis;
        if (kind == ErrorKind.NO_BACKEND) {
            stoppedTakingWork();
        }
        feed(new AnswerEvent.AttemptFailed(number, kind));
    }

    private void feed(AnswerEvent event) {
        List<AnswerOutput> outputs = new ArrayList<>();
        synchronized (this) {
            mTracker.onEvent(System.nanoTime(), event, outputs::add);
            outputs.forEach(this::forward);
        }
        outputs.forEach(this::followUp);
    }

    /** Passes answer parts on in order; called under the lock. */
    private void forward(AnswerOutput output) {
        if (output instanceof AnswerOutput.ForwardHead head) {
            forwardHead(head);
        } else if (output instanceof AnswerOutput.ForwardBytes bytes) {
            if (mTicket != null) {
                record(bytes.bytes());
            } else {
                mResponder.write(ByteBuffer.wrap(bytes.bytes()));
            }
        } else if (output instanceof AnswerOutput.FailStream failed) {
            mResponder.write(ByteBuffer.wrap(failed.eventBytes()));
            mResponder.end();
        } else if (output instanceof AnswerOutput.Abort aborted) {
            abort(aborted);
        }
    }

    private void record(byte[] bytes) {
        if (!mRecord.append(bytes)) {
            mLoop.execute(this::recordTooLarge);
        }
    }

    /** Ends a command that has run and whose answer is too large to keep. */
    private void recordTooLarge() {
        if (mClosed) {
            return;
        }
        cancelAttempt();
        String message =
                String.format(ErrorText.ANSWER_RECORD_TOO_LARGE, AnswerRecord.MAX_BODY_BYTES);
        mResponder.sendError(ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN, message, 0);
        ended(ErrorKind.OUTCOME_UNKNOWN, message);
    }

    private void abort(AnswerOutput.Abort aborted) {
        if (mTicket != null) {
            // Nothing of a command's answer was passed on yet, so the caller can be told.
            mResponder.sendError(aborted.kind(), RunState.UNKNOWN, aborted.message(), 0);
            return;
        }
        mResponder.abort();
    }

    private void forwardHead(AnswerOutput.ForwardHead head) {
        mService.metrics().record(MetricName.FIRST_BYTE, mLoop.nowNanos() - mStartNanos);
        List<HeaderField> headers = new ArrayList<>();
        long lengthBytes = Responder.UNKNOWN_LENGTH;
        for (Header header : head.headers()) {
            HeaderField field = HeaderField.of(header.name(), header.value());
            if (field.is("Content-Length")) {
                lengthBytes = Long.parseLong(field.value().trim());
            }
            if (!ForwardingMetadata.isInternal(field)
                    && !field.is(ForwardingMetadata.REQUEST_ID)
                    && !field.isHopByHop()) {
                headers.add(field);
            }
        }
        if (mTicket != null) {
            mRecord.head(head.status(), headers);
            return;
        }
        headers.add(HeaderField.of(ForwardingMetadata.REQUEST_ID, mRequest.id()));
        mResponder.head(head.status(), headers, lengthBytes);
    }

    /** Acts on outputs that start or end something; moves to the loop. */
    private void followUp(AnswerOutput output) {
        if (output instanceof AnswerOutput.Complete) {
            completed();
        } else if (output instanceof AnswerOutput.Resume resume) {
            mLoop.execute(() -> again(resume.cause(), Long.toString(resume.lastEventId())));
        } else if (output instanceof AnswerOutput.Rerun rerun) {
            mLoop.execute(() -> again(rerun.cause(), null));
        } else if (output instanceof AnswerOutput.Fail failed) {
            mLoop.execute(() -> fail(failed));
        } else if (output instanceof AnswerOutput.FailStream failed) {
            mLoop.execute(() -> ended(failed.kind(), "stream ended with an error event"));
        } else if (output instanceof AnswerOutput.Abort aborted) {
            mLoop.execute(() -> ended(aborted.kind(), aborted.message()));
        }
    }

    private void countEnd(String outcome) {
        mService.metrics().count(MetricName.REQUESTS, "kind", outcome);
        mService.metrics().record(MetricName.WHOLE, mLoop.nowNanos() - mStartNanos);
    }

    private void completed() {
        mLoop.execute(
                () -> {
                    mComplete = true;
                    if (mChoice != null) {
                        mService.served(mRequest, mChoice);
                    }
                    countEnd("OK");
                    if (mTicket != null) {
                        recordThenAnswer(mTicket);
                        return;
                    }
                    mResponder.end();
                    close();
                });
    }

    /** A caller that saw the answer can repeat the command anywhere and gets the same answer. */
    private void recordThenAnswer(ClaimGate.Ticket ticket) {
        if (mClosed) {
            return;
        }
        mTicket = null;
        byte[] body = mRecord.body();
        List<HeaderField> headers = new ArrayList<>(mRecord.headers());
        headers.add(HeaderField.of(ForwardingMetadata.REQUEST_ID, mRequest.id()));
        ticket.finished(
                mRecord.status(),
                mRecord.headers(),
                body,
                () -> {
                    mResponder.send(mRecord.status(), headers, body);
                    close();
                });
    }

    private void again(ErrorKind cause, @Nullable String lastEventId) {
        if (mClosed) {
            return;
        }
        cancelAttempt();
        noteFailure(cause);
        boolean free = RetryPolicy.of(cause) == RetryPolicy.REFUSED;
        if (!free) {
            mRuns++;
        }
        boolean spent = mRuns >= MAX_RUNS;
        if (spent || !free && !mService.budget(mRequest.service()).tryTake(mLoop.nowNanos())) {
            mLastRefusal = cause;
            giveUp();
            return;
        }
        nextAttempt(lastEventId);
    }

    private void noteFirst(long firstNanos) {
        if (mChoice != null) {
            mService.observer().onFirstByte(mRequest, mChoice, firstNanos);
        }
    }

    private void noteFailure(ErrorKind cause) {
        boolean atBackend = cause.runState() != RunState.NOT_RUN;
        if (atBackend && mChoice != null) {
            mService.observer().onBackendFailed(mRequest, mChoice);
        }
    }

    /** A refusal before dispatch has no answer that could have ended, so it needs its own text. */
    private String failureText(AnswerOutput.Fail failed) {
        return switch (failed.kind()) {
            case NO_BACKEND -> String.format(ErrorText.NO_BACKEND, mRequest.service());
            case OVERLOADED -> ErrorText.OVERLOADED;
            case DEADLINE_UNREACHABLE -> ErrorText.DEADLINE_UNREACHABLE;
            default -> failed.message();
        };
    }

    private void fail(AnswerOutput.Fail failed) {
        noteFailure(failed.kind());
        String message = failureText(failed);
        if (mTicket != null) {
            if (failed.runState() == RunState.NOT_RUN) {
                mTicket.notRun();
            } else {
                mTicket.unknown();
            }
            mTicket = null;
        }
        mService.metrics().count(MetricName.REFUSALS, "kind", failed.kind().name());
        mResponder.sendError(failed.kind(), failed.runState(), message, mRetryAfterMillis);
        ended(failed.kind(), message);
    }

    private void ended(ErrorKind kind, String message) {
        countEnd(kind.name());
        if (mTicket != null) {
            mTicket.unknown();
            mTicket = null;
        }
        if (kind.runState() != RunState.NOT_RUN) {
            mService.log().log(
                    LogEvent.REQUEST_FAILED,
                    "request %s of workspace %s: %s: %s",
                    mRequest.id(),
                    mRequest.workspace(),
                    kind,
                    message);
        }
        close();
    }

    private void deadlinePassed() {
        if (mClosed) {
            return;
        }
        int number = mAttemptNumber;
        cancelAttempt();
        mLastRefusal = ErrorKind.BACKEND_TIMEOUT;
        if (number == 0) {
            mResponder.sendError(
                    ErrorKind.DEADLINE_UNREACHABLE,
                    "the deadline passed before the first attempt",
                    0);
            close();
            return;
        }
        feed(new AnswerEvent.AttemptFailed(number, ErrorKind.BACKEND_TIMEOUT));
        feed(new AnswerEvent.GaveUp(ErrorKind.BACKEND_TIMEOUT));
    }

    private void callerGone() {
        if (mClosed) {
            return;
        }
        mCallerGone = true;
        cancelAttempt();
        if (mTicket != null) {
            mTicket.unknown();
            mTicket = null;
        }
        close();
    }

    private void cancelAttempt() {
        RunningAttempt attempt = mAttempt;
        mAttempt = null;
        if (attempt != null) {
            attempt.cancel();
        }
    }

    private void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        if (!mCallerGone) {
            report();
        }
        if (mDeadline != null) {
            // The timer would hold the whole exchange in memory until the caller's deadline.
            mDeadline.cancel(false);
        }
        mService.closed(this);
    }

    private void report() {
        long nowNanos = mLoop.nowNanos();
        LatencySample sample;
        MissContext facts;
        synchronized (this) {
            sample = mTimes.sample(nowNanos, mComplete && !mServerError);
            boolean atBackend = mChoice != null && sample.firstTokenMillis().isPresent();
            facts =
                    new MissContext(
                            !atBackend && !mComplete,
                            mChoice != null && mService.outOfZone(mRequest),
                            false,
                            mChoice != null && mService.isNew(mChoice),
                            mTimes.waitedNanos(),
                            mTimes.totalNanos(nowNanos),
                            atBackend);
        }
        mService.observer().onFinished(mRequest, sample, facts);
    }

    private void releaseHeld() {
        RunningAttempt attempt = mAttempt;
        if (attempt == null) {
            return;
        }
        int bytes;
        synchronized (this) {
            // Unreleased and queued bytes together never exceed the window.
            bytes = Math.max(0, mHeldBytes - mResponder.queuedBytes());
            mHeldBytes -= bytes;
        }
        if (bytes > 0) {
            attempt.release(bytes);
        }
    }

    /** Feeds the tracker from one attempt. */
    private final class Listener implements AnswerListener {
        private final int mNumber;

        Listener(int number) {
            mNumber = number;
        }

        @Override
        public void onRefused(ErrorKind kind, long retryAfterMillis) {
            mLoop.execute(() -> refused(mNumber, kind, retryAfterMillis));
        }

        @Override
        public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
            List<Header> copied = new ArrayList<>();
            for (HeaderField field : headers) {
                copied.add(new Header(field.name(), field.value()));
            }
            if (status >= FIRST_SERVER_ERROR_STATUS) {
                mServerError = true;
                mLoop.execute(() -> noteFailure(ErrorKind.BACKEND_FAILED));
            }
            feed(new AnswerEvent.HeadReceived(mNumber, status, copied));
        }

        @Override
        public void onBody(ByteBuffer data) {
            byte[] bytes = new byte[data.remaining()];
            data.get(bytes);
            feed(new AnswerEvent.BodyReceived(mNumber, bytes));
            OptionalLong firstNanos;
            synchronized (CallerExchange.this) {
                mHeldBytes += bytes.length;
                firstNanos = mTimes.received(System.nanoTime());
            }
            if (firstNanos.isPresent() && !mServerError) {
                mLoop.execute(() -> noteFirst(firstNanos.getAsLong()));
            }
            releaseHeld();
        }

        @Override
        public void onEnd() {
            feed(new AnswerEvent.EndReceived(mNumber));
        }

        @Override
        public void onFailed(ErrorKind kind, String message, boolean mayHaveRun) {
            ErrorKind seen = mayHaveRun ? kind : ErrorKind.NOT_READY;
            mLoop.execute(
                    () -> {
                        mLastRefusal = seen;
                        feed(new AnswerEvent.AttemptFailed(mNumber, seen));
                    });
        }
    }
}
