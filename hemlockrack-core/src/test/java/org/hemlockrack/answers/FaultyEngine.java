package org.hemlockrack.answers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.hemlockrack.errors.ErrorKind;

/** Simulates an engine with random faults and the caller, and checks what the caller received. */
final class FaultyEngine {
    private enum Fault {
        NONE,
        TRUNCATED,
        END_EARLY,
        FOREIGN_ID,
        MISSING_ID,
        REPEATED_EVENT,
        LOST_EVENT,
        SWAPPED_EVENTS,
        REFUSED
    }

    private final Random mRandom;
    private final AnswerTracker mTracker;
    private final boolean mStream;
    private final boolean mNumbered;
    private final boolean mDeterministic;
    private final boolean mChunked;
    private final String mLineEnd;
    private final int mParts;
    private final List<List<String>> mRuns = new ArrayList<>();
    private final List<AnswerEvent> mLateEvents = new ArrayList<>();
    private final List<AnswerOutput> mOut = new ArrayList<>();
    private final ByteArrayOutputStream mReceivedByCaller = new ByteArrayOutputStream();
    private int mAttempt;
    private int mReadOutputs;

    FaultyEngine(long seed, AnswerTracker tracker) {
        mRandom = new Random(seed);
        mTracker = tracker;
        mStream = mRandom.nextInt(4) > 0;
        mNumbered = mRandom.nextBoolean();
        mDeterministic = mRandom.nextBoolean();
        mChunked = mRandom.nextBoolean();
        mLineEnd = List.of("\n", "\r\n", "\r").get(mRandom.nextInt(3));
        mParts = mRandom.nextInt(8);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    void run() {
        mRuns.add(newRun());
        runAttempt(0);
        while (mReadOutputs < mOut.size()) {
            AnswerOutput output = mOut.get(mReadOutputs++);
            if (output instanceof AnswerOutput.ForwardBytes forward) {
                mReceivedByCaller.writeBytes(forward.bytes());
            } else if (output instanceof AnswerOutput.Resume resume) {
                runAttempt((int) resume.lastEventId());
            } else if (output instanceof AnswerOutput.Rerun rerun) {
                rerun();
            } else if (!(output instanceof AnswerOutput.ForwardHead)) {
                checkOutcome(output);
                return;
            }
        }
        fail("no outcome");
    }

    private void rerun() {
        if (mAttempt > 10 || mRandom.nextInt(10) == 0) {
            feed(new AnswerEvent.GaveUp(ErrorKind.BACKEND_FAILED));
            return;
        }
        mRuns.add(mDeterministic ? mRuns.get(0) : newRun());
        runAttempt(0);
    }

    /** Returns the events of a stream with the terminator, or the parts of another answer. */
    private List<String> newRun() {
        List<String> run = new ArrayList<>();
        for (int i = 1; i <= mParts; i++) {
            String word = Integer.toString(mRandom.nextInt(1000)) + "x".repeat(mRandom.nextInt(40));
            String id = mNumbered ? "id: " + i + "\n" : "";
            run.add(mStream ? id + "data: " + word + "\n\n" : word);
        }
        if (mStream) {
            run.add("data: [DONE]\n\n");
        }
        return run;
    }

    private void runAttempt(int after) {
        mAttempt++;
        String id = "request-" + mAttempt;
        feed(new AnswerEvent.AttemptStarted(mAttempt, id));
        Fault fault = Fault.values()[mRandom.nextInt(Fault.values().length)];
        if (fault == Fault.END_EARLY && mChunked && !mStream) {
            // The last chunk marks a non-streaming answer as complete, so this is not detectable.
            fault = Fault.TRUNCATED;
        }
        if (fault == Fault.REFUSED) {
            feed(new AnswerEvent.AttemptFailed(mAttempt, ErrorKind.OVERLOADED));
            return;
        }
        List<String> run = mRuns.get(mRuns.size() - 1);
        List<String> parts = new ArrayList<>(run.subList(after, run.size()));
        String text = String.join("", parts).replace("\n", mLineEnd);
        changeEvents(fault, parts);
        String foreign = "data: foreign\n\ndata: [DONE]\n\n";
        boolean otherAnswer = fault == Fault.FOREIGN_ID || fault == Fault.MISSING_ID;
        String sent = otherAnswer ? foreign : String.join("", parts);
        byte[] body = bytes(sent.replace("\n", mLineEnd));
        int length = otherAnswer ? body.length : text.length();
        feed(new AnswerEvent.HeadReceived(mAttempt, 200, headers(fault, id, length)));
        boolean truncated = fault == Fault.TRUNCATED || fault == Fault.END_EARLY;
        sendBody(truncated ? Arrays.copyOf(body, mRandom.nextInt(body.length + 1)) : body);
        if (fault == Fault.TRUNCATED) {
            feed(new AnswerEvent.AttemptFailed(mAttempt, ErrorKind.BACKEND_FAILED));
        } else {
            feed(new AnswerEvent.EndReceived(mAttempt));
        }
        mLateEvents.add(new AnswerEvent.BodyReceived(mAttempt, bytes("data: late\n\n")));
        mLateEvents.add(new AnswerEvent.EndReceived(mAttempt));
    }

    /** Loses, repeats or swaps events; only of numbered streams, where it can be detected. */
    private void changeEvents(Fault fault, List<String> parts) {
        if (!mStream || !mNumbered || parts.size() < 3) {
            return;
        }
        int at = mRandom.nextInt(parts.size() - 2);
        switch (fault) {
            case REPEATED_EVENT -> parts.add(at, parts.get(at));
            case LOST_EVENT -> parts.remove(at);
            case SWAPPED_EVENTS -> parts.add(at, parts.remove(at + 1));
            default -> {}
        }
    }

    private List<Header> headers(Fault fault, String id, int length) {
        List<Header> headers = new ArrayList<>();
        if (fault != Fault.MISSING_ID) {
            headers.add(new Header("X-Request-Id", fault == Fault.FOREIGN_ID ? "other" : id));
        }
        if (mStream) {
            headers.add(new Header("Content-Type", "text/event-stream; charset=utf-8"));
            headers.add(new Header("X-Deterministic", Boolean.toString(mDeterministic)));
        }
        if (mChunked) {
            headers.add(new Header("Transfer-Encoding", "chunked"));
        } else {
            headers.add(new Header("Content-Length", Integer.toString(length)));
        }
        return headers;
    }

    private void sendBody(byte[] body) {
        int at = 0;
        while (at < body.length) {
            int end = Math.min(body.length, at + 1 + mRandom.nextInt(30));
            feed(new AnswerEvent.BodyReceived(mAttempt, Arrays.copyOfRange(body, at, end)));
            at = end;
            if (!mLateEvents.isEmpty() && mRandom.nextInt(4) == 0) {
                feed(mLateEvents.get(mRandom.nextInt(mLateEvents.size())));
            }
        }
    }

    private void feed(AnswerEvent event) {
        mTracker.onEvent(0, event, mOut::add);
    }

    private void checkOutcome(AnswerOutput outcome) {
        assertTrue(mTracker.isDone(), "outcome without done");
        assertEquals(mReadOutputs, mOut.size(), "output after the outcome");
        String received = mReceivedByCaller.toString(StandardCharsets.ISO_8859_1);
        if (outcome instanceof AnswerOutput.Complete) {
            assertTrue(
                    runs().anyMatch(received::equals),
                    "complete, but not the answer of one run: " + received);
            return;
        }
        if (outcome instanceof AnswerOutput.Fail) {
            assertEquals("", received);
            return;
        }
        assertTrue(
                runs().anyMatch(r -> r.startsWith(received)),
                "not the start of one run: " + received);
        assertEquals(mStream, outcome instanceof AnswerOutput.FailStream);
        assertTrue(!received.contains("[DONE]"), "terminator before an error");
    }

    private Stream<String> runs() {
        return mRuns.stream().map(run -> String.join("", run));
    }
}
