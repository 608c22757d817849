package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.hemlockrack.admission.Admission;
import org.hemlockrack.admission.AdmissionEvent;
import org.hemlockrack.admission.AdmissionEvent.Arrived;
import org.hemlockrack.admission.AdmissionOutput;
import org.hemlockrack.admission.AdmissionSettings;
import org.hemlockrack.admission.AnnouncedState;
import org.hemlockrack.admission.LeaseEcho;
import org.hemlockrack.admission.PreviousOwner;
import org.hemlockrack.admission.RequestOutcome;
import org.hemlockrack.admission.WaitMode;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;

/**
 * Compares admission control with a FIFO queue and with strict priority at one simulated backend
 * server. The load is up to three times its capacity, besides a surge of one workspace. Also
 * compares a cold start with and without the concurrency ramp.
 *
 * <p>The simulated server handles {@value #CAPACITY} concurrent requests at full speed; above that
 * each request takes longer in proportion to their number.
 */
public final class AdmissionBench {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    private static final int CAPACITY = 8;
    private static final double SERVICE_SECONDS = 0.4;
    private static final long RUN_NANOS = 120 * NANOS_PER_SECOND;
    private static final double[] LOAD_FACTORS = {0.8, 1.0, 1.5, 3.0};
    private static final int WORKSPACES = 10;

    private enum Policy {
        ADMISSION,
        FIFO,
        STRICT;

        Decider<AdmissionEvent, AdmissionOutput> create(AdmissionSettings settings) {
            if (this == ADMISSION) {
                return Admission.create(
                        settings, InstanceId.of("i"), BackendId.of("b"), 1, -NANOS_PER_SECOND * 10);
            }
            return new QueueBaseline(this == STRICT, CAPACITY, settings.queue().maxLength());
        }
    }

