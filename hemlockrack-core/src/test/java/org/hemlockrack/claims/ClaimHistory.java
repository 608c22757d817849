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
 * Seeded simulation of several instances that claim keys in one replicated log, with an oracle that
 * checks each run of a command. Simulated time is in milliseconds and passed to deciders in
 * nanoseconds.
 */
final class ClaimHistory {
    static final long EXPIRY_MILLIS = 7_200_000;
    private static final long MAX_SEND_MILLIS = 120_000;
    private static final ClaimSession.Timeouts TIMEOUTS =
            new ClaimSession.Timeouts(
                    5_000_000_000L, 1_000_000_000L, 20_000_000_000L, 60_000_000_000L);

    /** The correct protocol, or a deliberately broken one that the oracle must detect. */
    enum Variant {
        CORRECT,
        DISPATCHES_ON_UNKNOWN_OUTCOME,
        TAKES_OVER_WITHOUT_QUERY,
        REUSES_ATTEMPTS
    }

    private final SplittableRandom mRandom;
    private final Variant mVariant;
    private final Map<String, Integer> mCounts;
    private final List<String> mViolations = new ArrayList<>();
    private final PriorityQueue<Step> mSteps = new PriorityQueue<>();
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<Caller> mCallers = new ArrayList<>();
    private final Map<AttemptId, Long> mLastChangeMillis = new HashMap<>();
    private final Set<AttemptId> mFinished = new HashSet<>();
    private final Map<ClaimKey, List<Run>> mRuns = new HashMap<>();
    private final Set<ClaimKey> mKeysOfEndedProcesses = new HashSet<>();
    private final ClaimLimits mLimits = new ClaimLimits(EXPIRY_MILLIS, 100, 1 << 20, 64);
    private ClaimState mState = ClaimState.of(() -> mLimits);
    private long mNowMillis;
    private long mNextStepOrder;
    private boolean mFaultsEnabled = true;

    /**
     * Proposals draw a number below this, of which 0 to 6 are faults; dispatches draw one below
     * half of it, of which 0 to 3 are faults. So a larger value means fewer faults.
     */
    private final int mFaultDrawBound;

    /** One execution of a command at a backend server. */
    private record Run(AttemptId attempt, BodyHash body, String answer) {}

