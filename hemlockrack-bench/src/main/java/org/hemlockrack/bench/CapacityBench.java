package org.hemlockrack.bench;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;

/**
 * Measures how the state, messages, CPU time and memory of each role grow with the size of the
 * fleet. For each figure it prints a least-squares line and its value at the projected size. {@code
 * docs/CAPACITY.md} takes its figures from this output.
 */
public final class CapacityBench {
    private CapacityBench() {}

    /**
     * Runs the benchmark.
     *
     * @param args {@code --seed N}, 1 if absent; {@code --only} and one or more of {@code
     *     requests}, {@code config}, {@code claims}, {@code log}, {@code consensus}, {@code
     *     process}, {@code membership}, joined by commas
     * @throws IOException if a temporary folder cannot be used
     */
    public static void main(String[] args) throws IOException {
        long seed = BenchArgs.parseSeed(args);
        List<String> parts = selectedParts(args);
        System.out.println("seed=" + seed);
        printLoadAverage("start");
        if (parts.contains("consensus")) {
            new CapacityConsensus(seed).run();
        }
        if (parts.contains("requests")) {
            new CapacityRequests(seed).run();
        }
        if (parts.contains("config")) {
            new CapacityConfig(seed).run();
        }
        if (parts.contains("claims")) {
            new CapacityClaims(seed).run();
        }
        if (parts.contains("log")) {
            new CapacityLog(seed).run();
        }
        if (parts.contains("process")) {
            new CapacityProcess().run();
        }
        if (parts.contains("membership")) {
            new CapacityMembership(seed).run();
        }
        printLoadAverage("end");
    }

    private static List<String> selectedParts(String[] args) {
        int flagIndex = List.of(args).indexOf("--only");
        String parts =
                flagIndex >= 0 && flagIndex + 1 < args.length
                        ? args[flagIndex + 1]
                        : "consensus,requests,config,claims,log,process,membership";
        return List.of(parts.split(","));
    }

    /** Prints the load average, because other work on the machine increases all times. */
    static void printLoadAverage(String when) {
        double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        printValue("load_average_" + when, load);
    }

    static void printValue(String name, double value) {
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
