package org.hemlockrack.daemon.entry;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.owner.AnswerListener;
import org.hemlockrack.daemon.owner.ForwardingMetadata;
import org.hemlockrack.daemon.owner.RunningAttempt;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.placement.PlacementChoice;
import org.hemlockrack.retry.RetryPolicy;
import org.jspecify.annotations.Nullable;

/**
 * Handles one caller's request from acceptance to the end of its answer. Attempts are started on
 * the loop; answer bytes pass through the {@link AnswerTracker} on I/O threads under this object's
 * lock.
 */
final class CallerExchange {
    /**
     * High enough that in practice only the deadline ends a request: refusals by owners cost no
     * work at backend servers.
     */
    private static final int MAX_ATTEMPTS = 1_000;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /** Pause before all choices are tried again while a new owner waits for its lease. */
    private static final long OWNER_WAIT_NANOS = 100 * 1_000_000L;

    private final long mStartNanos = System.nanoTime();
    private final EntryService mService;
    private final EventLoop mLoop;
    private final CallerRequest mRequest;
    private final Responder mResponder;
    private final AnswerTracker mTracker;
    private final RequestTimings mTimings = new RequestTimings(System.nanoTime());
    private final AttemptHistory mAttempts = AttemptHistory.create();
    private final AnswerBuffer mAnswerBuffer = AnswerBuffer.create();

    private ClaimGate.@Nullable Ticket mTicket;
    private @Nullable ScheduledFuture<?> mDeadlineTimer;
    private volatile @Nullable RunningAttempt mAttempt;
    private int mAttemptNumber;
    private int mUnreleasedBytes;
    private long mRetryAfterMillis;
    private boolean mClosed;
    private boolean mComplete;
    private boolean mCallerGone;
    private boolean mInstanceStops;
    private volatile boolean mServerError;

    CallerExchange(
            EntryService service, EventLoop loop, CallerRequest request, Responder responder) {
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
        mResponder.onDrain(bytes -> releaseWrittenBytes());
        mResponder.onCancel(() -> mLoop.execute(this::onCallerGone));
        mDeadlineTimer = mLoop.scheduleAt(mRequest.deadlineNanos(), this::onDeadline);
        boolean needsClaim = !mRequest.kind().isIdempotent() && mRequest.idempotencyKey() != null;
        if (needsClaim) {
            mService.claims().claim(mRequest, new ClaimCallback());
            return;
        }
        startNextAttempt(null);
    }

    /** Continues the request once the claim of its idempotency key is decided. */
    private final class ClaimCallback implements ClaimGate.Callback {
        @Override
        public void onGranted(ClaimGate.Ticket ticket) {
            mTicket = ticket;
            if (mClosed) {
                ticket.markNotRun();
                return;
            }
            startNextAttempt(null);
        }

        @Override
        public void onReplay(int status, List<HeaderField> headers, byte @Nullable [] body) {
            if (mClosed) {
                return;
            }
            List<HeaderField> all = new ArrayList<>(headers);
            all.add(HeaderField.of("Idempotency-Replayed", "true"));
            mResponder.send(status, all, body == null ? new byte[0] : body);
            close();
        }

        @Override
        public void onRefused(ErrorKind kind, RunState ran, String message) {
            if (mClosed) {
                return;
            }
            mResponder.sendError(kind, ran, message, kind.isRetryable() ? 1_000 : 0);
            close();
        }
    }

    private void startNextAttempt(@Nullable String lastEventId) {
        if (mClosed) {
            return;
        }
        Optional<PlacementChoice> next =
                mAttempts.chooseNext(
                        lastEventId != null, excluded -> mService.choose(mRequest, excluded));
        if (next.isEmpty()) {
            if (!scheduleOwnerRetry()) {
                giveUp();
            }
            return;
        }
        PlacementChoice choice = next.get();
        mAttemptNumber++;
        if (mAttemptNumber > 1) {
            mService.metrics().increment(MetricName.RETRIES, "", "");
        }
        String attemptId = mRequest.id() + "." + mAttemptNumber;
        int number = mAttemptNumber;
        synchronized (this) {
            mTimings.recordAttemptStart(mLoop.nowNanos());
        }
        processEvent(new AnswerEvent.AttemptStarted(number, attemptId));
        WaitMode waitMode = mAttempts.isQueueing() ? WaitMode.MAY_QUEUE : WaitMode.TRY_ONLY;
        HttpCall call = createAttemptCall(choice, lastEventId);
        Optional<RunningAttempt> attempt =
                mService.startAttempt(
                        mRequest, call, choice, attemptId, waitMode, new Listener(number));
        if (attempt.isEmpty()) {
            onAttemptRefused(number, ErrorKind.NOT_OWNER, 0);
            return;
        }
        mAttempt = attempt.get();
        releaseWrittenBytes();
    }

