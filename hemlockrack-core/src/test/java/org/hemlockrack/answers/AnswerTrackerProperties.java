package org.hemlockrack.answers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.model.RequestKind;

/** Simulates a faulty engine; the caller must receive the answer of one run or an error. */
class AnswerTrackerProperties {
    private static final AnswerSettings SETTINGS = new AnswerSettings(512, 100, 4);

    private static final long LATE_SEED = 10;
    private static final long FOREIGN_SEED = 4;
    private static final long TERMINATOR_SEED = 34;
    private static final long MIXED_RUNS_SEED = 3;

    private static AnswerTracker tracker() {
        return AnswerTracker.create(SETTINGS, RequestKind.CHAT, true);
    }

    /** No truncated, foreign, late, repeated or mixed answer may be reported as complete. */
    @Property(tries = 20_000)
    void callerGetsOneRunOrAnError(@ForAll long seed) {
        new FaultyEngine(seed, tracker()).run();
    }

    /** The property must fail for trackers that omit a check, or skip events without comparing. */
    @Example
    void detectsMissingChecks() {
        assertDetected(
                () -> new InputChangingTracker(AnswerTrackerProperties::withCurrentAttempt),
                LATE_SEED);
        assertDetected(
                () -> new InputChangingTracker(AnswerTrackerProperties::withExpectedId),
                FOREIGN_SEED);
        assertDetected(
                () -> new InputChangingTracker(AnswerTrackerProperties::withTerminator),
                TERMINATOR_SEED);
        assertDetected(SkippingTracker::new, MIXED_RUNS_SEED);
    }

    private static AnswerEvent withCurrentAttempt(
            AnswerEvent.AttemptStarted attempt, AnswerEvent event) {
        return event instanceof AnswerEvent.BodyReceived body
                ? new AnswerEvent.BodyReceived(attempt.attempt(), body.bytes())
                : event;
    }

    private static AnswerEvent withExpectedId(
            AnswerEvent.AttemptStarted attempt, AnswerEvent event) {
        if (event instanceof AnswerEvent.HeadReceived head) {
            List<Header> headers = new ArrayList<>(head.headers());
            headers.removeIf(h -> h.isNamed(AnswerTracker.REQUEST_ID_HEADER));
            headers.add(new Header(AnswerTracker.REQUEST_ID_HEADER, attempt.requestId()));
            return new AnswerEvent.HeadReceived(head.attempt(), head.status(), headers);
        }
        return event;
    }

    private static AnswerEvent withTerminator(
            AnswerEvent.AttemptStarted attempt, AnswerEvent event) {
        byte[] done = FaultyEngine.bytes("\n\ndata: [DONE]\n\n");
        return event instanceof AnswerEvent.EndReceived end
                ? new AnswerEvent.BodyReceived(end.attempt(), done)
                : event;
    }

    private static void assertDetected(Supplier<AnswerTracker> broken, long seed) {
        AssertionError caught =
                assertThrows(
                        AssertionError.class, () -> new FaultyEngine(seed, broken.get()).run());
        // A variant that fails in another way would not show that the wrong answer is detected.
        assertTrue(caught.getMessage().contains("of one run"), caught.getMessage());
    }

    /**
     * A non-streaming answer that is truncated after bytes were forwarded must not end normally.
     */
    @Example
    void truncatedLongAnswerIsAborted() {
        List<AnswerOutput> out = new ArrayList<>();
        AnswerTracker tracker = started(new Header("content-length", "300"));
        tracker.onEvent(0, new AnswerEvent.BodyReceived(1, new byte[200]), out::add);
        tracker.onEvent(0, new AnswerEvent.EndReceived(1), out::add);
        assertEquals(3, out.size());
        assertTrue(out.get(2) instanceof AnswerOutput.Abort, out.toString());
    }

    /** A command that may have run must not run again, and must not be reported as not run. */
    @Example
    void brokenCommandIsNotRerun() {
        List<AnswerOutput> out = new ArrayList<>();
        AnswerTracker tracker = AnswerTracker.create(SETTINGS, RequestKind.SERVICE_COMMAND, true);
        tracker.onEvent(0, new AnswerEvent.AttemptStarted(1, "r"), out::add);
        tracker.onEvent(0, new AnswerEvent.AttemptFailed(1, ErrorKind.BACKEND_FAILED), out::add);
        AnswerOutput.Fail fail = (AnswerOutput.Fail) out.get(0);
        assertEquals(RunState.UNKNOWN, fail.runState());
    }

