package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Compares three ways to admit requests: each instance decides alone by gossiped loads that lag
 * behind, each instance has leased shares of the servers' limits, or each server has one owner that
 * decides.
 *
 * <p>Control traffic is the size of the messages in a compact encoding, per instance and without
 * membership. A cold server can handle one request at first and twice as many after each second.
 */
public final class SkewBench {
    /** Names of the results of one run. */
    static final String[] FIGURE_NAMES = {
        "ratio_mean",
        "ratio_max",
        "ratio_surge",
        "above_pct",
        "overshoot",
        "cold_over",
        "cold_worst",
        "bytes_s",
        "hops",
        "served_pct"
    };

    private final long mSeed;
    private final List<String> mValues = new ArrayList<>();

    private SkewBench(long seed) {
        mSeed = seed;
    }

    /**
     * Runs the benchmark.
     *
     * @param args {@code --seed N}, 1 if absent
     */
    public static void main(String[] args) {
        long seed = args.length == 2 && args[0].equals("--seed") ? Long.parseLong(args[1]) : 1;
        SkewBench bench = new SkewBench(seed);
        System.out.printf("%-26s", "run");
        for (String name : FIGURE_NAMES) {
            System.out.printf(" %11s", name);
        }
        System.out.println();
        bench.compareAtSize(8, 8, 500);
        bench.compareAtSize(330, 890, 2_000);
        bench.compareLags();
        bench.mValues.forEach(System.out::println);
    }

    private void compareAtSize(int instances, int servers, long lagMillis) {
        long lagNanos = lagMillis * SkewSimulation.NANOS_PER_MILLI;
        String suffix = "_" + instances + "x" + servers;
        runPolicy(
                "alone" + suffix,
                instances,
                servers,
                simulation -> new SkewOwnerlessPolicy(simulation, lagNanos, false));
        runPolicy(
                "shares" + suffix,
                instances,
                servers,
                simulation -> new SkewOwnerlessPolicy(simulation, lagNanos, true));
        runPolicy(
                "owner" + suffix,
                instances,
                servers,
                simulation -> new SkewOwnerPolicy(simulation, lagNanos, false));
        runPolicy(
                "owner_demand" + suffix,
                instances,
                servers,
                simulation -> new SkewOwnerPolicy(simulation, lagNanos, true));
    }

    private void compareLags() {
        for (long lagMillis : new long[] {0, 500, 2_000, 5_000}) {
            long lagNanos = lagMillis * SkewSimulation.NANOS_PER_MILLI;
            runPolicy(
                    "owner_lag" + lagMillis,
                    8,
                    34,
                    simulation -> new SkewOwnerPolicy(simulation, lagNanos, false));
        }
    }

    private void runPolicy(
            String name, int instances, int servers, Function<SkewSimulation, SkewPolicy> policy) {
        SkewSimulation simulation = new SkewSimulation(instances, servers, 8.0, 2.0, mSeed);
        simulation.run(policy);
        double[] figures = simulation.figures();
        System.out.printf("%-26s", name);
        for (int i = 0; i < figures.length; i++) {
            System.out.printf(" %11.2f", figures[i]);
            mValues.add(String.format("%s_%s=%.2f", FIGURE_NAMES[i], name, figures[i]));
        }
        System.out.println();
    }
}