    /**
     * Schedules a new attempt, with all servers as candidates again that have not stopped taking
     * work, if the last refusal was for lack of a ready owner. Returns false if it was not, or if
     * the first byte is due before that attempt.
     */
    private boolean scheduleOwnerRetry() {
        long retryNanos = mLoop.nowNanos() + OWNER_WAIT_NANOS;
        if (!mAttempts.lacksOwner() || retryNanos - mRequest.firstByteDeadlineNanos() >= 0) {
            return false;
        }
        mAttempts.resetExcludedServers();
        mLoop.scheduleAt(retryNanos, () -> startNextAttempt(null));
        return true;
    }

    private HttpCall createAttemptCall(PlacementChoice choice, @Nullable String lastEventId) {
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
        processEvent(new AnswerEvent.GaveUp(mAttempts.finalError()));
    }

    private void onAttemptRefused(int number, ErrorKind kind, long retryAfterMillis) {
        mAttempts.recordRefusal(kind);
        mRetryAfterMillis = retryAfterMillis;
        processEvent(new AnswerEvent.AttemptFailed(number, kind));
    }

    private void processEvent(AnswerEvent event) {
        List<AnswerOutput> outputs = new ArrayList<>();
        synchronized (this) {
            mTracker.onEvent(System.nanoTime(), event, outputs::add);
            outputs.forEach(this::writeOutput);
        }
        outputs.forEach(this::handleControlOutput);
    }

