package org.hemlockrack.bench;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;

/**
 * Measures how state, messages, processor time and memory of each role grow, with a least-squares
 * line and its value at the projected size. {@code docs/CAPACITY.md} reads its output.
 */
public final class CapacityBench {
    private CapacityBench() {}

    /**
     * Runs the bench.
     *
     * @param args {@code --seed N}, 1 if absent; {@code --only} and one or more of {@code
     *     requests}, {@code config}, {@code claims}, {@code log}, {@code consensus}, {@code
     *     process}, {@code membership}, joined by commas
     * @throws IOException if a temporary folder cannot be used
     */
    public static void main(String[] args) throws IOException {
        long seed = BenchArgs.seed(args);
        List<String> only = only(args);
        System.out.println("seed=" + seed);
        load("start");
        if (only.contains("consensus")) {
            new CapacityConsensus(seed).run();
        }
        if (only.contains("requests")) {
            new CapacityRequests(seed).run();
        }
        if (only.contains("config")) {
            new CapacityConfig(seed).run();
        }
        if (only.contains("claims")) {
            new CapacityClaims(seed).run();
        }
        if (only.contains("log")) {
            new CapacityLog(seed).run();
        }
        if (only.contains("process")) {
            new CapacityProcess().run();
        }
        if (only.contains("membership")) {
            new CapacityMembership(seed).run();
        }
        load("end");
    }

    private static List<String> only(String[] args) {
        int at = List.of(args).indexOf("--only");
        String parts =
                at >= 0 && at + 1 < args.length
                        ? args[at + 1]
                        : "consensus,requests,config,claims,log,process,membership";
        return List.of(parts.split(","));
    }

    /** Prints the load average, because other work on the machine stretches all times. */
    static void load(String when) {
        double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        value("load_average_" + when, load);
    }

    static void value(String name, double value) {
        System.out.printf(Locale.ROOT, "%s=%.6g%n", name, value);
    }

    static long heapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
