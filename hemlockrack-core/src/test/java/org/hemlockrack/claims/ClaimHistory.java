package org.hemlockrack.claims;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.WorkspaceId;

/**
 * One seeded history of several entry instances over one log, with an oracle that counts runs.
 * Times are in milliseconds; deciders get them in nanoseconds.
 */
final class ClaimHistory {
    static final long EXPIRY_MILLIS = 7_200_000;
    private static final long SENDS_END_MILLIS = 120_000;
    private static final ClaimSession.Timeouts TIMES =
            new ClaimSession.Timeouts(
                    5_000_000_000L, 1_000_000_000L, 20_000_000_000L, 60_000_000_000L);

    /** The correct system, or a broken one that the oracle must catch. */
    enum Variant {
        CORRECT,
        DISPATCHES_UNCERTAIN,
        NEVER_ASKS,
        REUSES_ATTEMPTS
    }

    private final SplittableRandom mRandom;
    private final Variant mVariant;
    private final Map<String, Integer> mCounts;
    private final List<String> mViolations = new ArrayList<>();
    private final PriorityQueue<Step> mSteps = new PriorityQueue<>();
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<Caller> mCallers = new ArrayList<>();
    private final Map<AttemptId, Long> mStamps = new HashMap<>();
    private final Set<AttemptId> mFinished = new HashSet<>();
    private final Map<ClaimKey, List<Run>> mRuns = new HashMap<>();
    private final Set<ClaimKey> mLostHolders = new HashSet<>();
    private final ClaimLimits mLimits = new ClaimLimits(EXPIRY_MILLIS, 100, 1 << 20, 64);
    private ClaimState mState = ClaimState.of(() -> mLimits);
    private long mNow;
    private long mOrder;
    private boolean mFaults = true;

    /** One of this many fates is drawn; the first seven are faults. */
    private final int mFates;

    private record Run(AttemptId attempt, BodyHash body, String answer) {}