    /**
     * An event without end must not use unbounded memory, and an id with a format specifier must
     * not break the error message.
     */
    @Example
    void oversizedOrMalformedEventsFail() {
        for (String event : List.of("data: " + "x".repeat(600), "id: %d\ndata: x\n\n")) {
            List<AnswerOutput> out = new ArrayList<>();
            AnswerTracker tracker =
                    started(
                            new Header("Content-Type", "text/event-stream"),
                            new Header("Transfer-Encoding", "chunked"));
            byte[] bytes = event.getBytes(StandardCharsets.UTF_8);
            tracker.onEvent(0, new AnswerEvent.BodyReceived(1, bytes), out::add);
            assertEquals(List.of(new AnswerOutput.Rerun(0, ErrorKind.BACKEND_FAILED)), out);
        }
    }

    private static AnswerTracker started(Header... headers) {
        List<Header> all = new ArrayList<>(List.of(headers));
        all.add(new Header("x-request-id", "r"));
        AnswerTracker tracker = tracker();
        tracker.onEvent(0, new AnswerEvent.AttemptStarted(1, "r"), out -> {});
        tracker.onEvent(0, new AnswerEvent.HeadReceived(1, 200, all), out -> {});
        return tracker;
    }

    /** The real tracker with its input changed so that one check has no effect. */
    private static final class InputChangingTracker implements AnswerTracker {
        private final AnswerTracker mInner = tracker();
        private final BiFunction<AnswerEvent.AttemptStarted, AnswerEvent, AnswerEvent> mChange;
        private AnswerEvent.AttemptStarted mAttempt = new AnswerEvent.AttemptStarted(0, "");

        InputChangingTracker(
                BiFunction<AnswerEvent.AttemptStarted, AnswerEvent, AnswerEvent> change) {
            mChange = change;
        }

        @Override
        public void onEvent(long nowNanos, AnswerEvent event, Consumer<? super AnswerOutput> out) {
            if (event instanceof AnswerEvent.AttemptStarted started) {
                mAttempt = started;
            }
            mInner.onEvent(nowNanos, mChange.apply(mAttempt, event), out);
        }

        @Override
        public boolean isDone() {
            return mInner.isDone();
        }

        @Override
        public boolean hasForwarded() {
            return mInner.hasForwarded();
        }

        @Override
        public RunState runState() {
            return mInner.runState();
        }
    }

    /** Reruns any failed stream and skips as many events as were sent, without comparing them. */
    private static final class SkippingTracker implements AnswerTracker {
        private final StringBuilder mBuffer = new StringBuilder();
        private int mAttempt;
        private int mSent;
        private int mSeen;
        private boolean mDone;

        @Override
        public void onEvent(long nowNanos, AnswerEvent event, Consumer<? super AnswerOutput> out) {
            if (event instanceof AnswerEvent.AttemptStarted started) {
                mAttempt = started.attempt();
                mSeen = 0;
                mBuffer.setLength(0);
            } else if (event instanceof AnswerEvent.BodyReceived body
                    && body.attempt() == mAttempt) {
                String text = new String(body.bytes(), StandardCharsets.ISO_8859_1);
                mBuffer.append(text.replace("\r", ""));
                forwardEvents(out);
            } else if (event instanceof AnswerEvent.GaveUp gaveUp && !mDone) {
                mDone = true;
                out.accept(new AnswerOutput.FailStream(gaveUp.kind(), new byte[0]));
            } else if (event instanceof AnswerEvent.AttemptFailed && !mDone) {
                out.accept(new AnswerOutput.Rerun(mSent, ErrorKind.BACKEND_FAILED));
            }
        }

        private void forwardEvents(Consumer<? super AnswerOutput> out) {
            for (int end = mBuffer.indexOf("\n\n"); end >= 0; end = mBuffer.indexOf("\n\n")) {
                String event = mBuffer.substring(0, end + 2);
                mBuffer.delete(0, end + 2);
                if (++mSeen > mSent) {
                    mSent++;
                    out.accept(new AnswerOutput.ForwardBytes(FaultyEngine.bytes(event)));
                }
                if (event.equals("data: [DONE]\n\n") && !mDone) {
                    mDone = true;
                    out.accept(new AnswerOutput.Complete());
                }
            }
        }

        @Override
        public boolean isDone() {
            return mDone;
        }

        @Override
        public boolean hasForwarded() {
            return mSent > 0;
        }

        @Override
        public RunState runState() {
            return RunState.UNKNOWN;
        }
    }
}