    private record Step(long atMillis, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime == 0 ? Long.compare(order, other.order) : byTime;
        }
    }

    private static final class Instance {
        InstanceId mId;
        long mIncarnation;
        AttemptSource mSource;
        AbandonedAttempts mAbandoned;
        long mFrozenUntilMillis;
    }

    /** One request of a caller and the session that handles it. */
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
        mFaultDrawBound = 8 << mRandom.nextInt(3);
        mVariant = variant;
        mCounts = counts;
    }

    /** Runs the history and returns the violations. */
    List<String> run() {
        for (int i = 0; i < 3; i++) {
            Instance instance = new Instance();
            instance.mId = InstanceId.of("i" + i);
            startProcess(instance);
            mInstances.add(instance);
        }
        for (int i = 0; i < 14; i++) {
            schedule(
                    mRandom.nextLong(MAX_SEND_MILLIS),
                    () -> sendCommand(randomKey(), randomBody(), randomInstance()));
        }
        for (int i = 0; i < mRandom.nextInt(4); i++) {
            schedule(mRandom.nextLong(MAX_SEND_MILLIS), this::freezeOrRestartInstance);
        }
        long lateSendMillis =
                mRandom.nextInt(3) == 0 ? EXPIRY_MILLIS + mRandom.nextLong(300_000) : 0;
        schedule(lateSendMillis, () -> sendCommand(randomKey(), randomBody(), randomInstance()));
        runAllSteps();
        mFaultsEnabled = false;
        checkLiveness();
        mCallers.forEach(this::checkNotRunRefusal);
        return mViolations;
    }

    private void runAllSteps() {
        while (!mSteps.isEmpty()) {
            Step step = mSteps.remove();
            mNowMillis = step.atMillis();
            count("steps");
            step.action().run();
        }
    }

    private void startProcess(Instance instance) {
        instance.mIncarnation++;
        instance.mSource = AttemptSource.of(instance.mId, instance.mIncarnation);
        instance.mAbandoned = AbandonedAttempts.of(instance.mSource);
    }

    private void freezeOrRestartInstance() {
        Instance instance = randomInstance();
        if (mRandom.nextBoolean()) {
            count("freezes");
            long maxFreezeMillis = mRandom.nextInt(5) == 0 ? EXPIRY_MILLIS : 15_000;
            instance.mFrozenUntilMillis = mNowMillis + mRandom.nextLong(maxFreezeMillis + 60_000);
            return;
        }
        count("crashes");
        for (Caller caller : mCallers) {
            if (caller.mInstance == instance && mayHoldClaim(caller)) {
                mKeysOfEndedProcesses.add(caller.mKey);
            }
        }
        startProcess(instance);
    }

    /** Returns whether a crash of the instance now may leave a claim open until it expires. */
    private static boolean mayHoldClaim(Caller caller) {
        AbandonedAttempts abandoned = caller.mInstance.mAbandoned;
        boolean isCurrentProcess = caller.mIncarnation == caller.mInstance.mIncarnation;
        boolean active = caller.mSession.nextTimerNanos() != Long.MAX_VALUE;
        return isCurrentProcess
                && (active || caller.mAttempts.stream().anyMatch(abandoned::isAbandoned));
    }

    private Caller sendCommand(ClaimKey key, BodyHash body, Instance instance) {
        count("sends");
        Caller caller = new Caller();
        caller.mKey = key;
        caller.mBody = body;
        caller.mInstance = instance;
        caller.mIncarnation = instance.mIncarnation;
        caller.mSession =
                ClaimSession.of(key, body, instance.mSource, instance.mAbandoned, TIMEOUTS, 64);
        mCallers.add(caller);
        deliverEvent(caller, new ClaimSession.Started());
        return caller;
    }

    /** Delivers an event to a session unless its process ended; waits while it is frozen. */
    private void deliverEvent(Caller caller, ClaimSession.Event event) {
        Instance instance = caller.mInstance;
        if (caller.mIncarnation != instance.mIncarnation) {
            return;
        }
        if (instance.mFrozenUntilMillis > mNowMillis) {
            schedule(instance.mFrozenUntilMillis - mNowMillis, () -> deliverEvent(caller, event));
            return;
        }
        List<ClaimSession.Output> out = new ArrayList<>();
        caller.mSession.onEvent(mNowMillis * 1_000_000, event, out::add);
        out.forEach(output -> execute(caller, output));
        scheduleTimers(caller);
    }

    private void scheduleTimers(Caller caller) {
        long timerNanos = caller.mSession.nextTimerNanos();
        if (timerNanos != Long.MAX_VALUE) {
            schedule(timerNanos / 1_000_000 - mNowMillis, () -> onTimer(caller));
        }
        scheduleReleases(caller.mInstance, caller.mInstance.mAbandoned);
    }

    /** Delivers an event that no session matches, so that only a due timer has an effect. */
    private void onTimer(Caller caller) {
        boolean processGone = caller.mIncarnation != caller.mInstance.mIncarnation;
        if (!processGone && caller.mSession.nextTimerNanos() <= mNowMillis * 1_000_000) {
            deliverEvent(caller, new ClaimSession.ClaimNotAppended(attempt("none#0#0")));
        }
    }

    private void scheduleReleases(Instance instance, AbandonedAttempts abandoned) {
        long nextNanos = abandoned.nextTimerNanos();
        if (nextNanos == Long.MAX_VALUE || abandoned != instance.mAbandoned) {
            return;
        }
        long dueMillis = Math.max(nextNanos / 1_000_000, instance.mFrozenUntilMillis);
        schedule(dueMillis - mNowMillis, () -> proposeReleases(instance, abandoned));
    }

    private void proposeReleases(Instance instance, AbandonedAttempts abandoned) {
        boolean due = abandoned.nextTimerNanos() <= mNowMillis * 1_000_000;
        if (abandoned != instance.mAbandoned || !due) {
            return;
        }
        List<AbandonedAttempts.Output> out = new ArrayList<>();
        abandoned.onTimer(mNowMillis * 1_000_000, out::add);
        for (AbandonedAttempts.Output output : out) {
            ClaimCommand command = ((AbandonedAttempts.ProposeRelease) output).command();
            AbandonedAttempts.Event event = new AbandonedAttempts.ReleaseApplied(command.attempt());
            propose(
                    command,
                    result -> {
                        abandoned.onEvent(mNowMillis * 1_000_000, event, o -> {});
                        scheduleReleases(instance, abandoned);
                    },
                    () -> {},
                    () -> {});
        }
        scheduleReleases(instance, abandoned);
    }

    private void execute(Caller caller, ClaimSession.Output output) {
        if (output instanceof ClaimSession.ProposeClaim propose) {
            AttemptId attempt = propose.command().attempt();
            caller.mAttempts.add(attempt);
            propose(
                    propose.command(),
                    result -> deliverEvent(caller, new ClaimSession.ClaimApplied(attempt, result)),
                    () -> deliverEvent(caller, new ClaimSession.ClaimNotAppended(attempt)),
                    () -> deliverEvent(caller, unknownOutcome(attempt)));
        } else if (output instanceof ClaimSession.ProposeFinish propose) {
            propose(
                    propose.command(),
                    result -> deliverEvent(caller, new ClaimSession.FinishApplied()),
                    () -> {},
                    () -> {});
        } else if (output instanceof ClaimSession.QueryHolder query) {
            queryHolder(caller, query.attempt());
        } else if (output instanceof ClaimSession.Dispatch dispatch) {
            dispatch(caller, dispatch.attempt());
        } else if (output instanceof ClaimSession.Refuse refuse) {
            caller.mRefusal = refuse.kind();
            count("refused " + refuse.kind());
            if (mFaultsEnabled && mCallers.size() < 40 && mRandom.nextBoolean()) {
                count("retries after a refusal");
                schedule(
                        randomDelayMillis(),
                        () -> sendCommand(caller.mKey, caller.mBody, randomInstance()));
            }
        } else if (output instanceof ClaimSession.ReplayAnswer replay) {
            checkReplay(caller, replay.answer());
        }
    }

    private ClaimSession.Event unknownOutcome(AttemptId attempt) {
        return mVariant == Variant.DISPATCHES_ON_UNKNOWN_OUTCOME
                ? new ClaimSession.ClaimApplied(attempt, new ClaimResult.Granted())
                : new ClaimSession.ClaimOutcomeUnknown(attempt);
    }

    private interface ResultCallback {
        void accept(ClaimResult result);
    }

    private void propose(
            ClaimCommand command,
            ResultCallback callback,
            Runnable onNotAppended,
            Runnable onUnknownOutcome) {
        int faultDraw = mFaultsEnabled ? mRandom.nextInt(mFaultDrawBound) : 7;
        long maxLateMillis = mRandom.nextInt(8) == 0 ? EXPIRY_MILLIS + 60_000 : 30_000;
        switch (faultDraw) {
            case 0 -> {
                count("fault: proposal lost");
                schedule(randomDelayMillis(), onUnknownOutcome);
            }
            case 1 -> {
                count("fault: proposal not appended");
                schedule(randomDelayMillis(), onNotAppended);
            }
            case 2 -> {
                count("fault: result lost");
                schedule(randomDelayMillis(), () -> apply(command));
                schedule(randomDelayMillis(), onUnknownOutcome);
            }
            case 3, 4 -> {
                count("fault: proposal late");
                schedule(
                        mRandom.nextLong(maxLateMillis),
                        () -> scheduleResult(apply(command), callback));
                schedule(randomDelayMillis(), mRandom.nextBoolean() ? onUnknownOutcome : () -> {});
            }
            case 5, 6 -> {
                count("fault: proposal duplicated");
                schedule(randomDelayMillis(), () -> scheduleResult(apply(command), callback));
                schedule(
                        mRandom.nextLong(maxLateMillis),
                        () -> scheduleResult(apply(command), callback));
            }
            default ->
                    schedule(randomDelayMillis(), () -> scheduleResult(apply(command), callback));
        }
    }

    private void scheduleResult(ClaimResult result, ResultCallback callback) {
        boolean late = mFaultsEnabled && mRandom.nextInt(12) == 0;
        if (late) {
            count("fault: result late");
        }
        schedule(
                late ? mRandom.nextLong(20_000) : randomDelayMillis(),
                () -> callback.accept(result));
    }

    private ClaimResult apply(ClaimCommand command) {
        if (mRandom.nextInt(10) == 0) {
            count("restarts from a snapshot");
            byte[] snapshot = mState.snapshot();
            mState = ClaimState.of(() -> mLimits);
            mState.restore(snapshot);
        }
        byte[] bytes =
                mVariant == Variant.REUSES_ATTEMPTS
                        ? encodeAsNewAttempt(command)
                        : command.encode();
        ClaimResult result = ClaimResult.decode(mState.apply(0, mNowMillis, bytes));
        count("applied " + result.getClass().getSimpleName());
        if (result instanceof ClaimResult.Granted) {
            mLastChangeMillis.put(command.attempt(), mNowMillis);
        }
        // Only the first finish sets the expiry of a claim; duplicates do not extend it.
        if (result instanceof ClaimResult.Recorded && mFinished.add(command.attempt())) {
            mLastChangeMillis.put(command.attempt(), mNowMillis);
        }
        return result;
    }

    /** Encodes the claim of an attempt that was granted before as a new attempt of its holder. */
    private byte[] encodeAsNewAttempt(ClaimCommand command) {
        if (!(command instanceof ClaimCommand.Claim claim)
                || !mLastChangeMillis.containsKey(claim.attempt())) {
            return command.encode();
        }
        AttemptId old = claim.attempt();
        AttemptId newAttempt =
                new AttemptId(old.holder(), old.incarnation(), old.sequence() + 1000);
        return new ClaimCommand.Claim(
                        claim.key(),
                        newAttempt,
                        claim.lowestPending(),
                        claim.bodyHash(),
                        Optional.empty())
                .encode();
    }

    private void queryHolder(Caller caller, AttemptId attempt) {
        if (mFaultsEnabled && mRandom.nextInt(6) == 0) {
            count("fault: holder query lost");
            return;
        }
        schedule(
                randomDelayMillis(),
                () -> {
                    boolean abandoned = mVariant == Variant.TAKES_OVER_WITHOUT_QUERY;
                    for (Instance instance : mInstances) {
                        boolean isReachableHolder =
                                instance.mId.equals(attempt.holder())
                                        && instance.mFrozenUntilMillis <= mNowMillis;
                        abandoned |= isReachableHolder && instance.mAbandoned.isAbandoned(attempt);
                    }
                    boolean reply = abandoned;
                    count(reply ? "holder replied abandoned" : "holder replied not abandoned");
                    schedule(
                            randomDelayMillis(),
                            () ->
                                    deliverEvent(
                                            caller,
                                            new ClaimSession.HolderReplied(attempt, reply)));
                });
    }

    private void dispatch(Caller caller, AttemptId attempt) {
        caller.mDispatched = true;
        int faultDraw = mFaultsEnabled ? mRandom.nextInt(mFaultDrawBound / 2) : 7;
        if (faultDraw <= 1) {
            count("fault: not dispatched");
            ErrorKind kind = faultDraw == 0 ? ErrorKind.NO_BACKEND : ErrorKind.BACKEND_FAILED;
            schedule(
                    randomDelayMillis(),
                    () -> deliverEvent(caller, new ClaimSession.NotDispatched(kind)));
            return;
        }
        String answer = caller.mKey.key() + " run by " + attempt;
        schedule(randomDelayMillis(), () -> runCommand(caller, attempt, answer));
        long durationMillis = 100 + mRandom.nextLong(faultDraw == 2 ? 40_000 : 2_000);
        ClaimSession.Event end =
                faultDraw == 3
                        ? new ClaimSession.AnswerLost(ErrorKind.BACKEND_FAILED)
                        : new ClaimSession.AnswerArrived(
                                RecordedAnswer.complete(
                                        200,
                                        List.of(new RecordedAnswer.Header("X", "1")),
                                        answer.getBytes(StandardCharsets.UTF_8)));
        schedule(durationMillis, () -> deliverEvent(caller, end));
    }

    private void runCommand(Caller caller, AttemptId attempt, String answer) {
        count("runs");
        List<Run> runs = mRuns.computeIfAbsent(caller.mKey, key -> new ArrayList<>());
        for (Run earlier : runs) {
            long lastChangeMillis = mLastChangeMillis.getOrDefault(earlier.attempt(), mNowMillis);
            if (mNowMillis < lastChangeMillis + EXPIRY_MILLIS) {
                addViolation(caller.mKey + " ran by " + earlier.attempt() + " and " + attempt);
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
        addViolation(caller.mKey + " was answered with " + text);
    }

    /** A key without a run must be usable again, unless a process that may hold it has ended. */
    private void checkLiveness() {
        for (int i = 0; i < 3; i++) {
            ClaimKey key = new ClaimKey(WorkspaceId.of("w"), "k" + i);
            if (mRuns.containsKey(key) || mKeysOfEndedProcesses.contains(key)) {
                continue;
            }
            count("keys checked for a later run");
            mInstances.forEach(instance -> instance.mFrozenUntilMillis = 0);
            Caller caller =
                    sendCommand(key, BodyHash.of("POST", "/", new byte[1]), randomInstance());
            runAllSteps();
            if (!caller.mDispatched) {
                addViolation(key + " cannot be run any more: " + caller.mRefusal);
            }
        }
    }

    private void checkNotRunRefusal(Caller caller) {
        if (caller.mRefusal == null || caller.mRefusal.runState() != RunState.NOT_RUN) {
            return;
        }
        for (Run run : mRuns.getOrDefault(caller.mKey, List.of())) {
            if (caller.mAttempts.contains(run.attempt())) {
                addViolation(run.attempt() + " ran but was refused as " + caller.mRefusal);
            }
        }
    }

    private void addViolation(String text) {
        mViolations.add("at " + mNowMillis + " ms: " + text);
    }

    private void schedule(long millis, Runnable action) {
        mSteps.add(new Step(mNowMillis + Math.max(0, millis), mNextStepOrder++, action));
    }

    private long randomDelayMillis() {
        return 1 + mRandom.nextLong(50);
    }

    private Instance randomInstance() {
        return mInstances.get(mRandom.nextInt(3));
    }

    private ClaimKey randomKey() {
        return new ClaimKey(WorkspaceId.of("w"), "k" + mRandom.nextInt(3));
    }

    private BodyHash randomBody() {
        return BodyHash.of("POST", "/", new byte[mRandom.nextInt(10) == 0 ? 2 : 1]);
    }

    private static AttemptId attempt(String text) {
        return AttemptId.parse(text);
    }

    private void count(String what) {
        mCounts.merge(what, 1, Integer::sum);
    }
}
