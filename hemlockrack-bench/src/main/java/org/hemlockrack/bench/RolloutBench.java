package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ForkJoinPool;
import java.util.stream.IntStream;
import org.hemlockrack.bench.RolloutSimulation.FleetSize;
import org.hemlockrack.bench.RolloutSimulation.VersionBehavior;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutReason;
import org.hemlockrack.rollout.RolloutStatus;

/**
 * Rolls out good and faulty versions over the decision objects, and the same with a fixed threshold
 * of the error rate over all routes in place of the sequential test.
 *
 * <p>Assumptions: 8 requests/s for each worker; 0.5% of requests fail, twice as many at high load,
 * and 5% of both versions in one incident of 20 s; a fault fails half of its requests or makes them
 * three times slower; commits take 5 to 60 ms and news of a roll-out 0.1 to 0.7 s (8 instances) or
 * 0.3 to 1.4 s (330 instances); a load takes 10 to 20 s, two at a time.
 */
public final class RolloutBench {
    private static final int GOOD_RUNS = 1_000;

    /** Good runs with 330 instances, which take ten times as long, and of the baseline. */
    private static final int FEWER_GOOD_RUNS = 40;

    private static final int BAD_RUNS = 20;
    private static final int THREADS = 4;
    private static final double FLEET_TARGET_SECONDS = 2;

    private final long mSeed;
    private final List<String> mValues = new ArrayList<>();

    private record RunResult(RolloutSimulation run, Rollout rollout) {}

    private RolloutBench(long seed) {
        mSeed = seed;
    }

    /**
     * Runs the bench.
     *
     * @param args {@code --seed N}
     */
    public static void main(String[] args) {
        RolloutBench bench = new RolloutBench(BenchArgs.seed(args));
        System.out.printf(
                "%-32s %6s %9s %11s %9s %9s %9s %9s %9s %8s%n",
                "run",
                "runs",
                "completed",
                "rolled back",
                "share",
                "local p50",
                "local p95",
                "fleet p50",
                "fleet p95",
                "B/s inst");
        for (FleetSize size : FleetSize.values()) {
            for (boolean baseline : new boolean[] {false, true}) {
                for (VersionBehavior fault : VersionBehavior.values()) {
                    bench.runs(size, fault, baseline);
                }
            }
        }
        bench.mValues.forEach(System.out::println);
    }

    private void runs(FleetSize size, VersionBehavior fault, boolean baseline) {
        int number = number(size, fault, baseline);
        List<RunResult> ended =
                new ForkJoinPool(THREADS)
                        .submit(
                                () ->
                                        IntStream.range(0, number)
                                                .parallel()
                                                .mapToObj(i -> run(size, fault, baseline, i))
                                                .toList())
                        .join();
        String name =
                String.format(
                        "%s_%s_%dx%d",
                        baseline ? "baseline" : "evidence",
                        fault.name().toLowerCase(Locale.ROOT),
                        size.mInstances,
                        size.mWorkers);
        report(name, fault, ended);
    }

    private static int number(FleetSize size, VersionBehavior fault, boolean baseline) {
        if (fault != VersionBehavior.GOOD) {
            return BAD_RUNS;
        }
        return baseline || size == FleetSize.LARGE ? FEWER_GOOD_RUNS : GOOD_RUNS;
    }

    private RunResult run(FleetSize size, VersionBehavior fault, boolean baseline, int number) {
        RolloutSimulation run =
                new RolloutSimulation(size, fault, baseline, mSeed * 1_000_003 + number);
        return new RunResult(run, run.run());
    }

    private void report(String name, VersionBehavior fault, List<RunResult> ended) {
        long completed = count(ended, RolloutStatus.COMPLETED);
        long rolledBack = count(ended, RolloutStatus.ROLLED_BACK);
        double[] local = ended.stream().mapToDouble(each -> localSeconds(each.run())).toArray();
        double[] fleet = ended.stream().mapToDouble(each -> fleetSeconds(each.run())).toArray();
        double share = ended.stream().mapToDouble(each -> share(each.run())).average().orElse(0);
        double bytes =
                ended.stream().mapToDouble(each -> each.run().mReportBytes).average().orElse(0);
        int instances = ended.get(0).run().instances();
        double seconds =
                ended.stream().mapToDouble(each -> each.run().seconds()).average().orElse(1);
        System.out.printf(
                "%-32s %6d %9d %11d %9.4f %9.2f %9.2f %9.2f %9.2f %8.1f%n",
                name,
                ended.size(),
                completed,
                rolledBack,
                share,
                percentile(local, 0.5),
                percentile(local, 0.95),
                percentile(fleet, 0.5),
                percentile(fleet, 0.95),
                bytes / instances / seconds);
        if (fault == VersionBehavior.GOOD) {
            value("completed_on_time", name, completed);
            value("rolled_back", name, rolledBack);
            for (RolloutReason reason : RolloutReason.values()) {
                long count =
                        ended.stream().filter(each -> each.rollout().reason() == reason).count();
                value("reason_" + reason.name().toLowerCase(Locale.ROOT), name, count);
            }
            return;
        }
        value("rolled_back", name, rolledBack);
        value("share_after_fault", name, share);
        value("local_stop_p95_s", name, percentile(local, 0.95));
        value("fleet_stop_p95_s", name, percentile(fleet, 0.95));
        double[] news = ended.stream().mapToDouble(each -> newsSeconds(each.run())).toArray();
        value("rollback_to_fleet_p95_s", name, percentile(news, 0.95));
        boolean met = percentile(fleet, 0.95) <= FLEET_TARGET_SECONDS;
        mValues.add("fleet_stop_within_2s_" + name + "=" + (met ? "met" : "not met"));
    }

    private void value(String figure, String name, double value) {
        mValues.add(String.format(Locale.ROOT, "%s_%s=%.4f", figure, name, value));
    }

    private static long count(List<RunResult> ended, RolloutStatus status) {
        return ended.stream().filter(each -> each.rollout().status() == status).count();
    }

    /** Returns infinity if no instance stopped by itself. */
    private static double localSeconds(RolloutSimulation run) {
        return run.mLocalStopMillis < 0
                ? Double.POSITIVE_INFINITY
                : (run.mLocalStopMillis - run.mFirstFaultMillis) / 1_000.0;
    }

    /** Returns infinity if the version was never stopped. */
    private static double fleetSeconds(RolloutSimulation run) {
        return run.mFleetStopMillis < 0
                ? Double.POSITIVE_INFINITY
                : (run.mFleetStopMillis - run.mFirstFaultMillis) / 1_000.0;
    }

    /** Returns the time from the commit of the rollback to the last instance. */
    private static double newsSeconds(RolloutSimulation run) {
        return run.mFleetStopMillis < 0
                ? Double.POSITIVE_INFINITY
                : (run.mFleetStopMillis - run.mRolledBackMillis) / 1_000.0;
    }

    private static double share(RolloutSimulation run) {
        return (double) run.mNewAfterFault / Math.max(1, run.mRequestsAfterFault);
    }

    private static double percentile(double[] values, double share) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[(int) Math.min(sorted.length - 1.0, Math.ceil(share * sorted.length) - 1)];
    }
}
