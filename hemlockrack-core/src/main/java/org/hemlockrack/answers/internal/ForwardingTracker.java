package org.hemlockrack.answers.internal;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.hemlockrack.answers.AnswerEvent;
import org.hemlockrack.answers.AnswerOutput;
import org.hemlockrack.answers.AnswerSettings;
import org.hemlockrack.answers.AnswerTracker;
import org.hemlockrack.answers.Header;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.model.RequestKind;
import org.jspecify.annotations.Nullable;

/** Forwards checked bytes of the current attempt and decides how to recover when it fails. */
public final class ForwardingTracker implements AnswerTracker {
    private static final int NO_ATTEMPT = -1;
    private static final int OK = 200;
    private static final int MAX_SHOWN_ID_CHARS = 32;
    private static final String EVENT_STREAM = "text/event-stream";

    private final AnswerSettings mSettings;
    private final RequestKind mKind;
    private final boolean mBodyExpected;
    private final DeliveredEvents mDelivered = new DeliveredEvents();
    private final ByteArrayOutputStream mBuffered = new ByteArrayOutputStream();
    private int mAttempt = NO_ATTEMPT;
    private int mLastAttempt = NO_ATTEMPT;
    private int mAttemptCount;
    private String mRequestId = "";
    private AnswerEvent.@Nullable HeadReceived mHead;
    private BodyFraming mFraming = new BodyFraming(BodyFraming.Mode.INVALID, 0);
    private StreamParser mParser = StreamParser.create(1);
    private boolean mIsStream;
    private boolean mTerminatorReceived;
    private boolean mDeterministic;
    private boolean mResuming;
    private boolean mHasProgress;
    private boolean mStreamForwarded;
    private boolean mForwarded;
    private boolean mDone;
    private long mBodyBytes;
    private RunState mRunState = RunState.NOT_RUN;
    private String mMessage = ErrorText.ANSWER_TRUNCATED;

    private ForwardingTracker(AnswerSettings settings, RequestKind kind, boolean bodyExpected) {
        mSettings = settings;
        mKind = kind;
        mBodyExpected = bodyExpected;
    }

    /**
     * Creates the tracker of a request.
     *
     * @param settings bounds
     * @param kind kind of the request
     * @param bodyExpected false for a HEAD request
     * @return the tracker
     */
    public static ForwardingTracker create(
            AnswerSettings settings, RequestKind kind, boolean bodyExpected) {
        return new ForwardingTracker(settings, kind, bodyExpected);
    }

    @Override
    public boolean isDone() {
        return mDone;
    }

    @Override
    public boolean hasForwarded() {
        return mForwarded;
    }

    @Override
    public RunState runState() {
        return mRunState;
    }

    @Override
    public void onEvent(long nowNanos, AnswerEvent event, Consumer<? super AnswerOutput> out) {
        if (mDone) {
            return;
        }
        if (event instanceof AnswerEvent.AttemptStarted started) {
            onAttemptStarted(started);
        } else if (event instanceof AnswerEvent.HeadReceived head && isCurrent(head.attempt())) {
            onHead(head, out);
        } else if (event instanceof AnswerEvent.BodyReceived body && isCurrent(body.attempt())) {
            onBody(body.bytes(), out);
        } else if (event instanceof AnswerEvent.EndReceived end && isCurrent(end.attempt())) {
            onEnd(out);
        } else if (event instanceof AnswerEvent.AttemptFailed fail && isCurrent(fail.attempt())) {
            recover(fail.kind(), ErrorText.ANSWER_TRUNCATED, out);
        } else if (event instanceof AnswerEvent.GaveUp gaveUp) {
            onGaveUp(gaveUp.kind(), out);
        }
    }

    private void onGaveUp(ErrorKind kind, Consumer<? super AnswerOutput> out) {
        if (mAttempt != NO_ATTEMPT) {
            mRunState = RunState.UNKNOWN;
        }
        fail(kind, mMessage, out);
    }

    private boolean isCurrent(int attempt) {
        return attempt == mAttempt;
    }

    private void onAttemptStarted(AnswerEvent.AttemptStarted started) {
        if (started.attempt() <= mLastAttempt) {
            return;
        }
        mAttempt = started.attempt();
        mLastAttempt = mAttempt;
        mRequestId = started.requestId();
        mAttemptCount++;
        mHead = null;
        mBuffered.reset();
        mBodyBytes = 0;
        mTerminatorReceived = false;
        mHasProgress = false;
        mParser = StreamParser.create(mSettings.maxEventBytes());
        if (mResuming) {
            mDelivered.startResumed();
        } else {
            mDelivered.startReplay();
        }
    }

