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
 * Compares admission with a FIFO queue and with strict priority at one backend server under load
 * factors up to 3 with a surge of one workspace, and a cold start with and without the ramp.
 *
 * <p>The backend server is a model: it serves {@value #PLACES} requests at full speed and slows
 * down in proportion above that.
 */
public final class AdmissionBench {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final int PLACES = 8;
    private static final double SERVICE_SECONDS = 0.4;
    private static final long RUN_NANOS = 120 * SECOND;
    private static final double[] LOADS = {0.8, 1.0, 1.5, 3.0};
    private static final int WORKSPACES = 10;

    private enum Policy {
        ADMISSION,
        FIFO,
        STRICT;

        Decider<AdmissionEvent, AdmissionOutput> create(AdmissionSettings settings) {
            if (this == ADMISSION) {
                return Admission.create(
                        settings, InstanceId.of("i"), BackendId.of("b"), 1, -SECOND * 10);
            }
            return new QueueBaseline(this == STRICT, PLACES, settings.queue().maxLength());
        }
    }

    private record Step(long at, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final class Result {
        private final Map<Priority, int[]> mKept = new EnumMap<>(Priority.class);
        private final Histogram mDecision = new Histogram(3);
        private final Histogram mLowWaitMillis = new Histogram(3);
        private int mGood;
        private int mColdOverloads;
        private int mColdWorst;
    }

    private final SplittableRandom mRandom;
    private final Decider<AdmissionEvent, AdmissionOutput> mDecider;
    private final PriorityQueue<Step> mSteps = new PriorityQueue<>();
    private final Map<String, Arrived> mRequests = new HashMap<>();
    private final Map<String, Long> mArrived = new HashMap<>();
    private final Result mResult = new Result();
    private final double mLoad;
    private final boolean mCold;
    private long mNow;
    private long mOrder;
    private long mSequence;
    private int mInFlight;

    private AdmissionBench(
            long seed, Policy policy, double load, boolean cold, AdmissionSettings settings) {
        mRandom = new SplittableRandom(seed);
        mDecider = policy.create(settings);
        mLoad = load;
        mCold = cold;
    }

    /**
     * Runs the bench.
     *
     * @param args {@code --seed N}
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
        // The instance runs for days, so decisions are timed in compiled code.
        for (int i = 0; i < 10; i++) {
            run(seed + i, Policy.ADMISSION, 3.0, false, settings());
        }
        for (double load : LOADS) {
            for (Policy policy : Policy.values()) {
                print(policy, load, run(seed, policy, load, false, settings()), values);
            }
        }
        AdmissionSettings.Ramp ramp = settings().ramp();
        AdmissionSettings noRamp =
                settings()
                        .withRamp(
                                new AdmissionSettings.Ramp(
                                        PLACES,
                                        ramp.growthPeriodNanos(),
                                        ramp.fallPeriodNanos(),
                                        ramp.firstTokenTargetNanos(),
                                        ramp.jumpFactor(),
                                        ramp.jumpMinimumNanos()));
        cold("ramp", run(seed, Policy.ADMISSION, 1.0, true, settings()), values);
        cold("no_ramp", run(seed, Policy.ADMISSION, 1.0, true, noRamp), values);
        values.forEach(System.out::println);
    }

    private static AdmissionSettings settings() {
        return AdmissionSettings.defaults().withLoadMultiple(1_000);
    }

    private static Result run(
            long seed, Policy policy, double load, boolean cold, AdmissionSettings settings) {
        AdmissionBench bench = new AdmissionBench(seed, policy, load, cold, settings);
        bench.at(0, bench::announce);
        bench.at(1, bench::announce);
        bench.at(2, bench::arrive);
        bench.at(0, bench::timer);
        long end = cold ? 10 * SECOND : RUN_NANOS;
        while (bench.mSteps.peek() != null && bench.mSteps.peek().at() < end) {
            Step step = bench.mSteps.poll();
            bench.mNow = step.at();
            step.action().run();
        }
        return bench.mResult;
    }

    private static void print(Policy policy, double load, Result result, List<String> values) {
        double[] kept = new double[Priority.values().length];
        for (Priority priority : Priority.values()) {
            int[] count = result.mKept.getOrDefault(priority, new int[2]);
            kept[priority.ordinal()] = 100.0 * count[0] / Math.max(1, count[1]);
        }
        String name = policy.name().toLowerCase(Locale.ROOT) + "_" + load;
        double perSecond = result.mGood / (RUN_NANOS / (double) SECOND);
        double p50Micros = result.mDecision.getValueAtPercentile(50) / 1e3;
        double p99Micros = result.mDecision.getValueAtPercentile(99) / 1e3;
        long lowP50 = result.mLowWaitMillis.getValueAtPercentile(50);
        long lowP99 = result.mLowWaitMillis.getValueAtPercentile(99);
        System.out.printf(
                "%-10s %5.1f %7.1f %7.1f %7.1f %9.2f %9d %9d %9.1f%n",
                policy, load, kept[0], kept[1], kept[2], perSecond, lowP50, lowP99, p99Micros);
        values.add(String.format("kept_high_%s=%.1f", name, kept[0]));
        values.add(String.format("kept_normal_%s=%.1f", name, kept[1]));
        values.add(String.format("kept_low_%s=%.1f", name, kept[2]));
        values.add(String.format("goodput_%s=%.2f", name, perSecond));
        values.add(String.format("low_wait_p50_ms_%s=%d", name, lowP50));
        values.add(String.format("low_wait_p99_ms_%s=%d", name, lowP99));
        values.add(String.format("decision_p50_us_%s=%.1f", name, p50Micros));
        values.add(String.format("decision_p99_us_%s=%.1f", name, p99Micros));
    }

    private static void cold(String name, Result result, List<String> values) {
        System.out.printf(
                "cold start %-8s dispatches above capacity %d, most above %d%n",
                name, result.mColdOverloads, result.mColdWorst);
        values.add("cold_overloads_" + name + "=" + result.mColdOverloads);
        values.add("cold_worst_" + name + "=" + result.mColdWorst);
    }

    private void at(long delay, Runnable action) {
        mSteps.add(new Step(mNow + delay, mOrder++, action));
    }

    private void announce() {
        at(500 * MS, this::announce);
        LeaseEcho echo = new LeaseEcho(1, mNow, 0);
        PreviousOwner previous = PreviousOwner.none(3_600 * SECOND);
        mDecider.onEvent(
                mNow,
                new AdmissionEvent.Announced(
                        1, PLACES, mInFlight, AnnouncedState.READY, ++mSequence, previous, echo),
                this::handle);
    }

    private void timer() {
        at(20 * MS, this::timer);
        if (mDecider.nextTimerNanos() <= mNow) {
            mDecider.onTimer(mNow, this::handle);
        }
    }

    private void arrive() {
        double rate = mLoad * PLACES / SERVICE_SECONDS;
        boolean surge = mNow > RUN_NANOS / 3 && mNow < RUN_NANOS / 2;
        double total = surge ? rate * 1.5 : rate;
        at((long) (-Math.log(1 - mRandom.nextDouble()) / total * SECOND), this::arrive);
        boolean surging = surge && mRandom.nextInt(3) == 0;
        int workspace = surging ? 2 : mRandom.nextInt(WORKSPACES);
        Priority priority = priority(workspace);
        String id = "r" + mOrder;
        Arrived request =
                new Arrived(
                        id,
                        WorkspaceId.of("w" + workspace),
                        priority,
                        RequestKind.CHAT,
                        mNow + promiseNanos(priority),
                        WaitMode.MAY_QUEUE,
                        0);
        mRequests.put(id, request);
        mArrived.put(id, mNow);
        mResult.mKept.computeIfAbsent(priority, key -> new int[2])[1]++;
        long start = System.nanoTime();
        mDecider.onEvent(mNow, request, this::handle);
        mResult.mDecision.recordValue(System.nanoTime() - start);
    }

    private static Priority priority(int workspace) {
        if (workspace < 2) {
            return Priority.HIGH;
        }
        return workspace < 7 ? Priority.NORMAL : Priority.LOW;
    }

    private static long promiseNanos(Priority priority) {
        return switch (priority) {
            case HIGH -> 720 * MS;
            case NORMAL -> 2 * SECOND;
            case LOW -> 15 * SECOND;
        };
    }

    private void handle(AdmissionOutput output) {
        if (output instanceof AdmissionOutput.Dispatch dispatch) {
            start(mRequests.remove(dispatch.requestId()));
        } else if (output instanceof AdmissionOutput.Refuse refuse) {
            mRequests.remove(refuse.requestId());
        }
    }

    private void start(Arrived request) {
        mInFlight++;
        int capacity = mCold ? (int) Math.min(PLACES, 1L << (mNow / SECOND)) : PLACES;
        if (mInFlight > capacity) {
            mResult.mColdOverloads++;
            mResult.mColdWorst = Math.max(mResult.mColdWorst, mInFlight - capacity);
        }
        long waited = mNow - mArrived.remove(request.requestId());
        if (request.priority() == Priority.LOW) {
            mResult.mLowWaitMillis.recordValue(waited / MS);
        }
        double slow = Math.max(1.0, mInFlight / (double) capacity);
        long ttft = (long) (slow * (50 + mRandom.nextInt(50)) * MS);
        double seconds = -Math.log(1 - mRandom.nextDouble()) * (SERVICE_SECONDS - 0.1);
        long duration = ttft + (long) (slow * (seconds * SECOND + 25 * MS));
        if (mNow + ttft <= request.deadlineNanos()) {
            mResult.mGood++;
            mResult.mKept.get(request.priority())[0]++;
        }
        String id = request.requestId();
        at(ttft, () -> send(new AdmissionEvent.FirstToken(id, ttft)));
        at(duration, () -> finish(id, ttft));
    }

    private void finish(String id, long ttft) {
        mInFlight--;
        send(new AdmissionEvent.Finished(id, RequestOutcome.OK, ttft));
    }

    private void send(AdmissionEvent event) {
        mDecider.onEvent(mNow, event, this::handle);
    }
}
