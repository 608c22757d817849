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

/** Forwards checked bytes of the current attempt and decides what follows when it breaks. */
public final class ForwardingTracker implements AnswerTracker {
    private static final int NO_ATTEMPT = -1;
    private static final int OK = 200;
    private static final int MAX_SHOWN_CHARS = 32;
    private static final String EVENT_STREAM = "text/event-stream";

    private final AnswerSettings mSettings;
    private final RequestKind mKind;
    private final boolean mBodyExpected;
    private final Delivered mDelivered = new Delivered();
    private final ByteArrayOutputStream mHeld = new ByteArrayOutputStream();
    private int mAttempt = NO_ATTEMPT;
    private int mLastAttempt = NO_ATTEMPT;
    private int mAttempts;
    private String mRequestId = "";
    private AnswerEvent.@Nullable HeadReceived mHead;
    private BodyFraming mFraming = new BodyFraming(BodyFraming.Mode.INVALID, 0);
    private StreamParser mParser = StreamParser.create(1);
    private boolean mStream;
    private boolean mTerminated;
    private boolean mDeterministic;
    private boolean mResuming;
    private boolean mProgress;
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
            start(started);
        } else if (event instanceof AnswerEvent.HeadReceived head && isCurrent(head.attempt())) {
            head(head, out);
        } else if (event instanceof AnswerEvent.BodyReceived body && isCurrent(body.attempt())) {
            body(body.bytes(), out);
        } else if (event instanceof AnswerEvent.EndReceived end && isCurrent(end.attempt())) {
            end(out);
        } else if (event instanceof AnswerEvent.AttemptFailed fail && isCurrent(fail.attempt())) {
            recover(fail.kind(), ErrorText.ANSWER_TRUNCATED, out);
        } else if (event instanceof AnswerEvent.GaveUp gaveUp) {
            giveUp(gaveUp.kind(), out);
        }
    }

    private void giveUp(ErrorKind kind, Consumer<? super AnswerOutput> out) {
        if (mAttempt != NO_ATTEMPT) {
            mRunState = RunState.UNKNOWN;
        }
        fail(kind, mMessage, out);
    }

    private boolean isCurrent(int attempt) {
        return attempt == mAttempt;
    }

    private void start(AnswerEvent.AttemptStarted started) {
        if (started.attempt() <= mLastAttempt) {
            return;
        }
        mAttempt = started.attempt();
        mLastAttempt = mAttempt;
        mRequestId = started.requestId();
        mAttempts++;
        mHead = null;
        mHeld.reset();
        mBodyBytes = 0;
        mTerminated = false;
        mProgress = false;
        mParser = StreamParser.create(mSettings.maxEventBytes());
        if (mResuming) {
            mDelivered.startAfterLast();
        } else {
            mDelivered.startReplay();
        }
    }

    private void head(AnswerEvent.HeadReceived head, Consumer<? super AnswerOutput> out) {
        if (mHead != null) {
            String second = String.format(ErrorText.ANSWER_ID_MISMATCH, mAttempt);
            recover(ErrorKind.ANSWER_MISMATCH, second, out);
            return;
        }
        String wrong = identityFault(head.headers());
        if (wrong != null) {
            recover(ErrorKind.ANSWER_MISMATCH, String.format(wrong, mAttempt), out);
            return;
        }
        mHead = head;
        mFraming = BodyFraming.of(head.status(), head.headers(), mBodyExpected);
        mStream = head.status() == OK && mBodyExpected && isEventStream(head.headers());
        if (mFraming.mode() == BodyFraming.Mode.INVALID) {
            recover(ErrorKind.BACKEND_FAILED, ErrorText.ANSWER_FRAMING, out);
            return;
        }
        if (mStreamForwarded && !mStream) {
            recover(ErrorKind.BACKEND_FAILED, ErrorText.ANSWER_TRUNCATED, out);
            return;
        }
        if (mStream && !mStreamForwarded) {
            mDeterministic = isDeterministic(head.headers());
        }
    }

    private @Nullable String identityFault(List<Header> headers) {
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

    private void body(byte[] bytes, Consumer<? super AnswerOutput> out) {
        if (mHead == null) {
            String text = String.format(ErrorText.ANSWER_ID_MISSING, mAttempt);
            recover(ErrorKind.ANSWER_MISMATCH, text, out);
            return;
        }
        mBodyBytes += bytes.length;
        if (mFraming.exceededBy(mBodyBytes)) {
            recover(ErrorKind.BACKEND_FAILED, ErrorText.ANSWER_TOO_LONG, out);
            return;
        }
        if (mStream) {
            streamBytes(bytes, out);
        } else {
            wholeBytes(bytes, out);
        }
    }

    private void wholeBytes(byte[] bytes, Consumer<? super AnswerOutput> out) {
        if (!mForwarded && mHeld.size() + bytes.length <= mSettings.maxBufferedBytes()) {
            mHeld.writeBytes(bytes);
            return;
        }
        forwardHead(out);
        releaseHeld(out);
        out.accept(new AnswerOutput.ForwardBytes(bytes));
    }

    private void streamBytes(byte[] bytes, Consumer<? super AnswerOutput> out) {
        int attempt = mAttempt;
        mParser.feed(bytes);
        StreamEvent event = mParser.next();
        while (event != null && !mTerminated) {
            streamEvent(event, out);
            if (mDone || mAttempt != attempt) {
                return;
            }
            event = mParser.next();
        }
        if (mParser.tooLarge() && !mTerminated) {
            String text = String.format(ErrorText.EVENT_TOO_LARGE, mSettings.maxEventBytes());
            recover(ErrorKind.BACKEND_FAILED, text, out);
        }
    }

    private void streamEvent(StreamEvent event, Consumer<? super AnswerOutput> out) {
        if (event.terminator()) {
            terminate(event, out);
            return;
        }
        if (!event.hasData()) {
            forwardComment(event, out);
            return;
        }
        if (!mDelivered.agreesOnNumbering(event.id() != null)) {
            recover(ErrorKind.BACKEND_FAILED, ErrorText.EVENT_NUMBERING_MIXED, out);
            return;
        }
        String id = event.id();
        long number = id == null ? mDelivered.expectedNumber() : number(id);
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
        dataEvent(event, out);
    }

    private void dataEvent(StreamEvent event, Consumer<? super AnswerOutput> out) {
        if (mDelivered.replaying()) {
            if (!mDelivered.replay(event.bytes())) {
                fail(ErrorKind.BACKEND_FAILED, ErrorText.RERUN_MISMATCH, out);
            }
            return;
        }
        forwardHead(out);
        mDelivered.deliver(event.bytes());
        mProgress = true;
        out.accept(new AnswerOutput.ForwardBytes(event.bytes()));
    }

    private void forwardComment(StreamEvent event, Consumer<? super AnswerOutput> out) {
        if (mStreamForwarded && !mDelivered.replaying()) {
            out.accept(new AnswerOutput.ForwardBytes(event.bytes()));
        }
    }

    /** The terminator waits for the end where a length is stated, so that both checks hold. */
    private void terminate(StreamEvent event, Consumer<? super AnswerOutput> out) {
        if (mDelivered.replaying()) {
            fail(ErrorKind.BACKEND_FAILED, ErrorText.RERUN_MISMATCH, out);
            return;
        }
        mTerminated = true;
        mHeld.reset();
        mHeld.writeBytes(event.bytes());
        if (mFraming.endsAt(mBodyBytes)) {
            complete(out);
        }
    }

    private void end(Consumer<? super AnswerOutput> out) {
        boolean whole = mHead != null && mFraming.endsAt(mBodyBytes);
        if (whole && (!mStream || mTerminated)) {
            complete(out);
            return;
        }
        recover(ErrorKind.BACKEND_FAILED, ErrorText.ANSWER_TRUNCATED, out);
    }

    private void complete(Consumer<? super AnswerOutput> out) {
        forwardHead(out);
        releaseHeld(out);
        mRunState = RunState.RAN;
        mDone = true;
        out.accept(new AnswerOutput.Complete());
    }

    private void forwardHead(Consumer<? super AnswerOutput> out) {
        if (mForwarded || mHead == null) {
            return;
        }
        mForwarded = true;
        mStreamForwarded = mStream;
        out.accept(new AnswerOutput.ForwardHead(mHead.status(), forwardedHeaders(mHead)));
    }

    /** A recovered stream may differ in length from what the first server stated. */
    private List<Header> forwardedHeaders(AnswerEvent.HeadReceived head) {
        if (!mStream) {
            return head.headers();
        }
        List<Header> kept = new ArrayList<>(head.headers());
        kept.removeIf(header -> header.isNamed("Content-Length"));
        return kept;
    }

    private void releaseHeld(Consumer<? super AnswerOutput> out) {
        if (mHeld.size() > 0) {
            out.accept(new AnswerOutput.ForwardBytes(mHeld.toByteArray()));
            mHeld.reset();
        }
    }

    /** Ends the current attempt and asks for the next one if the answer can still be completed. */
    private void recover(ErrorKind kind, String text, Consumer<? super AnswerOutput> out) {
        mMessage = text;
        mAttempt = NO_ATTEMPT;
        if (kind.runState() != RunState.NOT_RUN) {
            mRunState = RunState.UNKNOWN;
        }
        // A command that owners refused did not run, so another server or owner may take it.
        boolean repeatable = mKind.isIdempotent() || mRunState == RunState.NOT_RUN;
        if (!repeatable || mAttempts >= mSettings.maxAttempts()) {
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

    /** A resumption that brought no new event is not repeated. */
    private boolean canResume() {
        boolean numbered = mStreamForwarded && mDelivered.count() > 0 && mDelivered.numbered();
        return numbered && (mProgress || !mResuming);
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
        return text.substring(0, Math.min(text.length(), MAX_SHOWN_CHARS));
    }

    /** Returns a positive event number, or 0 for a value that is none. */
    private static long number(String id) {
        return id.matches("[1-9][0-9]{0,17}") ? Long.parseLong(id) : 0;
    }
}