    private void onHead(AnswerEvent.HeadReceived head, Consumer<? super AnswerOutput> out) {
        if (mHead != null) {
            String message = String.format(ErrorText.ANSWER_ID_MISMATCH, mAttempt);
            recover(ErrorKind.ANSWER_MISMATCH, message, out);
            return;
        }
        String error = identityError(head.headers());
        if (error != null) {
            recover(ErrorKind.ANSWER_MISMATCH, String.format(error, mAttempt), out);
            return;
        }
        mHead = head;
        mFraming = BodyFraming.of(head.status(), head.headers(), mBodyExpected);
        mIsStream = head.status() == OK && mBodyExpected && isEventStream(head.headers());
        if (mFraming.mode() == BodyFraming.Mode.INVALID) {
            recover(ErrorKind.BACKEND_FAILED, ErrorText.ANSWER_FRAMING, out);
            return;
        }
        if (mStreamForwarded && !mIsStream) {
            recover(ErrorKind.BACKEND_FAILED, ErrorText.ANSWER_TRUNCATED, out);
            return;
        }
        if (mIsStream && !mStreamForwarded) {
            mDeterministic = isDeterministic(head.headers());
        }
    }

    private @Nullable String identityError(List<Header> headers) {
        String id = null;
        for (Header header : headers) {
            if (!header.isNamed(REQUEST_ID_HEADER)) {
                continue;
            }
            if (id != null) {
                return ErrorText.ANSWER_ID_MISSING;
            }
            id = header.value();
        }
        if (id == null) {
            return ErrorText.ANSWER_ID_MISSING;
        }
        return id.equals(mRequestId) ? null : ErrorText.ANSWER_ID_MISMATCH;
    }

    private static boolean isEventStream(List<Header> headers) {
        for (Header header : headers) {
            if (header.isNamed("Content-Type")) {
                return header.value().toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
            }
        }
        return false;
    }

    private static boolean isDeterministic(List<Header> headers) {
        for (Header header : headers) {
            if (header.isNamed(DETERMINISTIC_HEADER)) {
                return header.value().equalsIgnoreCase("true");
            }
        }
        return false;
    }

    private void onBody(byte[] bytes, Consumer<? super AnswerOutput> out) {
        if (mHead == null) {
            String text = String.format(ErrorText.ANSWER_ID_MISSING, mAttempt);
            recover(ErrorKind.ANSWER_MISMATCH, text, out);
            return;
        }
        mBodyBytes += bytes.length;
        if (mFraming.isExceededBy(mBodyBytes)) {
            recover(ErrorKind.BACKEND_FAILED, ErrorText.ANSWER_TOO_LONG, out);
            return;
        }
        if (mIsStream) {
            onStreamBytes(bytes, out);
        } else {
            onPlainBytes(bytes, out);
        }
    }

    private void onPlainBytes(byte[] bytes, Consumer<? super AnswerOutput> out) {
        if (!mForwarded && mBuffered.size() + bytes.length <= mSettings.maxBufferedBytes()) {
            mBuffered.writeBytes(bytes);
            return;
        }
        forwardHead(out);
        flushBuffered(out);
        out.accept(new AnswerOutput.ForwardBytes(bytes));
    }

    private void onStreamBytes(byte[] bytes, Consumer<? super AnswerOutput> out) {
        int attempt = mAttempt;
        mParser.feed(bytes);
        StreamEvent event = mParser.next();
        while (event != null && !mTerminatorReceived) {
            onStreamEvent(event, out);
            if (mDone || mAttempt != attempt) {
                return;
            }
            event = mParser.next();
        }
        if (mParser.isTooLarge() && !mTerminatorReceived) {
            String text = String.format(ErrorText.EVENT_TOO_LARGE, mSettings.maxEventBytes());
            recover(ErrorKind.BACKEND_FAILED, text, out);
        }
    }

    private void onStreamEvent(StreamEvent event, Consumer<? super AnswerOutput> out) {
        if (event.terminator()) {
            onTerminator(event, out);
            return;
        }
        if (!event.hasData()) {
            forwardComment(event, out);
            return;
        }
        if (!mDelivered.checkNumbering(event.id() != null)) {
            recover(ErrorKind.BACKEND_FAILED, ErrorText.EVENT_NUMBERING_MIXED, out);
            return;
        }
        String id = event.id();
        long number = id == null ? mDelivered.expectedNumber() : parseEventNumber(id);
        if (number > 0 && number < mDelivered.expectedNumber()) {
            return;
        }
        if (number != mDelivered.expectedNumber()) {
            String text =
                    String.format(
                            ErrorText.EVENT_OUT_OF_ORDER, shorten(id), mDelivered.expectedNumber());
            recover(ErrorKind.BACKEND_FAILED, text, out);
            return;
        }
        onDataEvent(event, out);
    }

    private void onDataEvent(StreamEvent event, Consumer<? super AnswerOutput> out) {
        if (mDelivered.isReplaying()) {
            if (!mDelivered.addReplayed(event.bytes())) {
                fail(ErrorKind.BACKEND_FAILED, ErrorText.RERUN_MISMATCH, out);
            }
            return;
        }
        forwardHead(out);
        mDelivered.deliver(event.bytes());
        mHasProgress = true;
        out.accept(new AnswerOutput.ForwardBytes(event.bytes()));
    }

