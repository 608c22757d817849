package org.hemlockrack.daemon.entry;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hemlockrack.admission.WaitMode;
import org.hemlockrack.answers.AnswerEvent;
import org.hemlockrack.answers.AnswerOutput;
import org.hemlockrack.answers.AnswerSettings;
import org.hemlockrack.answers.AnswerTracker;
import org.hemlockrack.answers.Header;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.http.UpstreamCall;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.daemon.owner.AnswerListener;
import org.hemlockrack.daemon.owner.Attempt;
import org.hemlockrack.daemon.owner.ForwardOrder;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.placement.Choice;
import org.hemlockrack.retry.RetryPolicy;
import org.jspecify.annotations.Nullable;

/**
 * One caller's request from acceptance to the end of its answer. Attempts are started on the loop;
 * answer bytes pass through the tracker on I/O threads under this object's lock.
 */
final class CallerExchange {
    /** Refusals by owners cost no engine work, so only the deadline bounds them. */
    private static final int MAX_ATTEMPTS = 1_000;

    /** Attempts that may have cost engine work. */
    private static final int MAX_RUNS = 3;

    /** Pause before all choices are tried again while a new owner waits for its lease. */
    private static final long OWNER_WAIT_NANOS = 100 * 1_000_000L;

    private final EntryService mService;
    private final Loop mLoop;
    private final CallerRequest mRequest;
    private final Responder mResponder;
    private final AnswerTracker mTracker;
    private final Set<BackendId> mExcluded = new HashSet<>();

    /** Servers that stopped to take work since this request saw them as choices. */
    private final Set<BackendId> mStopped = new HashSet<>();

    private final ByteArrayOutputStream mRecordedBody = new ByteArrayOutputStream();

    private ClaimGate.@Nullable Ticket mTicket;
    private volatile @Nullable Attempt mAttempt;
    private @Nullable Choice mChoice;
    private @Nullable Choice mFirstChoice;
    private int mAttemptNumber;
    private int mRuns;
    private int mHeldBytes;
    private int mRecordedStatus;
    private List<HeaderField> mRecordedHeaders = List.of();
    private ErrorKind mLastRefusal = ErrorKind.NO_BACKEND;
    private long mRetryAfterMillis;
    private boolean mQueued;
    private boolean mClosed;

    CallerExchange(EntryService service, Loop loop, CallerRequest request, Responder responder) {
        mService = service;
        mLoop = loop;
        mRequest = request;
        mResponder = responder;
        AnswerSettings defaults = AnswerSettings.defaults();
        mTracker =
                AnswerTracker.create(
                        new AnswerSettings(
                                defaults.maxEventBytes(), defaults.maxHeldBytes(), MAX_ATTEMPTS),
                        request.kind(),
                        !request.call().method().equals("HEAD"));
    }

    CallerRequest request() {
        return mRequest;
    }

