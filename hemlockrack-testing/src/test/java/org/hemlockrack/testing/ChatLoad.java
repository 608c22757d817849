package org.hemlockrack.testing;

import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Concurrent callers that each send one streamed chat after the other and classify the answers. */
final class ChatLoad {
    /** Outcome of a chat as its caller sees it. */
    enum Outcome {
        /** Complete, with all tokens in order and the terminator. */
        WHOLE,
        /** An error answer with an error kind. */
        REFUSED,
        /** A stream that ends with an error event and without the terminator. */
        ERROR_EVENT,
        /** The connection broke before the end of the answer. */
        BROKEN,
        /** The instance refused the connection. */
        NOT_CONNECTED,
        /** Looks valid but is incomplete, or contains data of another chat. */
        WRONG
    }

    /** A chat and its outcome; the detail is the status with the body, or the exception. */
    record Result(
            String chat, String instance, long startedNanos, Outcome outcome, String detail) {}

    private final FleetFixture mFixture;
    private final String mName;
    private final int mTokens;
    private final long mDeadlineMillis;
    private final Supplier<String> mBalancer;
    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final AtomicInteger mNextChatNumber = new AtomicInteger();
    private final ConcurrentLinkedQueue<Result> mResults = new ConcurrentLinkedQueue<>();
    private final List<Thread> mCallers = new ArrayList<>();

    private ChatLoad(
            FleetFixture fixture,
            String name,
            int tokens,
            long deadlineMillis,
            Supplier<String> balancer) {
        mFixture = fixture;
        mName = name;
        mTokens = tokens;
        mDeadlineMillis = deadlineMillis;
        mBalancer = balancer;
    }

    /** Starts the callers; the balancer returns the instance to which each chat is sent. */
    static ChatLoad start(
            FleetFixture fixture,
            String name,
            int callers,
            int tokens,
            long deadlineMillis,
            Supplier<String> balancer) {
        ChatLoad load = new ChatLoad(fixture, name, tokens, deadlineMillis, balancer);
        for (int i = 0; i < callers; i++) {
            Thread thread = new Thread(load::sendChats, "caller-" + i);
            load.mCallers.add(thread);
            thread.start();
        }
        return load;
    }

    private void sendChats() {
        while (!mStopped.get()) {
            String chat = mName + "-" + mNextChatNumber.getAndIncrement();
            String instance = mBalancer.get();
            long startedNanos = System.nanoTime();
            Result result = sendAndClassify(chat, instance, startedNanos);
            mResults.add(result);
            if (result.outcome() == Outcome.NOT_CONNECTED || result.outcome() == Outcome.REFUSED) {
                LocalFleet.sleep(20);
            }
        }
    }

    private Result sendAndClassify(String chat, String instance, long startedNanos) {
        try {
            FleetClient.Answer answer =
                    mFixture.client()
                            .sendChat(
                                    mFixture.callerAddress(instance),
                                    chat,
                                    mDeadlineMillis,
                                    mTokens);
            Outcome outcome = classify(chat, mTokens, answer);
            return new Result(
                    chat, instance, startedNanos, outcome, answer.status() + answer.body());
        } catch (UncheckedIOException e) {
            boolean connectionRefused = e.getCause() instanceof ConnectException;
            Outcome outcome = connectionRefused ? Outcome.NOT_CONNECTED : Outcome.BROKEN;
            return new Result(chat, instance, startedNanos, outcome, String.valueOf(e.getCause()));
        }
    }

    /** Classifies an answer to a chat that must have the given number of tokens. */
    static Outcome classify(String chat, int tokens, FleetClient.Answer answer) {
        String body = answer.body();
        if (answer.status() != 200) {
            boolean hasErrorKind = body.startsWith("{\"error\":{\"kind\"");
            return hasErrorKind ? Outcome.REFUSED : Outcome.WRONG;
        }
        List<String> dataLines = body.lines().filter(line -> line.startsWith("data: ")).toList();
        boolean terminated = body.endsWith("data: [DONE]\n\n");
        int sentTokens = dataLines.size() - 1;
        for (int i = 0; i < sentTokens; i++) {
            String line = dataLines.get(i);
            boolean ownAnswer = line.contains("\"chat\":\"" + chat + "\"");
            if (!ownAnswer || !line.contains("token" + (i + 1) + " ")) {
                return Outcome.WRONG;
            }
        }
        if (terminated) {
            return sentTokens == tokens ? Outcome.WHOLE : Outcome.WRONG;
        }
        return body.contains("event: error\ndata: {\"error\":")
                ? Outcome.ERROR_EVENT
                : Outcome.WRONG;
    }

    /** Stops the callers after their current chats and returns all results. */
    List<Result> stop() {
        mStopped.set(true);
        for (Thread caller : mCallers) {
            try {
                caller.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
        return results();
    }

    List<Result> results() {
        return List.copyOf(mResults);
    }

    /** Returns the number of results with an outcome. */
    static long count(List<Result> results, Outcome outcome) {
        return results.stream().filter(result -> result.outcome() == outcome).count();
    }

    /** Returns the results with an outcome. */
    static List<Result> withOutcome(List<Result> results, Outcome outcome) {
        return results.stream().filter(result -> result.outcome() == outcome).toList();
    }
}