    private void forwardComment(StreamEvent event, Consumer<? super AnswerOutput> out) {
        if (mStreamForwarded && !mDelivered.isReplaying()) {
            out.accept(new AnswerOutput.ForwardBytes(event.bytes()));
        }
    }

    /** With a Content-Length the terminator is buffered until the end, so that both are checked. */
    private void onTerminator(StreamEvent event, Consumer<? super AnswerOutput> out) {
        if (mDelivered.isReplaying()) {
            fail(ErrorKind.BACKEND_FAILED, ErrorText.RERUN_MISMATCH, out);
            return;
        }
        mTerminatorReceived = true;
        mBuffered.reset();
        mBuffered.writeBytes(event.bytes());
        if (mFraming.isCompleteAt(mBodyBytes)) {
            complete(out);
        }
    }

    private void onEnd(Consumer<? super AnswerOutput> out) {
        boolean bodyComplete = mHead != null && mFraming.isCompleteAt(mBodyBytes);
        if (bodyComplete && (!mIsStream || mTerminatorReceived)) {
            complete(out);
            return;
        }
        recover(ErrorKind.BACKEND_FAILED, ErrorText.ANSWER_TRUNCATED, out);
    }

    private void complete(Consumer<? super AnswerOutput> out) {
        forwardHead(out);
        flushBuffered(out);
        mRunState = RunState.RAN;
        mDone = true;
        out.accept(new AnswerOutput.Complete());
    }

    private void forwardHead(Consumer<? super AnswerOutput> out) {
        if (mForwarded || mHead == null) {
            return;
        }
        mForwarded = true;
        mStreamForwarded = mIsStream;
        out.accept(new AnswerOutput.ForwardHead(mHead.status(), forwardedHeaders(mHead)));
    }

    /** Removes the Content-Length of a stream, because a recovered stream may differ in length. */
    private List<Header> forwardedHeaders(AnswerEvent.HeadReceived head) {
        if (!mIsStream) {
            return head.headers();
        }
        List<Header> forwarded = new ArrayList<>(head.headers());
        forwarded.removeIf(header -> header.isNamed("Content-Length"));
        return forwarded;
    }

    private void flushBuffered(Consumer<? super AnswerOutput> out) {
        if (mBuffered.size() > 0) {
            out.accept(new AnswerOutput.ForwardBytes(mBuffered.toByteArray()));
            mBuffered.reset();
        }
    }

    /** Ends the current attempt and requests the next one if the answer can still be completed. */
    private void recover(ErrorKind kind, String text, Consumer<? super AnswerOutput> out) {
        mMessage = text;
        mAttempt = NO_ATTEMPT;
        if (kind.runState() != RunState.NOT_RUN) {
            mRunState = RunState.UNKNOWN;
        }
        // A command that owners refused did not run, so it may be sent to another server.
        boolean repeatable = mKind.isIdempotent() || mRunState == RunState.NOT_RUN;
        if (!repeatable || mAttemptCount >= mSettings.maxAttempts()) {
            fail(kind, mMessage, out);
            return;
        }
        if (canResume()) {
            mResuming = true;
            out.accept(new AnswerOutput.Resume(mDelivered.count(), kind));
            return;
        }
        mResuming = false;
        if (!mForwarded || (mStreamForwarded && mDeterministic)) {
            out.accept(new AnswerOutput.Rerun(mDelivered.count(), kind));
            return;
        }
        fail(kind, mMessage, out);
    }

    /** Returns whether to resume; a resumption that delivered no new event is not repeated. */
    private boolean canResume() {
        boolean numbered = mStreamForwarded && mDelivered.count() > 0 && mDelivered.isNumbered();
        return numbered && (mHasProgress || !mResuming);
    }

    private void fail(ErrorKind kind, String message, Consumer<? super AnswerOutput> out) {
        mAttempt = NO_ATTEMPT;
        mDone = true;
        if (!mForwarded) {
            out.accept(new AnswerOutput.Fail(kind, message, mRunState));
        } else if (mStreamForwarded) {
            out.accept(new AnswerOutput.FailStream(kind, errorEvent(kind, message)));
        } else {
            out.accept(new AnswerOutput.Abort(kind, message));
        }
    }

    private byte[] errorEvent(ErrorKind kind, String message) {
        String json =
                String.format(
                        "{\"error\":{\"kind\":\"%s\",\"message\":\"%s\",\"ran\":\"%s\","
                                + "\"retry_after_ms\":0}}",
                        kind, message.replaceAll("[\\\\\"\\p{Cntrl}]", "'"), mRunState.wireName());
        return ("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private static String shorten(@Nullable String id) {
        String text = "" + id;
        return text.substring(0, Math.min(text.length(), MAX_SHOWN_ID_CHARS));
    }

    /** Returns the event number, or 0 if the id is not a positive number. */
    private static long parseEventNumber(String id) {
        return id.matches("[1-9][0-9]{0,17}") ? Long.parseLong(id) : 0;
    }
}