    void start() {
        mResponder.onDrain(bytes -> releaseHeld());
        mResponder.onCancel(() -> mLoop.execute(this::callerGone));
        mLoop.schedule(mRequest.deadlineNanos(), this::deadlinePassed);
        boolean claimed = !mRequest.kind().idempotent() && mRequest.idempotencyKey() != null;
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
            mResponder.sendError(kind, ran, message, kind.retryable() ? 1_000 : 0);
            close();
        }
    }

    private void nextAttempt(@Nullable String lastEventId) {
        if (mClosed) {
            return;
        }
        Optional<Choice> choice = nextChoice(lastEventId != null);
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
        String attemptId = mRequest.id() + "." + mAttemptNumber;
        int number = mAttemptNumber;
        feed(new AnswerEvent.AttemptStarted(number, attemptId));
        WaitMode waitMode = mQueued ? WaitMode.MAY_QUEUE : WaitMode.TRY_ONLY;
        HttpCall call = lastEventId == null ? mRequest.call() : resuming(lastEventId);
        Optional<Attempt> attempt =
                mService.attempt(
                        mRequest, call, mChoice, attemptId, waitMode, new Listener(number));
        if (attempt.isEmpty()) {
            refused(number, ErrorKind.NOT_OWNER, 0);
            return;
        }
        mAttempt = attempt.get();
        releaseHeld();
    }

    private Optional<Choice> nextChoice(boolean resume) {
        if (resume && mChoice != null) {
            return Optional.of(mChoice);
        }
        List<Choice> choices = mService.choose(mRequest, mExcluded);
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

    private HttpCall resuming(String lastEventId) {
        HttpCall call = mRequest.call();
        List<HeaderField> headers = new ArrayList<>(call.headers());
        headers.add(HeaderField.of("Last-Event-ID", lastEventId));
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
                mRecordedBody.writeBytes(bytes.bytes());
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

    private void abort(AnswerOutput.Abort aborted) {
        if (mTicket != null) {
            // Nothing of a command's answer was passed on yet, so the caller can be told.
            mResponder.sendError(aborted.kind(), RunState.UNKNOWN, aborted.message(), 0);
            return;
        }
        mResponder.abort();
    }

    private void forwardHead(AnswerOutput.ForwardHead head) {
        List<HeaderField> headers = new ArrayList<>();
        long lengthBytes = Responder.UNKNOWN_LENGTH;
        for (Header header : head.headers()) {
            HeaderField field = HeaderField.of(header.name(), header.value());
            if (field.is("Content-Length")) {
                lengthBytes = Long.parseLong(field.value().trim());
            }
            if (!ForwardOrder.isInternal(field)
                    && !field.is(ForwardOrder.REQUEST_ID)
                    && !field.isHopByHop()) {
                headers.add(field);
            }
        }
        if (mTicket != null) {
            mRecordedStatus = head.status();
            mRecordedHeaders = List.copyOf(headers);
            return;
        }
        headers.add(HeaderField.of(ForwardOrder.REQUEST_ID, mRequest.id()));
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

    private void completed() {
        mLoop.execute(
                () -> {
                    if (mChoice != null) {
                        mService.served(mRequest, mChoice);
                    }
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
        mTicket = null;
        byte[] body = mRecordedBody.toByteArray();
        List<HeaderField> headers = new ArrayList<>(mRecordedHeaders);
        headers.add(HeaderField.of(ForwardOrder.REQUEST_ID, mRequest.id()));
        ticket.finished(
                mRecordedStatus,
                mRecordedHeaders,
                body,
                () -> {
                    mResponder.send(mRecordedStatus, headers, body);
                    close();
                });
    }

    private void again(ErrorKind cause, @Nullable String lastEventId) {
        if (mClosed) {
            return;
        }
        cancelAttempt();
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

    private void fail(AnswerOutput.Fail failed) {
        String message = failed.message();
        if (failed.kind() == ErrorKind.NO_BACKEND) {
            message = String.format(ErrorText.NO_BACKEND, mRequest.service());
        }
        if (mTicket != null) {
            if (failed.runState() == RunState.NOT_RUN) {
                mTicket.notRun();
            } else {
                mTicket.unknown();
            }
            mTicket = null;
        }
        mResponder.sendError(failed.kind(), failed.runState(), message, mRetryAfterMillis);
        ended(failed.kind(), message);
    }

    private void ended(ErrorKind kind, String message) {
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
        cancelAttempt();
        if (mTicket != null) {
            mTicket.unknown();
            mTicket = null;
        }
        close();
    }

    private void cancelAttempt() {
        Attempt attempt = mAttempt;
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
        mService.closed(this);
    }

    private void releaseHeld() {
        Attempt attempt = mAttempt;
        if (attempt == null) {
            return;
        }
        int bytes;
        synchronized (this) {
            bytes = mHeldBytes;
            mHeldBytes = 0;
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
            feed(new AnswerEvent.HeadReceived(mNumber, status, copied));
        }

        @Override
        public void onBody(ByteBuffer data) {
            byte[] bytes = new byte[data.remaining()];
            data.get(bytes);
            feed(new AnswerEvent.BodyReceived(mNumber, bytes));
            synchronized (CallerExchange.this) {
                mHeldBytes += bytes.length;
            }
            if (mResponder.queuedBytes() < UpstreamCall.WINDOW_BYTES) {
                releaseHeld();
            }
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
