package org.hemlockrack.daemon.controller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.duties.DutyHolder;
import org.hemlockrack.duties.ReplicaOrder;
import org.hemlockrack.duties.UsageWindow;

/** The platform API with fencing, which can refuse, lose and delay calls. */
final class FakePlatform implements DutyCalls {
    enum Mode {
        ANSWERS,
        /** Answers 429. */
        LIMITS,
        /** No call arrives. */
        ABSENT,
        /** No call is answered; each is executed when {@link #executeLate} is called. */
        LATE
    }

    record Executed(long atMillis, long token, String subject, String body, int status) {}

    private final Map<String, Long> mTokens = new HashMap<>();
    private final Deque<Call> mLate = new ArrayDeque<>();
    private final List<Executed> mExecuted = new ArrayList<>();
    private final List<Long> mAttemptMillis = new ArrayList<>();
    private Mode mMode = Mode.ANSWERS;
    private long mNowMillis;

    void setMode(Mode mode) {
        mMode = mode;
    }

    void setNowMillis(long nowMillis) {
        mNowMillis = nowMillis;
    }

    /** Pretends that a holder with a token has called. */
    void seeToken(String subject, long token) {
        mTokens.put(subject, token);
    }

    /** Returns the calls that were executed, accepted or not. */
    List<Executed> executed() {
        return mExecuted;
    }

    /** Returns the accepted calls of a path, in the order of their execution. */
    List<Executed> accepted(String path) {
        return mExecuted.stream()
                .filter(each -> each.status() == 200 && each.subject().equals(path))
                .toList();
    }

    List<Long> attemptMillis() {
        return mAttemptMillis;
    }

    DutyTransport transport() {
        return this::send;
    }

    private void send(Call call, BooleanSupplier maySend, IntConsumer onEnd) {
        if (!maySend.getAsBoolean()) {
            onEnd.accept(DutyTransport.NO_ANSWER);
            return;
        }
        mAttemptMillis.add(mNowMillis);
        switch (mMode) {
            case ANSWERS -> onEnd.accept(execute(call));
            case LIMITS -> onEnd.accept(429);
            case ABSENT -> onEnd.accept(DutyTransport.NO_ANSWER);
            default -> {
                mLate.add(call);
                onEnd.accept(DutyTransport.NO_ANSWER);
            }
        }
    }

    /** Executes the calls that were not answered, the newest first. */
    void executeLate() {
        while (!mLate.isEmpty()) {
            execute(mLate.pollLast());
        }
    }

    private int execute(Call call) {
        long token = Long.parseLong(call.headers().get(0).value());
        boolean isOutdated = token < mTokens.getOrDefault(call.path(), 0L);
        if (!isOutdated) {
            mTokens.put(call.path(), token);
        }
        int status = isOutdated ? 409 : 200;
        String body = new String(call.body(), StandardCharsets.UTF_8);
        mExecuted.add(new Executed(mNowMillis, token, call.path(), body, status));
        return status;
    }

    @Override
    public Call reportUsage(DutyHolder holder, UsageWindow window) {
        return new Call(
                "POST",
                "/usage",
                List.of(HeaderField.of("token", Long.toString(holder.token()))),
                (window.id() + " " + window.counts()).getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public Call setReplicas(DutyHolder holder, ReplicaOrder order) {
        return new Call(
                "POST",
                "/replicas",
                List.of(HeaderField.of("token", Long.toString(holder.token()))),
                Integer.toString(order.servers()).getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public DutyAnswer readAnswer(int status) {
        return switch (status) {
            case 200 -> DutyAnswer.ACCEPTED;
            case 409 -> DutyAnswer.OUTDATED;
            case 429 -> DutyAnswer.LIMITED;
            default -> DutyAnswer.UNKNOWN;
        };
    }
}
