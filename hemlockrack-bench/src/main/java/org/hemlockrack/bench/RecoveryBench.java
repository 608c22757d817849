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
 * Measures the restart of a voter with and without compaction, and the time without a leader after
 * the leader is killed, the latter in simulated time with 1 to 3 ms per message.
 */
public final class RecoveryBench {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final int SEEDS = 200;

    private RecoveryBench() {}

    /**
     * Runs the bench.
     *
     * @param args {@code --seed N}
     * @throws IOException if the temporary folder cannot be used
     */
    public static void main(String[] args) throws IOException {
        long seed = args.length == 2 ? Long.parseLong(args[1]) : 1;
        System.out.printf("%10s %12s %12s%n", "commands", "compaction", "restart ms");
        for (int commands : new int[] {1_000, 100_000}) {
            restart(seed, commands, 10_000, "on");
            restart(seed, commands, Long.MAX_VALUE / 8, "off");
        }
        leaderless(seed);
    }

    private static void restart(long seed, int commands, long snapshotEntries, String compaction)
            throws IOException {
        Path folder = Files.createTempDirectory("recoverybench");
        SplittableRandom random = new SplittableRandom(seed);
        try (ReplicaNode node = open(folder, random, snapshotEntries)) {
            CountingStateMachine counter = new CountingStateMachine();
            node.step(1, List.of(), counter);
            for (int done = 0; done < commands; done += 500) {
                node.step(1, batch(500), counter);
            }
        }
        long began = System.nanoTime();
        try (ReplicaNode node = open(folder, random, snapshotEntries)) {
            node.step(10 * SECOND_NANOS, List.of(), new CountingStateMachine());
            if (node.consensus().commitIndex() < commands) {
                throw new IllegalStateException("not recovered");
            }
        }
        double millis = (System.nanoTime() - began) / 1e6;
        System.out.printf("%10d %12s %12.1f%n", commands, compaction, millis);
        System.out.printf("restart_%d_compaction_%s_ms=%.1f%n", commands, compaction, millis);
    }

    private static ReplicaNode open(Path folder, SplittableRandom random, long snapshotEntries) {
        ConsensusSettings settings =
                ConsensusSettings.of(InstanceId.of("a"), List.of(InstanceId.of("a")));
        LogStore store = LogStore.open(folder, random);
        return ReplicaNode.start(
                settings, store, new CountingStateMachine(), snapshotEntries, random, 0);
    }

    static List<ConsensusEvent> batch(int depth) {
        List<ConsensusEvent> events = new ArrayList<>();
        for (int i = 0; i < depth; i++) {
            events.add(new ConsensusEvent.Propose(i, new byte[128], 0));
        }
        return events;
    }

    private static void leaderless(long seed) {
        Histogram millis = new Histogram(3);
        for (long i = 0; i < SEEDS; i++) {
            millis.recordValue(new SimulatedVoters(seed * SEEDS + i).leaderlessMillis());
        }
        System.out.printf("leaderless_p50_ms=%d%n", millis.getValueAtPercentile(50));
        System.out.printf("leaderless_p99_ms=%d%n", millis.getValueAtPercentile(99));
        System.out.printf("leaderless_max_ms=%d%n", millis.getMaxValue());
    }

    /** Three voters on a simulated network; persistence is immediate. */
    private static final class SimulatedVoters {
        private record Delivery(long atNanos, Packet packet) {}

        private final List<InstanceId> mIds =
                List.of(InstanceId.of("a"), InstanceId.of("b"), InstanceId.of("c"));
        private final List<Consensus> mVoters = new ArrayList<>();
        private final PriorityQueue<Delivery> mNetwork =
                new PriorityQueue<>(Comparator.comparingLong(Delivery::atNanos));
        private final SplittableRandom mRandom;
        private int mKilled = -1;
        private long mNowNanos;

        SimulatedVoters(long seed) {
            mRandom = new SplittableRandom(seed);
            for (int i = 0; i < mIds.size(); i++) {
                RecoveredState empty = new RecoveredState(HardState.fresh(i + 1), null, List.of());
                ConsensusSettings settings = ConsensusSettings.of(mIds.get(i), mIds);
                mVoters.add(Consensus.create(settings, empty, mRandom, 0));
            }
        }

        long leaderlessMillis() {
            runUntil(3 * SECOND_NANOS + mRandom.nextLong(SECOND_NANOS / 10), false);
            mKilled = leader();
            long killedNanos = mNowNanos;
            runUntil(killedNanos + 60 * SECOND_NANOS, true);
            return (mNowNanos - killedNanos) / 1_000_000;
        }

        private int leader() {
            for (int i = 0; i < mVoters.size(); i++) {
                if (i != mKilled && mVoters.get(i).role() == Role.LEADER) {
                    return i;
                }
            }
            return -1;
        }

        private void runUntil(long endNanos, boolean untilLeader) {
            while (mNowNanos < endNanos && !(untilLeader && leader() >= 0)) {
                long next = mNetwork.isEmpty() ? endNanos : mNetwork.peek().atNanos();
                for (int i = 0; i < mVoters.size(); i++) {
                    if (i != mKilled) {
                        next = Math.min(next, mVoters.get(i).nextTimerNanos());
                    }
                }
                mNowNanos = Math.max(mNowNanos, Math.min(next, endNanos));
                turn();
            }
        }

        private void turn() {
            while (!mNetwork.isEmpty() && mNetwork.peek().atNanos() <= mNowNanos) {
                Packet packet = mNetwork.poll().packet();
                handle(mIds.indexOf(packet.to().instance()), new ConsensusEvent.Received(packet));
            }
            for (int i = 0; i < mVoters.size(); i++) {
                if (i != mKilled) {
                    mVoters.get(i).onTimer(mNowNanos, this::carryOut);
                    handle(i, new ConsensusEvent.Flush());
                }
            }
        }

        private void handle(int index, ConsensusEvent event) {
            if (index == mKilled) {
                return;
            }
            Consensus voter = mVoters.get(index);
            voter.onEvent(mNowNanos, event, this::carryOut);
            long last = voter.lastIndex();
            voter.onEvent(
                    mNowNanos,
                    new ConsensusEvent.Persisted(last, voter.lastTerm()),
                    this::carryOut);
        }

        private void carryOut(ConsensusOutput output) {
            if (output instanceof ConsensusOutput.Send send) {
                long delay = 1_000_000 + mRandom.nextLong(2_000_000);
                mNetwork.add(new Delivery(mNowNanos + delay, send.packet()));
            }
        }
    }
}
