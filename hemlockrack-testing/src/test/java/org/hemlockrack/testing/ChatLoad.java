package org.hemlockrack.testing;

import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Callers that send streamed chats one after the other and judge each answer. */
final class ChatLoad {
    /** How an answer ended for its caller. */
    enum End {
        /** Whole, with all tokens in order and the terminator. */
        WHOLE,
        /** A refusal with an error kind. */
        REFUSED,
        /** A stream that ends with an error event and without the terminator. */
        ERROR_EVENT,
        /** A connection that broke before the end of the answer. */
        BROKEN,
        /** No connection; the instance takes no callers. */
        NOT_CONNECTED,
        /** Looks complete but is not, or holds another caller's bytes. */
        WRONG
    }

    /** One answer. */
    record Result(String chat, String instance, long startedNanos, End end, String detail) {}

    private final FleetRig mRig;
    private final String mName;
    private final int mTokens;
    private final long mDeadlineMillis;
    private final Supplier<String> mBalancer;
    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final AtomicInteger mNext = new AtomicInteger();
    private final ConcurrentLinkedQueue<Result> mResults = new ConcurrentLinkedQueue<>();
    private final List<Thread> mCallers = new ArrayList<>();

    private ChatLoad(
            FleetRig rig, String name, int tokens, long deadlineMillis, Supplier<String> balancer) {
        mRig = rig;
        mName = name;
        mTokens = tokens;
        mDeadlineMillis = deadlineMillis;
        mBalancer = balancer;
    }

    /** Starts callers; the balancer names the instance of each chat. */
    static ChatLoad start(
            FleetRig rig,
            String name,
            int callers,
            int tokens,
            long deadlineMillis,
            Supplier<String> balancer) {
        ChatLoad load = new ChatLoad(rig, name, tokens, deadlineMillis, balancer);
        for (int i = 0; i < callers; i++) {
            Thread thread = new Thread(load::run, "caller-" + i);
            load.mCallers.add(thread);
            thread.start();
        }
        return load;
    }

    private void run() {
        while (!mStopped.get()) {
            String chat = mName + "-" + mNext.getAndIncrement();
            String instance = mBalancer.get();
            long startedNanos = System.nanoTime();
            Result result = judge(chat, instance, startedNanos);
            mResults.add(result);
            if (result.end() == End.NOT_CONNECTED || result.end() == End.REFUSED) {
                LocalFleet.sleep(20);
            }
        }
    }

    private Result judge(String chat, String instance, long startedNanos) {
        try {
            FleetClient.Answer answer =
                    mRig.client().sendChat(mRig.callers(instance), chat, mDeadlineMillis, mTokens);
            End end = judge(chat, mTokens, answer);
            return new Result(chat, instance, startedNanos, end, answer.status() + answer.body());
        } catch (UncheckedIOException e) {
            boolean refused = e.getCause() instanceof ConnectException;
            End end = refused ? End.NOT_CONNECTED : End.BROKEN;
            return new Result(chat, instance, startedNanos, end, String.valueOf(e.getCause()));
        }
    }

    /** Judges an answer to a chat. */
    static End judge(String chat, int tokens, FleetClient.Answer answer) {
        String body = answer.body();
        if (answer.status() != 200) {
            boolean explicit = body.startsWith("{\"error\":{\"kind\"");
            return explicit ? End.REFUSED : End.WRONG;
        }
        List<String> data = body.lines().filter(line -> line.startsWith("data: ")).toList();
        boolean terminated = body.endsWith("data: [DONE]\n\n");
        int sent = data.size() - 1;
        for (int i = 0; i < sent; i++) {
            String text = data.get(i);
            boolean own = text.contains("\"chat\":\"" + chat + "\"");
            if (!own || !text.contains("token" + (i + 1) + " ")) {
                return End.WRONG;
            }
        }
        if (terminated) {
            return sent == tokens ? End.WHOLE : End.WRONG;
        }
        return body.contains("event: error\ndata: {\"error\":") ? End.ERROR_EVENT : End.WRONG;
    }

    /** Ends the callers after their current chats. */
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

    /** Returns how many answers ended in a way. */
    static long count(List<Result> results, End end) {
        return results.stream().filter(result -> result.end() == end).count();
    }

    /** Returns the answers that ended in a way. */
    static List<Result> of(List<Result> results, End end) {
        return results.stream().filter(result -> result.end() == end).toList();
    }
}