    private record Step(long at, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(at, other.at);
            return byTime == 0 ? Long.compare(order, other.order) : byTime;
        }
    }

    private static final class Instance {
        InstanceId mId;
        long mIncarnation;
        AttemptSource mSource;
        AbandonedAttempts mAbandoned;
        long mFrozenUntil;
    }

    private static final class Caller {
        ClaimKey mKey;
        BodyHash mBody;
        Instance mInstance;
        long mIncarnation;
        ClaimSession mSession;
        final Set<AttemptId> mAttempts = new HashSet<>();
        ErrorKind mRefusal;
        boolean mDispatched;
    }

    ClaimHistory(long seed, Variant variant, Map<String, Integer> counts) {
        mRandom = new SplittableRandom(seed);
        mFates = 8 << mRandom.nextInt(3);
        mVariant = variant;
        mCounts = counts;
    }

    /** Runs the history and returns the violations. */
    List<String> run() {
        for (int i = 0; i < 3; i++) {
            Instance instance = new Instance();
            instance.mId = InstanceId.of("i" + i);
            start(instance);
            mInstances.add(instance);
        }
        for (int i = 0; i < 14; i++) {
            after(mRandom.nextLong(SENDS_END_MILLIS), () -> send(key(), body(), instance()));
        }
        for (int i = 0; i < mRandom.nextInt(4); i++) {
            after(mRandom.nextLong(SENDS_END_MILLIS), this::disturbInstance);
        }
        long lateSend = mRandom.nextInt(3) == 0 ? EXPIRY_MILLIS + mRandom.nextLong(300_000) : 0;
        after(lateSend, () -> send(key(), body(), instance()));
        drain();
        mFaults = false;
        checkLiveness();
        mCallers.forEach(this::checkNotRun);
        return mViolations;
    }

    private void drain() {
        while (!mSteps.isEmpty()) {
            Step step = mSteps.remove();
            mNow = step.at();
            count("steps");
            step.action().run();
        }
    }

    private void start(Instance instance) {
        instance.mIncarnation++;
        instance.mSource = AttemptSource.of(instance.mId, instance.mIncarnation);
        instance.mAbandoned = AbandonedAttempts.of(instance.mSource);
    }

    private void disturbInstance() {
        Instance instance = instance();
        if (mRandom.nextBoolean()) {
            count("freezes");
            long millis = mRandom.nextInt(5) == 0 ? EXPIRY_MILLIS : 15_000;
            instance.mFrozenUntil = mNow + mRandom.nextLong(millis + 60_000);
            return;
        }
        count("crashes");
        for (Caller caller : mCallers) {
            if (caller.mInstance == instance && mayHold(caller)) {
                mLostHolders.add(caller.mKey);
            }
        }
        start(instance);
    }

    private static boolean mayHold(Caller caller) {
        AbandonedAttempts abandoned = caller.mInstance.mAbandoned;
        boolean lives = caller.mIncarnation == caller.mInstance.mIncarnation;
        boolean active = caller.mSession.nextTimerNanos() != Long.MAX_VALUE;
        return lives && (active || caller.mAttempts.stream().anyMatch(abandoned::isAbandoned));
    }

    private Caller send(ClaimKey key, BodyHash body, Instance instance) {
        count("sends");
        Caller caller = new Caller();
        caller.mKey = key;
        caller.mBody = body;
        caller.mInstance = instance;
        caller.mIncarnation = instance.mIncarnation;
        caller.mSession =
                ClaimSession.of(key, body, instance.mSource, instance.mAbandoned, TIMES, 64);
        mCallers.add(caller);
        deliver(caller, new ClaimSession.Started());
        return caller;
    }

    /** Delivers an event to a session unless its process is gone; waits while it is frozen. */
    private void deliver(Caller caller, ClaimSession.Event event) {
        Instance instance = caller.mInstance;
        if (caller.mIncarnation != instance.mIncarnation) {
            return;
        }
        if (instance.mFrozenUntil > mNow) {
            after(instance.mFrozenUntil - mNow, () -> deliver(caller, event));
            return;
        }
        List<ClaimSession.Output> out = new ArrayList<>();
        caller.mSession.onEvent(mNow * 1_000_000, event, out::add);
        out.forEach(output -> carryOut(caller, output));
        wake(caller);
    }

    private void wake(Caller caller) {
        long session = caller.mSession.nextTimerNanos();
        if (session != Long.MAX_VALUE) {
            after(session / 1_000_000 - mNow, () -> onTimer(caller));
        }
        wakeReleases(caller.mInstance, caller.mInstance.mAbandoned);
    }

    private void onTimer(Caller caller) {
        boolean gone = caller.mIncarnation != caller.mInstance.mIncarnation;
        if (!gone && caller.mSession.nextTimerNanos() <= mNow * 1_000_000) {
            deliver(caller, new ClaimSession.ClaimNotAppended(attempt("none#0#0")));
        }
    }

    private void wakeReleases(Instance instance, AbandonedAttempts abandoned) {
        long next = abandoned.nextTimerNanos();
        if (next == Long.MAX_VALUE || abandoned != instance.mAbandoned) {
            return;
        }
        long due = Math.max(next / 1_000_000, instance.mFrozenUntil);
        after(due - mNow, () -> release(instance, abandoned));
    }

    private void release(Instance instance, AbandonedAttempts abandoned) {
        boolean due = abandoned.nextTimerNanos() <= mNow * 1_000_000;
        if (abandoned != instance.mAbandoned || !due) {
            return;
        }
        List<AbandonedAttempts.Output> out = new ArrayList<>();
        abandoned.onTimer(mNow * 1_000_000, out::add);
        for (AbandonedAttempts.Output output : out) {
            ClaimCommand command = ((AbandonedAttempts.ProposeRelease) output).command();
            AbandonedAttempts.Event event = new AbandonedAttempts.ReleaseApplied(command.attempt());
            propose(
                    command,
                    result -> {
                        abandoned.onEvent(mNow * 1_000_000, event, o -> {});
                        wakeReleases(instance, abandoned);
                    },
                    () -> {},
                    () -> {});
        }
        wakeReleases(instance, abandoned);
    }

    private void carryOut(Caller caller, ClaimSession.Output output) {
        if (output instanceof ClaimSession.ProposeClaim propose) {
            AttemptId attempt = propose.command().attempt();
            caller.mAttempts.add(attempt);
            propose(
                    propose.command(),
                    result -> deliver(caller, new ClaimSession.ClaimApplied(attempt, result)),
                    () -> deliver(caller, new ClaimSession.ClaimNotAppended(attempt)),
                    () -> deliver(caller, uncertain(attempt)));
        } else if (output instanceof ClaimSession.ProposeFinish propose) {
            propose(
                    propose.command(),
                    result -> deliver(caller, new ClaimSession.FinishApplied()),
                    () -> {},
                    () -> {});
        } else if (output instanceof ClaimSession.QueryHolder ask) {
            askHolder(caller, ask.attempt());
        } else if (output instanceof ClaimSession.Dispatch dispatch) {
            dispatch(caller, dispatch.attempt());
        } else if (output instanceof ClaimSession.Refuse refuse) {
            caller.mRefusal = refuse.kind();
            count("refused " + refuse.kind());
            if (mFaults && mCallers.size() < 40 && mRandom.nextBoolean()) {
                count("resends after a refusal");
                after(delay(), () -> send(caller.mKey, caller.mBody, instance()));
            }
        } else if (output instanceof ClaimSession.ReplayAnswer replay) {
            checkReplay(caller, replay.answer());
        }
    }

    private ClaimSession.Event uncertain(AttemptId attempt) {
        return mVariant == Variant.DISPATCHES_UNCERTAIN
                ? new ClaimSession.ClaimApplied(attempt, new ClaimResult.Granted())
                : new ClaimSession.ClaimOutcomeUnknown(attempt);
    }

    private interface Answer {
        void accept(ClaimResult result);
    }

    private void propose(
            ClaimCommand command, Answer answer, Runnable notAppended, Runnable uncertain) {
        int fate = mFaults ? mRandom.nextInt(mFates) : 7;
        long late = mRandom.nextInt(8) == 0 ? EXPIRY_MILLIS + 60_000 : 30_000;
        switch (fate) {
            case 0 -> {
                count("fault: proposal lost");
                after(delay(), uncertain);
            }
            case 1 -> {
                count("fault: proposal not appended");
                after(delay(), notAppended);
            }
            case 2 -> {
                count("fault: answer lost");
                after(delay(), () -> apply(command));
                after(delay(), uncertain);
            }
            case 3, 4 -> {
                count("fault: proposal late");
                after(mRandom.nextLong(late), () -> answerLater(apply(command), answer));
                after(delay(), mRandom.nextBoolean() ? uncertain : () -> {});
            }
            case 5, 6 -> {
                count("fault: proposal doubled");
                after(delay(), () -> answerLater(apply(command), answer));
                after(mRandom.nextLong(late), () -> answerLater(apply(command), answer));
            }
            default -> after(delay(), () -> answerLater(apply(command), answer));
        }
    }

    private void answerLater(ClaimResult result, Answer answer) {
        boolean late = mFaults && mRandom.nextInt(12) == 0;
        if (late) {
            count("fault: answer late");
        }
        after(late ? mRandom.nextLong(20_000) : delay(), () -> answer.accept(result));
    }

    private ClaimResult apply(ClaimCommand command) {
        if (mRandom.nextInt(10) == 0) {
            count("restarts from a snapshot");
            byte[] snapshot = mState.snapshot();
            mState = ClaimState.of(() -> mLimits);
            mState.restore(snapshot);
        }
        byte[] bytes = mVariant == Variant.REUSES_ATTEMPTS ? reuse(command) : command.encode();
        ClaimResult result = ClaimResult.decode(mState.apply(0, mNow, bytes));
        count("applied " + result.getClass().getSimpleName());
        if (result instanceof ClaimResult.Granted) {
            mStamps.put(command.attempt(), mNow);
        }
        // A claim expires after its first end; a doubled one does not prolong it.
        if (result instanceof ClaimResult.Recorded && mFinished.add(command.attempt())) {
            mStamps.put(command.attempt(), mNow);
        }
        return result;
    }

    /** Makes the state see every claim command as a new attempt of the same holder. */
    private byte[] reuse(ClaimCommand command) {
        if (!(command instanceof ClaimCommand.Claim claim)
                || !mStamps.containsKey(claim.attempt())) {
            return command.encode();
        }
        AttemptId old = claim.attempt();
        AttemptId fresh = new AttemptId(old.holder(), old.incarnation(), old.sequence() + 1000);
        return new ClaimCommand.Claim(
                        claim.key(),
                        fresh,
                        claim.lowestPending(),
                        claim.bodyHash(),
                        Optional.empty())
                .encode();
    }

    private void askHolder(Caller caller, AttemptId asked) {
        if (mFaults && mRandom.nextInt(6) == 0) {
            count("fault: question lost");
            return;
        }
        after(
                delay(),
                () -> {
                    boolean abandoned = mVariant == Variant.NEVER_ASKS;
                    for (Instance instance : mInstances) {
                        boolean answers =
                                instance.mId.equals(asked.holder())
                                        && instance.mFrozenUntil <= mNow;
                        abandoned |= answers && instance.mAbandoned.isAbandoned(asked);
                    }
                    boolean answer = abandoned;
                    count(answer ? "holder says abandoned" : "holder says not known");
                    after(
                            delay(),
                            () -> deliver(caller, new ClaimSession.HolderReplied(asked, answer)));
                });
    }

    private void dispatch(Caller caller, AttemptId attempt) {
        caller.mDispatched = true;
        int fate = mFaults ? mRandom.nextInt(mFates / 2) : 7;
        if (fate <= 1) {
            count("fault: not dispatched");
            ErrorKind kind = fate == 0 ? ErrorKind.NO_BACKEND : ErrorKind.BACKEND_FAILED;
            after(delay(), () -> deliver(caller, new ClaimSession.NotDispatched(kind)));
            return;
        }
        String answer = caller.mKey.key() + " run by " + attempt;
        after(delay(), () -> runCommand(caller, attempt, answer));
        long duration = 100 + mRandom.nextLong(fate == 2 ? 40_000 : 2_000);
        ClaimSession.Event end =
                fate == 3
                        ? new ClaimSession.AnswerLost(ErrorKind.BACKEND_FAILED)
                        : new ClaimSession.AnswerArrived(
                                RecordedAnswer.complete(
                                        200,
                                        List.of(new RecordedAnswer.Header("X", "1")),
                                        answer.getBytes(StandardCharsets.UTF_8)));
        after(duration, () -> deliver(caller, end));
    }

    private void runCommand(Caller caller, AttemptId attempt, String answer) {
        count("runs");
        List<Run> runs = mRuns.computeIfAbsent(caller.mKey, key -> new ArrayList<>());
        for (Run earlier : runs) {
            long stamp = mStamps.getOrDefault(earlier.attempt(), mNow);
            if (mNow < stamp + EXPIRY_MILLIS) {
                violation(caller.mKey + " ran by " + earlier.attempt() + " and " + attempt);
            }
        }
        runs.add(new Run(attempt, caller.mBody, answer));
    }

    private void checkReplay(Caller caller, RecordedAnswer answer) {
        count("replays");
        String text = new String(answer.body(), StandardCharsets.UTF_8);
        for (Run run : mRuns.getOrDefault(caller.mKey, List.of())) {
            if (run.answer().equals(text) && run.body().equals(caller.mBody)) {
                return;
            }
        }
        violation(caller.mKey + " was answered with " + text);
    }

    /** A key without a run must be usable again, unless a process that held it is gone. */
    private void checkLiveness() {
        for (int i = 0; i < 3; i++) {
            ClaimKey key = new ClaimKey(WorkspaceId.of("w"), "k" + i);
            if (mRuns.containsKey(key) || mLostHolders.contains(key)) {
                continue;
            }
            count("keys checked for a later run");
            mInstances.forEach(instance -> instance.mFrozenUntil = 0);
            Caller last = send(key, BodyHash.of("POST", "/", new byte[1]), instance());
            drain();
            if (!last.mDispatched) {
                violation(key + " cannot be run any more: " + last.mRefusal);
            }
        }
    }

    private void checkNotRun(Caller caller) {
        if (caller.mRefusal == null || caller.mRefusal.runState() != RunState.NOT_RUN) {
            return;
        }
        for (Run run : mRuns.getOrDefault(caller.mKey, List.of())) {
            if (caller.mAttempts.contains(run.attempt())) {
                violation(run.attempt() + " ran but was refused as " + caller.mRefusal);
            }
        }
    }

    private void violation(String text) {
        mViolations.add("at " + mNow + " ms: " + text);
    }

    private void after(long millis, Runnable action) {
        mSteps.add(new Step(mNow + Math.max(0, millis), mOrder++, action));
    }

    private long delay() {
        return 1 + mRandom.nextLong(50);
    }

    private Instance instance() {
        return mInstances.get(mRandom.nextInt(3));
    }

    private ClaimKey key() {
        return new ClaimKey(WorkspaceId.of("w"), "k" + mRandom.nextInt(3));
    }

    private BodyHash body() {
        return BodyHash.of("POST", "/", new byte[mRandom.nextInt(10) == 0 ? 2 : 1]);
    }

    private static AttemptId attempt(String text) {
        return AttemptId.parse(text);
    }

    private void count(String what) {
        mCounts.merge(what, 1, Integer::sum);
    }
}
