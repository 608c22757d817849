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
 * Simulates roll-outs of good and faulty versions, and compares the sequential test with a baseline
 * that has a fixed threshold of the error rate over all traffic.
 *
 * <p>Assumptions: each backend server receives 8 requests/s. 0.5% of the requests fail, or 5% of
 * both versions during one incident of 20 s; both rates double at high load. A faulty version fails
 * half of the affected requests or makes them three times slower. Commits take 5 to 60 ms. A change
 * of the roll-out reaches an instance after 0.1 to 0.7 s with 8 instances and after 0.3 to 1.4 s
 * with 330. Loading a version takes 10 to 20 s, on two servers at a time.
 */
public final class RolloutBench {
    private static final int GOOD_RUNS = 1_000;

    /** For the baseline and for 330 instances, where a run takes ten times as long. */
    private static final int REDUCED_GOOD_RUNS = 40;

    private static final int FAULTY_RUNS = 20;
    private static final int THREADS = 4;
    private static final double FLEET_TARGET_SECONDS = 2;

    private final long mSeed;
    private final List<String> mValues = new ArrayList<>();

    private record RunResult(RolloutSimulation run, Rollout rollout) {}

    private RolloutBench(long seed) {
        mSeed = seed;
    }

    /**
     * Runs the benchmark.
     *
     * @param args {@code --seed N}, 1 if absent
     */
    public static void main(String[] args) {
        RolloutBench bench = new RolloutBench(BenchArgs.parseSeed(args));
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
                for (VersionBehavior behavior : VersionBehavior.values()) {
                    bench.measure(size, behavior, baseline);
                }
            }
        }
        bench.mValues.forEach(System.out::println);
    }

    private void measure(FleetSize size, VersionBehavior behavior, boolean baseline) {
        int runs = runCount(size, behavior, baseline);
        List<RunResult> results =
                new ForkJoinPool(THREADS)
                        .submit(
                                () ->
                                        IntStream.range(0, runs)
                                                .parallel()
                                                .mapToObj(
                                                        i -> simulate(size, behavior, baseline, i))
                                                .toList())
                        .join();
        String name =
                String.format(
                        "%s_%s_%dx%d",
                        baseline ? "baseline" : "evidence",
                        behavior.name().toLowerCase(Locale.ROOT),
                        size.mInstanceCount,
                        size.mServerCount);
        printResults(name, behavior, results);
    }

    private static int runCount(FleetSize size, VersionBehavior behavior, boolean baseline) {
        if (behavior != VersionBehavior.GOOD) {
            return FAULTY_RUNS;
        }
        return baseline || size == FleetSize.LARGE ? REDUCED_GOOD_RUNS : GOOD_RUNS;
    }

    private RunResult simulate(
            FleetSize size, VersionBehavior behavior, boolean baseline, int number) {
        RolloutSimulation simulation =
                new RolloutSimulation(size, behavior, baseline, mSeed * 1_000_003 + number);
        return new RunResult(simulation, simulation.run());
    }

    private void printResults(String name, VersionBehavior behavior, List<RunResult> results) {
        long completed = countByStatus(results, RolloutStatus.COMPLETED);
        long rolledBack = countByStatus(results, RolloutStatus.ROLLED_BACK);
        double[] local =
                results.stream().mapToDouble(result -> localStopSeconds(result.run())).toArray();
        double[] fleet =
                results.stream().mapToDouble(result -> fleetStopSeconds(result.run())).toArray();
        double share =
                results.stream()
                        .mapToDouble(result -> newVersionShare(result.run()))
                        .average()
                        .orElse(0);
        double bytes =
                results.stream()
                        .mapToDouble(result -> result.run().mReportBytes)
                        .average()
                        .orElse(0);
        int instances = results.get(0).run().instanceCount();
        double seconds =
                results.stream()
                        .mapToDouble(result -> result.run().durationSeconds())
                        .average()
                        .orElse(1);
        System.out.printf(
                "%-32s %6d %9d %11d %9.4f %9.2f %9.2f %9.2f %9.2f %8.1f%n",
                name,
                results.size(),
                completed,
                rolledBack,
                share,
                percentile(local, 0.5),
                percentile(local, 0.95),
                percentile(fleet, 0.5),
                percentile(fleet, 0.95),
                bytes / instances / seconds);
        if (behavior == VersionBehavior.GOOD) {
            addValue("completed_on_time", name, completed);
            addValue("rolled_back", name, rolledBack);
            for (RolloutReason reason : RolloutReason.values()) {
                long count =
                        results.stream()
                                .filter(result -> result.rollout().reason() == reason)
                                .count();
                addValue("reason_" + reason.name().toLowerCase(Locale.ROOT), name, count);
            }
            return;
        }
        addValue("rolled_back", name, rolledBack);
        addValue("share_after_fault", name, share);
        addValue("local_stop_p95_s", name, percentile(local, 0.95));
        addValue("fleet_stop_p95_s", name, percentile(fleet, 0.95));
        double[] propagation =
                results.stream().mapToDouble(result -> propagationSeconds(result.run())).toArray();
        addValue("rollback_to_fleet_p95_s", name, percentile(propagation, 0.95));
        boolean met = percentile(fleet, 0.95) <= FLEET_TARGET_SECONDS;
        mValues.add("fleet_stop_within_2s_" + name + "=" + (met ? "met" : "not met"));
    }

    private void addValue(String figure, String name, double value) {
        mValues.add(String.format(Locale.ROOT, "%s_%s=%.4f", figure, name, value));
    }

    private static long countByStatus(List<RunResult> results, RolloutStatus status) {
        return results.stream().filter(result -> result.rollout().status() == status).count();
    }

    /** Returns infinity if no instance stopped the version locally. */
    private static double localStopSeconds(RolloutSimulation simulation) {
        return simulation.mLocalStopMillis < 0
                ? Double.POSITIVE_INFINITY
                : (simulation.mLocalStopMillis - simulation.mFirstFaultMillis) / 1_000.0;
    }

    /** Returns infinity if the version was not stopped in the whole fleet. */
    private static double fleetStopSeconds(RolloutSimulation simulation) {
        return simulation.mFleetStopMillis < 0
                ? Double.POSITIVE_INFINITY
                : (simulation.mFleetStopMillis - simulation.mFirstFaultMillis) / 1_000.0;
    }

    /** Returns the time from the commit of the rollback until the last instance applied it. */
    private static double propagationSeconds(RolloutSimulation simulation) {
        return simulation.mFleetStopMillis < 0
                ? Double.POSITIVE_INFINITY
                : (simulation.mFleetStopMillis - simulation.mRolledBackMillis) / 1_000.0;
    }

    private static double newVersionShare(RolloutSimulation simulation) {
        return (double) simulation.mNewVersionRequestsAfterFault
                / Math.max(1, simulation.mRequestsAfterFault);
    }

    private static double percentile(double[] values, double fraction) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[(int) Math.min(sorted.length - 1.0, Math.ceil(fraction * sorted.length) - 1)];
    }
}
