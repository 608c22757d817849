package org.hemlockrack.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.hemlockrack.consensus.ConsensusEvent;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.model.InstanceId;

/**
 * Measures the throughput and latency of one voter that syncs its log to disk, by the number of
 * commands per batch.
 */
public final class LogBench {
    private static final int BATCHES = 400;
    private static final int COMMAND_BYTES = 128;

    private LogBench() {}

    /**
     * Runs the benchmark.
     *
     * @param args {@code --seed N}, 1 if absent
     * @throws IOException if the temporary folder cannot be used
     */
    public static void main(String[] args) throws IOException {
        long seed = args.length == 2 ? Long.parseLong(args[1]) : 1;
        System.out.printf("%8s %14s %10s %10s%n", "depth", "commands/s", "p50 us", "p99 us");
        for (int depth : new int[] {1, 8, 64}) {
            measure(seed, depth);
        }
    }

    private static void measure(long seed, int depth) throws IOException {
        Path folder = Files.createTempDirectory("logbench");
        SplittableRandom random = new SplittableRandom(seed);
        ConsensusSettings settings =
                ConsensusSettings.of(InstanceId.of("a"), List.of(InstanceId.of("a")));
        Histogram latency = new Histogram(3);
        CountingStateMachine stateMachine = new CountingStateMachine();
        try (LogStore store = LogStore.open(folder, random);
                ReplicaNode node =
                        ReplicaNode.start(settings, store, stateMachine, 10_000, random, 0)) {
            node.step(System.nanoTime(), List.of(), stateMachine);
            long start = System.nanoTime();
            for (int i = 0; i < BATCHES; i++) {
                long stepStart = System.nanoTime();
                node.step(stepStart, createProposals(depth), stateMachine);
                latency.recordValue((System.nanoTime() - stepStart) / 1000);
            }
            printResult(
                    depth, stateMachine.mAppliedCount * 1e9 / (System.nanoTime() - start), latency);
        }
    }

    private static List<ConsensusEvent> createProposals(int depth) {
        List<ConsensusEvent> events = new ArrayList<>();
        for (int i = 0; i < depth; i++) {
            events.add(new ConsensusEvent.Propose(i, new byte[COMMAND_BYTES], 0));
        }
        return events;
    }

    private static void printResult(int depth, double perSecond, Histogram latency) {
        long p50 = latency.getValueAtPercentile(50);
        long p99 = latency.getValueAtPercentile(99);
        System.out.printf("%8d %14.0f %10d %10d%n", depth, perSecond, p50, p99);
        System.out.printf("log_depth_%d_per_second=%.0f%n", depth, perSecond);
        System.out.printf("log_depth_%d_p50_micros=%d%n", depth, p50);
        System.out.printf("log_depth_%d_p99_micros=%d%n", depth, p99);
    }
}
