package org.hemlockrack.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.hemlockrack.consensus.Consensus;
import org.hemlockrack.consensus.ConsensusEvent;
import org.hemlockrack.consensus.ConsensusOutput;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.model.InstanceId;

/**
 * Measures the restart of a voter with and without log compaction, and how long a group of voters
 * has no leader after its leader is killed. The second part runs in simulated time with a message
 * delay of 1 to 3 ms.
 */
public final class RecoveryBench {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int LEADER_FAILURES = 200;

    private RecoveryBench() {}

    /**
     * Runs the benchmark.
     *
     * @param args {@code --seed N}, 1 if absent
     * @throws IOException if the temporary folder cannot be used
     */
    public static void main(String[] args) throws IOException {
        long seed = args.length == 2 ? Long.parseLong(args[1]) : 1;
        System.out.printf("%10s %12s %12s%n", "commands", "compaction", "restart ms");
        for (int commands : new int[] {1_000, 100_000}) {
            measureRestart(seed, commands, 10_000, "on");
            measureRestart(seed, commands, Long.MAX_VALUE / 8, "off");
        }
        measureLeaderlessTime(seed);
    }

    private static void measureRestart(
            long seed, int commands, long snapshotEntries, String compaction) throws IOException {
        Path folder = Files.createTempDirectory("recoverybench");
        SplittableRandom random = new SplittableRandom(seed);
        try (ReplicaNode node = openNode(folder, random, snapshotEntries)) {
            CountingStateMachine stateMachine = new CountingStateMachine();
            node.step(1, List.of(), stateMachine);
            for (int proposed = 0; proposed < commands; proposed += 500) {
                node.step(1, createProposals(500), stateMachine);
            }
        }
        long start = System.nanoTime();
        try (ReplicaNode node = openNode(folder, random, snapshotEntries)) {
            node.step(10 * NANOS_PER_SECOND, List.of(), new CountingStateMachine());
            if (node.consensus().commitIndex() < commands) {
                throw new IllegalStateException("the restarted voter did not recover all commands");
            }
        }
        double millis = (System.nanoTime() - start) / 1e6;
        System.out.printf("%10d %12s %12.1f%n", commands, compaction, millis);
        System.out.printf("restart_%d_compaction_%s_ms=%.1f%n", commands, compaction, millis);
    }

    private static ReplicaNode openNode(
            Path folder, SplittableRandom random, long snapshotEntries) {
        ConsensusSettings settings =
                ConsensusSettings.of(InstanceId.of("a"), List.of(InstanceId.of("a")));
        LogStore store = LogStore.open(folder, random);
        return ReplicaNode.start(
                settings, store, new CountingStateMachine(), snapshotEntries, random, 0);
    }

    static List<ConsensusEvent> createProposals(int depth) {
        List<ConsensusEvent> events = new ArrayList<>();
        for (int i = 0; i < depth; i++) {
            events.add(new ConsensusEvent.Propose(i, new byte[128], 0));
        }
        return events;
    }

    private static void measureLeaderlessTime(long seed) {
        Histogram millis = new Histogram(3);
        for (long i = 0; i < LEADER_FAILURES; i++) {
            millis.recordValue(
                    new SimulatedVoters(seed * LEADER_FAILURES + i).measureLeaderlessMillis());
        }
        System.out.printf("leaderless_p50_ms=%d%n", millis.getValueAtPercentile(50));
        System.out.printf("leaderless_p99_ms=%d%n", millis.getValueAtPercentile(99));
        System.out.printf("leaderless_max_ms=%d%n", millis.getMaxValue());
    }

    /** Three voters on a simulated network; writes are durable at once. */
    private static final class SimulatedVoters {
        private record Delivery(long atNanos, Packet packet) {}

        private final List<InstanceId> mIds =
                List.of(InstanceId.of("a"), InstanceId.of("b"), InstanceId.of("c"));
        private final List<Consensus> mVoters = new ArrayList<>();
        private final PriorityQueue<Delivery> mNetwork =
                new PriorityQueue<>(Comparator.comparingLong(Delivery::atNanos));
        private final SplittableRandom mRandom;
        private int mKilledIndex = -1;
        private long mNowNanos;

        SimulatedVoters(long seed) {
            mRandom = new SplittableRandom(seed);
            for (int i = 0; i < mIds.size(); i++) {
                RecoveredState empty = new RecoveredState(HardState.fresh(i + 1), null, List.of());
                ConsensusSettings settings = ConsensusSettings.of(mIds.get(i), mIds);
                mVoters.add(Consensus.create(settings, empty, mRandom, 0));
            }
        }

        long measureLeaderlessMillis() {
            runUntil(3 * NANOS_PER_SECOND + mRandom.nextLong(NANOS_PER_SECOND / 10), false);
            mKilledIndex = findLeader();
            long killedNanos = mNowNanos;
            runUntil(killedNanos + 60 * NANOS_PER_SECOND, true);
            return (mNowNanos - killedNanos) / 1_000_000;
        }

        private int findLeader() {
            for (int i = 0; i < mVoters.size(); i++) {
                if (i != mKilledIndex && mVoters.get(i).role() == Role.LEADER) {
                    return i;
                }
            }
            return -1;
        }

        private void runUntil(long endNanos, boolean stopAtLeader) {
            while (mNowNanos < endNanos && !(stopAtLeader && findLeader() >= 0)) {
                long nextNanos = mNetwork.isEmpty() ? endNanos : mNetwork.peek().atNanos();
                for (int i = 0; i < mVoters.size(); i++) {
                    if (i != mKilledIndex) {
                        nextNanos = Math.min(nextNanos, mVoters.get(i).nextTimerNanos());
                    }
                }
                mNowNanos = Math.max(mNowNanos, Math.min(nextNanos, endNanos));
                processDueEvents();
            }
        }

        private void processDueEvents() {
            while (!mNetwork.isEmpty() && mNetwork.peek().atNanos() <= mNowNanos) {
                Packet packet = mNetwork.poll().packet();
                handleEvent(
                        mIds.indexOf(packet.to().instance()), new ConsensusEvent.Received(packet));
            }
            for (int i = 0; i < mVoters.size(); i++) {
                if (i != mKilledIndex) {
                    mVoters.get(i).onTimer(mNowNanos, this::handleOutput);
                    handleEvent(i, new ConsensusEvent.Flush());
                }
            }
        }

        private void handleEvent(int index, ConsensusEvent event) {
            if (index == mKilledIndex) {
                return;
            }
            Consensus voter = mVoters.get(index);
            voter.onEvent(mNowNanos, event, this::handleOutput);
            long last = voter.lastIndex();
            voter.onEvent(
                    mNowNanos,
                    new ConsensusEvent.Persisted(last, voter.lastTerm()),
                    this::handleOutput);
        }

        private void handleOutput(ConsensusOutput output) {
            if (output instanceof ConsensusOutput.Send send) {
                long delayNanos = 1_000_000 + mRandom.nextLong(2_000_000);
                mNetwork.add(new Delivery(mNowNanos + delayNanos, send.packet()));
            }
        }
    }
}
