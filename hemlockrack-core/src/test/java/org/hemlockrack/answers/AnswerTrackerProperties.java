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

/** Histories of a hostile engine; the caller must get the answer of one run or an error. */
class AnswerTrackerProperties {
    private static final AnswerSettings SETTINGS = new AnswerSettings(512, 100, 4);

    private static final long LATE_SEED = 10;
    private static final long FOREIGN_SEED = 4;
    private static final long TERMINATOR_SEED = 34;
    private static final long JOINED_SEED = 3;

    private static AnswerTracker tracker() {
        return AnswerTracker.create(SETTINGS, RequestKind.CHAT, true);
    }

    /** Guards against cut, crossed, late, repeated or joined answers that pass for complete. */
    @Property(tries = 20_000)
    void callerGetsOneRunOrAnError(@ForAll long seed) {
        new HostileEngine(seed, tracker()).run();
    }

    /** The property must see a tracker that leaves out one check, or skips without comparing. */
    @Example
    void catchesMissingChecks() {
        assertCaught(() -> new Altered(AnswerTrackerProperties::current), LATE_SEED);
        assertCaught(() -> new Altered(AnswerTrackerProperties::identified), FOREIGN_SEED);
        assertCaught(() -> new Altered(AnswerTrackerProperties::terminated), TERMINATOR_SEED);
        assertCaught(SkippingTracker::new, JOINED_SEED);
    }

    private static AnswerEvent current(AnswerEvent.AttemptStarted attempt, AnswerEvent event) {
        return event instanceof AnswerEvent.BodyReceived body
                ? new AnswerEvent.BodyReceived(attempt.attempt(), body.bytes())
                : event;
    }

    private static AnswerEvent identified(AnswerEvent.AttemptStarted attempt, AnswerEvent event) {
        if (event instanceof AnswerEvent.HeadReceived head) {
            List<Header> headers = new ArrayList<>(head.headers());
            headers.removeIf(h -> h.isNamed(AnswerTracker.REQUEST_ID_HEADER));
            headers.add(new Header(AnswerTracker.REQUEST_ID_HEADER, attempt.requestId()));
            return new AnswerEvent.HeadReceived(head.attempt(), head.status(), headers);
        }
        return event;
    }

    private static AnswerEvent terminated(AnswerEvent.AttemptStarted attempt, AnswerEvent event) {
        byte[] done = HostileEngine.bytes("\n\ndata: [DONE]\n\n");
        return event instanceof AnswerEvent.EndReceived end
                ? new AnswerEvent.BodyReceived(end.attempt(), done)
                : event;
    }

    private static void assertCaught(Supplier<AnswerTracker> broken, long seed) {
        AssertionError caught =
                assertThrows(
                        AssertionError.class, () -> new HostileEngine(seed, broken.get()).run());
        // A variant that only hangs would not show that the wrong answer is seen.
        assertTrue(caught.getMessage().contains("of one run"), caught.getMessage());
    }

    /** Guards against a whole answer that is cut after its bytes went out and ends normally. */
    @Example
    void longWholeAnswerIsAborted() {
        List<AnswerOutput> out = new ArrayList<>();
        AnswerTracker tracker = started(new Header("content-length", "300"));
        tracker.onEvent(0, new AnswerEvent.BodyReceived(1, new byte[200]), out::add);
        tracker.onEvent(0, new AnswerEvent.EndReceived(1), out::add);
        assertEquals(3, out.size());
        assertTrue(out.get(2) instanceof AnswerOutput.Abort, out.toString());
    }

    /** Guards against a second run of a command, and against a false not_run. */
    @Example
    void brokenCommandIsNotRerun() {
        List<AnswerOutput> out = new ArrayList<>();
        AnswerTracker tracker = AnswerTracker.create(SETTINGS, RequestKind.SERVICE_COMMAND, true);
        tracker.onEvent(0, new AnswerEvent.AttemptStarted(1, "r"), out::add);
        tracker.onEvent(0, new AnswerEvent.AttemptFailed(1, ErrorKind.BACKEND_FAILED), out::add);
        AnswerOutput.Fail fail = (AnswerOutput.Fail) out.get(0);
        assertEquals(RunState.UNKNOWN, fail.runState());
    }

    /** Guards against unbounded memory for an event that never ends, and a format-string fault. */
    @Example
    void oversizedOrOddEventsFail() {
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

    /** The real tracker behind a change of its input that removes one check. */
    private static final class Altered implements AnswerTracker {
        private final AnswerTracker mInner = tracker();
        private final BiFunction<AnswerEvent.AttemptStarted, AnswerEvent, AnswerEvent> mChange;
        private AnswerEvent.AttemptStarted mAttempt = new AnswerEvent.AttemptStarted(0, "");

        Altered(BiFunction<AnswerEvent.AttemptStarted, AnswerEvent, AnswerEvent> change) {
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

    /** Reruns any broken stream and skips as many events as were sent. */
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
                drain(out);
            } else if (event instanceof AnswerEvent.GaveUp gaveUp && !mDone) {
                mDone = true;
                out.accept(new AnswerOutput.FailStream(gaveUp.kind(), new byte[0]));
            } else if (event instanceof AnswerEvent.AttemptFailed && !mDone) {
                out.accept(new AnswerOutput.Rerun(mSent, ErrorKind.BACKEND_FAILED));
            }
        }

        private void drain(Consumer<? super AnswerOutput> out) {
            for (int end = mBuffer.indexOf("\n\n"); end >= 0; end = mBuffer.indexOf("\n\n")) {
                String event = mBuffer.substring(0, end + 2);
                mBuffer.delete(0, end + 2);
                if (++mSeen > mSent) {
                    mSent++;
                    out.accept(new AnswerOutput.ForwardBytes(HostileEngine.bytes(event)));
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