    private record Step(long atNanos, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final class Result {
        private final Map<Priority, int[]> mOnTimeByPriority = new EnumMap<>(Priority.class);
        private final Histogram mDecisionNanos = new Histogram(3);
        private final Histogram mLowWaitMillis = new Histogram(3);
        private int mOnTimeRequests;
        private int mColdOverloads;
        private int mMaxColdExcess;
    }

    private final SplittableRandom mRandom;
    private final Decider<AdmissionEvent, AdmissionOutput> mDecider;
    private final PriorityQueue<Step> mSteps = new PriorityQueue<>();
    private final Map<String, Arrived> mWaitingRequests = new HashMap<>();
    private final Map<String, Long> mArrivalNanos = new HashMap<>();
    private final Result mResult = new Result();
    private final double mLoadFactor;
    private final boolean mColdStart;
    private long mNowNanos;
    private long mNextOrder;
    private long mSequence;
    private int mInFlight;

    private AdmissionBench(
            long seed,
            Policy policy,
            double loadFactor,
            boolean coldStart,
            AdmissionSettings settings) {
        mRandom = new SplittableRandom(seed);
        mDecider = policy.create(settings);
        mLoadFactor = loadFactor;
        mColdStart = coldStart;
    }

    /**
     * Runs the benchmark.
     *
     * @param args {@code --seed N}, 1 if absent
     */
    public static void main(String[] args) {
        long seed = args.length == 2 && args[0].equals("--seed") ? Long.parseLong(args[1]) : 1;
        List<String> values = new ArrayList<>();
        System.out.printf(
                "%-10s %5s %7s %7s %7s %9s %9s %9s %9s%n",
                "policy",
                "load",
                "high%",
                "norm%",
                "low%",
                "good/s",
                "lowP50ms",
                "lowP99ms",
                "p99us");
        // Warms up, so that the timed decisions run in compiled code as in a long-running instance.
        for (int i = 0; i < 10; i++) {
            run(seed + i, Policy.ADMISSION, 3.0, false, settings());
        }
        for (double loadFactor : LOAD_FACTORS) {
            for (Policy policy : Policy.values()) {
                printResult(
                        policy,
                        loadFactor,
                        run(seed, policy, loadFactor, false, settings()),
                        values);
            }
        }
        AdmissionSettings.Ramp ramp = settings().ramp();
        AdmissionSettings noRamp =
                settings()
                        .withRamp(
                                new AdmissionSettings.Ramp(
                                        CAPACITY,
                                        ramp.growthPeriodNanos(),
                                        ramp.fallPeriodNanos(),
                                        ramp.firstTokenTargetNanos(),
                                        ramp.jumpFactor(),
                                        ramp.jumpMinimumNanos()));
        printColdStart("ramp", run(seed, Policy.ADMISSION, 1.0, true, settings()), values);
        printColdStart("no_ramp", run(seed, Policy.ADMISSION, 1.0, true, noRamp), values);
        values.forEach(System.out::println);
    }

    private static AdmissionSettings settings() {
        return AdmissionSettings.defaults().withLoadMultiple(1_000);
    }

    private static Result run(
            long seed,
            Policy policy,
            double loadFactor,
            boolean coldStart,
            AdmissionSettings settings) {
        AdmissionBench bench = new AdmissionBench(seed, policy, loadFactor, coldStart, settings);
        bench.schedule(0, bench::announce);
        bench.schedule(1, bench::announce);
        bench.schedule(2, bench::generateArrival);
        bench.schedule(0, bench::runTimer);
        long endNanos = coldStart ? 10 * NANOS_PER_SECOND : RUN_NANOS;
        while (bench.mSteps.peek() != null && bench.mSteps.peek().atNanos() < endNanos) {
            Step step = bench.mSteps.poll();
            bench.mNowNanos = step.atNanos();
            step.action().run();
        }
        return bench.mResult;
    }

    private static void printResult(
            Policy policy, double loadFactor, Result result, List<String> values) {
        double[] onTimePercent = new double[Priority.values().length];
        for (Priority priority : Priority.values()) {
            int[] onTimeAndTotal = result.mOnTimeByPriority.getOrDefault(priority, new int[2]);
            onTimePercent[priority.ordinal()] =
                    100.0 * onTimeAndTotal[0] / Math.max(1, onTimeAndTotal[1]);
        }
        String name = policy.name().toLowerCase(Locale.ROOT) + "_" + loadFactor;
        double onTimePerSecond = result.mOnTimeRequests / (RUN_NANOS / (double) NANOS_PER_SECOND);
        double p50Micros = result.mDecisionNanos.getValueAtPercentile(50) / 1e3;
        double p99Micros = result.mDecisionNanos.getValueAtPercentile(99) / 1e3;
        long lowP50 = result.mLowWaitMillis.getValueAtPercentile(50);
        long lowP99 = result.mLowWaitMillis.getValueAtPercentile(99);
        System.out.printf(
                "%-10s %5.1f %7.1f %7.1f %7.1f %9.2f %9d %9d %9.1f%n",
                policy,
                loadFactor,
                onTimePercent[0],
                onTimePercent[1],
                onTimePercent[2],
                onTimePerSecond,
                lowP50,
                lowP99,
                p99Micros);
        values.add(String.format("kept_high_%s=%.1f", name, onTimePercent[0]));
        values.add(String.format("kept_normal_%s=%.1f", name, onTimePercent[1]));
        values.add(String.format("kept_low_%s=%.1f", name, onTimePercent[2]));
        values.add(String.format("goodput_%s=%.2f", name, onTimePerSecond));
        values.add(String.format("low_wait_p50_ms_%s=%d", name, lowP50));
        values.add(String.format("low_wait_p99_ms_%s=%d", name, lowP99));
        values.add(String.format("decision_p50_us_%s=%.1f", name, p50Micros));
        values.add(String.format("decision_p99_us_%s=%.1f", name, p99Micros));
    }

    private static void printColdStart(String name, Result result, List<String> values) {
        System.out.printf(
                "cold start %-8s dispatches above capacity %d, largest excess %d%n",
                name, result.mColdOverloads, result.mMaxColdExcess);
        values.add("cold_overloads_" + name + "=" + result.mColdOverloads);
        values.add("cold_worst_" + name + "=" + result.mMaxColdExcess);
    }

    private void schedule(long delayNanos, Runnable action) {
        mSteps.add(new Step(mNowNanos + delayNanos, mNextOrder++, action));
    }

    private void announce() {
        schedule(500 * NANOS_PER_MILLI, this::announce);
        LeaseEcho echo = new LeaseEcho(1, mNowNanos, 0);
        PreviousOwner previous = PreviousOwner.none(3_600 * NANOS_PER_SECOND);
        mDecider.onEvent(
                mNowNanos,
                new AdmissionEvent.Announced(
                        1, CAPACITY, mInFlight, AnnouncedState.READY, ++mSequence, previous, echo),
                this::handleOutput);
    }

    private void runTimer() {
        schedule(20 * NANOS_PER_MILLI, this::runTimer);
        if (mDecider.nextTimerNanos() <= mNowNanos) {
            mDecider.onTimer(mNowNanos, this::handleOutput);
        }
    }

    private void generateArrival() {
        double baseArrivalsPerSecond = mLoadFactor * CAPACITY / SERVICE_SECONDS;
        boolean surge = mNowNanos > RUN_NANOS / 3 && mNowNanos < RUN_NANOS / 2;
        double arrivalsPerSecond = surge ? baseArrivalsPerSecond * 1.5 : baseArrivalsPerSecond;
        schedule(
                (long) (-Math.log(1 - mRandom.nextDouble()) / arrivalsPerSecond * NANOS_PER_SECOND),
                this::generateArrival);
        boolean fromSurge = surge && mRandom.nextInt(3) == 0;
        int workspace = fromSurge ? 2 : mRandom.nextInt(WORKSPACES);
        Priority priority = priorityOf(workspace);
        String id = "r" + mNextOrder;
        Arrived request =
                new Arrived(
                        id,
                        WorkspaceId.of("w" + workspace),
                        priority,
                        RequestKind.CHAT,
                        mNowNanos + firstTokenTargetNanos(priority),
                        WaitMode.MAY_QUEUE,
                        0);
        mWaitingRequests.put(id, request);
        mArrivalNanos.put(id, mNowNanos);
        mResult.mOnTimeByPriority.computeIfAbsent(priority, key -> new int[2])[1]++;
        long start = System.nanoTime();
        mDecider.onEvent(mNowNanos, request, this::handleOutput);
        mResult.mDecisionNanos.recordValue(System.nanoTime() - start);
    }

    private static Priority priorityOf(int workspace) {
        if (workspace < 2) {
            return Priority.HIGH;
        }
        return workspace < 7 ? Priority.NORMAL : Priority.LOW;
    }

    private static long firstTokenTargetNanos(Priority priority) {
        return switch (priority) {
            case HIGH -> 720 * NANOS_PER_MILLI;
            case NORMAL -> 2 * NANOS_PER_SECOND;
            case LOW -> 15 * NANOS_PER_SECOND;
        };
    }

    private void handleOutput(AdmissionOutput output) {
        if (output instanceof AdmissionOutput.Dispatch dispatch) {
            startRequest(mWaitingRequests.remove(dispatch.requestId()));
        } else if (output instanceof AdmissionOutput.Refuse refuse) {
            mWaitingRequests.remove(refuse.requestId());
        }
    }

    private void startRequest(Arrived request) {
        mInFlight++;
        int capacity =
                mColdStart
                        ? (int) Math.min(CAPACITY, 1L << (mNowNanos / NANOS_PER_SECOND))
                        : CAPACITY;
        if (mInFlight > capacity) {
            mResult.mColdOverloads++;
            mResult.mMaxColdExcess = Math.max(mResult.mMaxColdExcess, mInFlight - capacity);
        }
        long waitedNanos = mNowNanos - mArrivalNanos.remove(request.requestId());
        if (request.priority() == Priority.LOW) {
            mResult.mLowWaitMillis.recordValue(waitedNanos / NANOS_PER_MILLI);
        }
        double slowdown = Math.max(1.0, mInFlight / (double) capacity);
        long firstTokenNanos = (long) (slowdown * (50 + mRandom.nextInt(50)) * NANOS_PER_MILLI);
        double decodeSeconds = -Math.log(1 - mRandom.nextDouble()) * (SERVICE_SECONDS - 0.1);
        long durationNanos =
                firstTokenNanos
                        + (long)
                                (slowdown
                                        * (decodeSeconds * NANOS_PER_SECOND
                                                + 25 * NANOS_PER_MILLI));
        if (mNowNanos + firstTokenNanos <= request.deadlineNanos()) {
            mResult.mOnTimeRequests++;
            mResult.mOnTimeByPriority.get(request.priority())[0]++;
        }
        String id = request.requestId();
        schedule(
                firstTokenNanos,
                () -> handleEvent(new AdmissionEvent.FirstToken(id, firstTokenNanos)));
        schedule(durationNanos, () -> finishRequest(id, firstTokenNanos));
    }

    private void finishRequest(String id, long firstTokenNanos) {
        mInFlight--;
        handleEvent(new AdmissionEvent.Finished(id, RequestOutcome.OK, firstTokenNanos));
    }

    private void handleEvent(AdmissionEvent event) {
        mDecider.onEvent(mNowNanos, event, this::handleOutput);
    }
}