    /** Writes parts of the answer in order. Called with the lock held. */
    private void writeOutput(AnswerOutput output) {
        if (output instanceof AnswerOutput.ForwardHead head) {
            forwardHead(head);
        } else if (output instanceof AnswerOutput.ForwardBytes bytes) {
            if (mTicket != null) {
                bufferBody(bytes.bytes());
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

    private void bufferBody(byte[] bytes) {
        if (!mAnswerBuffer.append(bytes)) {
            mLoop.execute(this::failAnswerTooLarge);
        }
    }

    /** Ends a command that has run and whose answer is too large to be recorded. */
    private void failAnswerTooLarge() {
        if (mClosed) {
            return;
        }
        cancelAttempt();
        String message =
                String.format(ErrorText.ANSWER_RECORD_TOO_LARGE, AnswerBuffer.MAX_BODY_BYTES);
        mResponder.sendError(ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN, message, 0);
        closeAfterFailure(ErrorKind.OUTCOME_UNKNOWN, message);
    }

    private void abort(AnswerOutput.Abort aborted) {
        if (mTicket != null) {
            // Nothing of a command's answer was sent yet, so the caller can still get an error.
            mResponder.sendError(aborted.kind(), RunState.UNKNOWN, aborted.message(), 0);
            return;
        }
        mResponder.abort();
    }

    private void forwardHead(AnswerOutput.ForwardHead head) {
        mService.metrics().recordDuration(MetricName.FIRST_BYTE, mLoop.nowNanos() - mStartNanos);
        List<HeaderField> headers = new ArrayList<>();
        long lengthBytes = Responder.UNKNOWN_LENGTH;
        for (Header header : head.headers()) {
            HeaderField field = HeaderField.of(header.name(), header.value());
            if (field.hasName("Content-Length")) {
                lengthBytes = Long.parseLong(field.value().trim());
            }
            if (!ForwardingMetadata.isInternal(field)
                    && !field.hasName(ForwardingMetadata.REQUEST_ID)
                    && !field.isHopByHop()) {
                headers.add(field);
            }
        }
        if (mTicket != null) {
            mAnswerBuffer.setHead(head.status(), headers);
            return;
        }
        headers.add(HeaderField.of(ForwardingMetadata.REQUEST_ID, mRequest.id()));
        mResponder.sendHead(head.status(), headers, lengthBytes);
    }

    /** Handles outputs that end the answer or need another attempt, on the loop. */
    private void handleControlOutput(AnswerOutput output) {
        if (output instanceof AnswerOutput.Complete) {
            onCompleted();
        } else if (output instanceof AnswerOutput.Resume resume) {
            mLoop.execute(() -> retryOrGiveUp(resume.cause(), Long.toString(resume.lastEventId())));
        } else if (output instanceof AnswerOutput.Rerun rerun) {
            mLoop.execute(() -> retryOrGiveUp(rerun.cause(), null));
        } else if (output instanceof AnswerOutput.Fail failed) {
            mLoop.execute(() -> fail(failed));
        } else if (output instanceof AnswerOutput.FailStream failed) {
            mLoop.execute(
                    () -> closeAfterFailure(failed.kind(), "stream ended with an error event"));
        } else if (output instanceof AnswerOutput.Abort aborted) {
            mLoop.execute(() -> closeAfterFailure(aborted.kind(), aborted.message()));
        }
    }

    private void countOutcome(String outcome) {
        mService.metrics().increment(MetricName.REQUESTS, "kind", outcome);
        mService.metrics()
                .recordDuration(MetricName.REQUEST_DURATION, mLoop.nowNanos() - mStartNanos);
    }

    private void onCompleted() {
        mLoop.execute(
                () -> {
                    mComplete = true;
                    PlacementChoice choice = mAttempts.choice();
                    if (choice != null) {
                        mService.recordServed(mRequest, choice);
                    }
                    countOutcome("OK");
                    if (mTicket != null) {
                        recordThenSend(mTicket);
                        return;
                    }
                    mResponder.end();
                    close();
                });
    }

    /**
     * Records the answer before it is sent, so that a caller that has received it gets the same
     * answer when it repeats the command at any instance. If the recording takes too long, the
     * answer is sent without waiting for it.
     */
    private void recordThenSend(ClaimGate.Ticket ticket) {
        if (mClosed) {
            return;
        }
        mTicket = null;
        ticket.recordAnswer(
                mAnswerBuffer.status(),
                mAnswerBuffer.headers(),
                mAnswerBuffer.body(),
                this::sendBufferedAnswer);
        if (mInstanceStops) {
            sendBufferedAnswer();
        }
    }

    private void sendBufferedAnswer() {
        if (mClosed) {
            return;
        }
        List<HeaderField> headers = new ArrayList<>(mAnswerBuffer.headers());
        headers.add(HeaderField.of(ForwardingMetadata.REQUEST_ID, mRequest.id()));
        mResponder.send(mAnswerBuffer.status(), headers, mAnswerBuffer.body());
        close();
    }

    private void retryOrGiveUp(ErrorKind cause, @Nullable String lastEventId) {
        if (mClosed) {
            return;
        }
        cancelAttempt();
        reportBackendFailure(cause);
        boolean mayRepeat = mAttempts.mayRepeat(cause);
        boolean needsBudget = RetryPolicy.of(cause) != RetryPolicy.REFUSED;
        if (!mayRepeat
                || needsBudget
                        && !mService.retryBudget(mRequest.service()).tryTake(mLoop.nowNanos())) {
            giveUp();
            return;
        }
        startNextAttempt(lastEventId);
    }

    private void reportFirstByte(long firstNanos) {
        PlacementChoice choice = mAttempts.choice();
        if (choice != null) {
            mService.observer().onFirstByte(mRequest, choice, firstNanos);
        }
    }

    private void reportBackendFailure(ErrorKind cause) {
        PlacementChoice choice = mAttempts.choice();
        boolean atBackend = cause.runState() != RunState.NOT_RUN && !mAttempts.isOwnerLost();
        if (atBackend && choice != null) {
            mService.observer().onBackendFailed(mRequest, choice);
        }
    }

    /**
     * Returns the message of a failure. A refusal before dispatch has its own message, because
     * those of the tracker describe how an answer ended.
     */
    private String failureText(AnswerOutput.Fail failed) {
        if (mInstanceStops) {
            return ErrorText.INSTANCE_STOPS;
        }
        return switch (failed.kind()) {
            case NO_BACKEND -> String.format(ErrorText.NO_BACKEND, mRequest.service());
            case OVERLOADED -> ErrorText.OVERLOADED;
            case DEADLINE_UNREACHABLE -> ErrorText.DEADLINE_UNREACHABLE;
            default -> failed.message();
        };
    }

    private void fail(AnswerOutput.Fail failed) {
        ErrorKind kind = failed.kind();
        if (mInstanceStops) {
            boolean notRun = failed.runState() == RunState.NOT_RUN;
            kind = notRun ? ErrorKind.NOT_READY : ErrorKind.BACKEND_FAILED;
        } else {
            reportBackendFailure(kind);
        }
        String message = failureText(failed);
        if (mTicket != null) {
            if (failed.runState() == RunState.NOT_RUN) {
                mTicket.markNotRun();
            } else {
                mTicket.markUnknown();
            }
            mTicket = null;
        }
        mService.metrics().increment(MetricName.REFUSALS, "kind", kind.name());
        mResponder.sendError(kind, failed.runState(), message, mRetryAfterMillis);
        closeAfterFailure(kind, message);
    }

    private void closeAfterFailure(ErrorKind kind, String message) {
        countOutcome(kind.name());
        if (mTicket != null) {
            mTicket.markUnknown();
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

    private void onDeadline() {
        if (mClosed) {
            return;
        }
        int number = mAttemptNumber;
        cancelAttempt();
        if (number == 0) {
            mResponder.sendError(
                    ErrorKind.DEADLINE_UNREACHABLE,
                    "the deadline passed before the first attempt",
                    0);
            close();
            return;
        }
        processEvent(new AnswerEvent.AttemptFailed(number, ErrorKind.BACKEND_TIMEOUT));
        processEvent(new AnswerEvent.GaveUp(ErrorKind.BACKEND_TIMEOUT));
    }

    /**
     * Ends the request because this instance stops. An answer that is whole is sent without waiting
     * for its record; otherwise the caller gets an error, or an error event in its stream.
     */
    void onInstanceStops() {
        if (mClosed) {
            return;
        }
        mInstanceStops = true;
        if (mComplete) {
            sendBufferedAnswer();
            return;
        }
        cancelAttempt();
        processEvent(new AnswerEvent.GaveUp(ErrorKind.BACKEND_FAILED));
    }

    private void onCallerGone() {
        if (mClosed) {
            return;
        }
        mCallerGone = true;
        cancelAttempt();
        if (mTicket != null) {
            mTicket.markUnknown();
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
            reportFinished();
        }
        if (mDeadlineTimer != null) {
            // Until the caller's deadline, the timer would keep the whole exchange in memory.
            mDeadlineTimer.cancel(false);
        }
        mService.onExchangeClosed(this);
    }

    private void reportFinished() {
        long nowNanos = mLoop.nowNanos();
        LatencySample sample;
        MissContext missContext;
        synchronized (this) {
            sample = mTimings.toLatencySample(nowNanos, mComplete && !mServerError);
            PlacementChoice choice = mAttempts.choice();
            boolean atBackend = choice != null && sample.firstTokenMillis().isPresent();
            missContext =
                    new MissContext(
                            !atBackend && !mComplete,
                            choice != null && mService.hasUnavailableZone(mRequest),
                            false,
                            choice != null && mService.isNewVersion(choice),
                            mTimings.waitedNanos(),
                            mTimings.totalNanos(nowNanos),
                            atBackend);
        }
        mService.observer().onFinished(mRequest, sample, missContext);
    }

    private void releaseWrittenBytes() {
        RunningAttempt attempt = mAttempt;
        if (attempt == null) {
            return;
        }
        int bytes;
        synchronized (this) {
            // Bytes that are still queued for the caller stay unreleased, so that they count
            // towards the flow control window.
            bytes = Math.max(0, mUnreleasedBytes - mResponder.queuedBytes());
            mUnreleasedBytes -= bytes;
        }
        if (bytes > 0) {
            attempt.release(bytes);
        }
    }

    /** Passes the events of one attempt to the tracker. */
    private final class Listener implements AnswerListener {
        private final int mNumber;

        Listener(int number) {
            mNumber = number;
        }

        @Override
        public void onRefused(ErrorKind kind, long retryAfterMillis) {
            mLoop.execute(() -> onAttemptRefused(mNumber, kind, retryAfterMillis));
        }

        @Override
        public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
            List<Header> copied = new ArrayList<>();
            for (HeaderField field : headers) {
                copied.add(new Header(field.name(), field.value()));
            }
            if (status >= FIRST_SERVER_ERROR_STATUS) {
                mServerError = true;
                mLoop.execute(() -> reportBackendFailure(ErrorKind.BACKEND_FAILED));
            }
            processEvent(new AnswerEvent.HeadReceived(mNumber, status, copied));
        }

        @Override
        public void onBody(ByteBuffer data) {
            byte[] bytes = new byte[data.remaining()];
            data.get(bytes);
            processEvent(new AnswerEvent.BodyReceived(mNumber, bytes));
            OptionalLong firstNanos;
            synchronized (CallerExchange.this) {
                mUnreleasedBytes += bytes.length;
                firstNanos = mTimings.recordBytes(System.nanoTime());
            }
            if (firstNanos.isPresent() && !mServerError) {
                mLoop.execute(() -> reportFirstByte(firstNanos.getAsLong()));
            }
            releaseWrittenBytes();
        }

        @Override
        public void onEnd() {
            processEvent(new AnswerEvent.EndReceived(mNumber));
        }

        @Override
        public void onFailed(ErrorKind kind, String message, boolean mayHaveRun) {
            ErrorKind seen = mayHaveRun ? kind : ErrorKind.NOT_READY;
            mLoop.execute(() -> processEvent(new AnswerEvent.AttemptFailed(mNumber, seen)));
        }

        @Override
        public void onOwnerLost(String message, boolean mayHaveRun) {
            mLoop.execute(
                    () -> {
                        if (mNumber == mAttemptNumber) {
                            mAttempts.recordLostOwner();
                        }
                    });
            onFailed(ErrorKind.BACKEND_FAILED, message, mayHaveRun);
        }
    }
}
