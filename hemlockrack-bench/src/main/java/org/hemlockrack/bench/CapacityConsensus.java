package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.hemlockrack.consensus.Consensus;
import org.hemlockrack.consensus.ConsensusCodec;
import org.hemlockrack.consensus.ConsensusEvent;
import org.hemlockrack.consensus.ConsensusOutput;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.model.InstanceId;

/** Measures the bytes on the wire between voters, idle and per command. */
final class CapacityConsensus {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int[] VOTER_COUNTS = {3, 5, 6, 7};
    private static final int[] COMMAND_BYTES = {128, 512, 2_048, 8_192};
    private static final int IDLE_SECONDS = 20;
    private static final int COMMAND_COUNT = 100;

    private final long mSeed;

    CapacityConsensus(long seed) {
        mSeed = seed;
    }

    void run() {
        LinearFit.Series leader =
                LinearFit.series("consensus_idle_leader_sent_bytes_per_s_by_voters");
        LinearFit.Series follower =
                LinearFit.series("consensus_idle_follower_sent_bytes_per_s_by_voters");
        LinearFit.Series cpu = LinearFit.series("consensus_idle_leader_cpu_us_per_s_by_voters");
        LinearFit.Series command =
                LinearFit.series("consensus_leader_bytes_per_128_byte_command_by_voters");
        for (int count : VOTER_COUNTS) {
            SimulatedVoters voters = new SimulatedVoters(count, mSeed);
            voters.runFor(3 * NANOS_PER_SECOND);
            voters.resetCounters();
            voters.runFor(IDLE_SECONDS * NANOS_PER_SECOND);
            int leaderIndex = voters.findLeader();
            leader.add(count, voters.mSentBytes[leaderIndex] / (double) IDLE_SECONDS);
            follower.add(
                    count, voters.mSentBytes[(leaderIndex + 1) % count] / (double) IDLE_SECONDS);
            cpu.add(count, voters.mCpuNanos[leaderIndex] / 1e3 / IDLE_SECONDS);
            command.add(count, voters.measureBytesPerCommand(128));
        }
        leader.fitAndPrint(7);
        follower.fitAndPrint(7);
        cpu.fitAndPrint(7);
        command.fitAndPrint(7);
        measureCommandSizes();
    }

    private void measureCommandSizes() {
        LinearFit.Series points =
                LinearFit.series("consensus_leader_bytes_per_command_7_voters_by_size");
        for (int bytes : COMMAND_BYTES) {
            SimulatedVoters voters = new SimulatedVoters(7, mSeed);
            voters.runFor(3 * NANOS_PER_SECOND);
            points.add(bytes, voters.measureBytesPerCommand(bytes));
        }
        points.fitAndPrint(1_024);
    }

    private record Delivery(long atNanos, Packet packet) {}

    /** Voters on a simulated network with 1 to 3 ms delay; writes are durable at once. */
    private static final class SimulatedVoters {
        private final List<InstanceId> mIds = new ArrayList<>();
        private final List<Consensus> mVoters = new ArrayList<>();
        private final PriorityQueue<Delivery> mNetwork =
                new PriorityQueue<>(Comparator.comparingLong(Delivery::atNanos));
        private final SplittableRandom mRandom;
        private final long[] mSentBytes;
        private final long[] mCpuNanos;
        private long mNowNanos;
        private long mTicket;

        SimulatedVoters(int count, long seed) {
            mRandom = new SplittableRandom(seed);
            mSentBytes = new long[count];
            mCpuNanos = new long[count];
            for (int i = 0; i < count; i++) {
                mIds.add(InstanceId.of("router-" + (100 + i)));
            }
            for (int i = 0; i < count; i++) {
                RecoveredState empty =
                        new RecoveredState(HardState.fresh(mRandom.nextLong()), null, List.of());
                ConsensusSettings settings = ConsensusSettings.of(mIds.get(i), mIds);
                mVoters.add(Consensus.create(settings, empty, mRandom, 0));
            }
        }

        int findLeader() {
            for (int i = 0; i < mVoters.size(); i++) {
                if (mVoters.get(i).role() == Role.LEADER) {
                    return i;
                }
            }
            throw new IllegalStateException("no voter is the leader");
        }

        void resetCounters() {
            java.util.Arrays.fill(mSentBytes, 0);
            java.util.Arrays.fill(mCpuNanos, 0);
        }

        /** Returns the bytes that the leader sends for one command, without its idle traffic. */
        double measureBytesPerCommand(int commandBytes) {
            int leaderIndex = findLeader();
            resetCounters();
            runFor(COMMAND_COUNT * NANOS_PER_SECOND / 10);
            long idleBytes = mSentBytes[leaderIndex];
            resetCounters();
            for (int i = 0; i < COMMAND_COUNT; i++) {
                byte[] command = new byte[commandBytes];
                handleEvent(leaderIndex, new ConsensusEvent.Propose(mTicket++, command, 0));
                handleEvent(leaderIndex, new ConsensusEvent.Flush());
                runFor(NANOS_PER_SECOND / 10);
            }
            return (mSentBytes[leaderIndex] - idleBytes) / (double) COMMAND_COUNT;
        }

        void runFor(long nanos) {
            long endNanos = mNowNanos + nanos;
            while (mNowNanos < endNanos) {
                long nextNanos = mNetwork.isEmpty() ? endNanos : mNetwork.peek().atNanos();
                for (Consensus voter : mVoters) {
                    nextNanos = Math.min(nextNanos, voter.nextTimerNanos());
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
                if (mVoters.get(i).nextTimerNanos() <= mNowNanos) {
                    int index = i;
                    long start = System.nanoTime();
                    mVoters.get(i).onTimer(mNowNanos, output -> handleOutput(index, output));
                    mCpuNanos[i] += System.nanoTime() - start;
                }
                handleEvent(i, new ConsensusEvent.Flush());
            }
        }

        private void handleEvent(int index, ConsensusEvent event) {
            Consensus voter = mVoters.get(index);
            long start = System.nanoTime();
            voter.onEvent(mNowNanos, event, output -> handleOutput(index, output));
            voter.onEvent(
                    mNowNanos,
                    new ConsensusEvent.Persisted(voter.lastIndex(), voter.lastTerm()),
                    output -> handleOutput(index, output));
            mCpuNanos[index] += System.nanoTime() - start;
        }

        private void handleOutput(int index, ConsensusOutput output) {
            if (!(output instanceof ConsensusOutput.Send send)) {
                return;
            }
            Packet packet = send.packet();
            String names = packet.from().instance().value() + packet.to().instance().value();
            int bytes = ConsensusCodec.encode(packet).length;
            mSentBytes[index] += ControlBudget.messageBytes(bytes, names.length());
            long delayNanos = 1_000_000 + mRandom.nextLong(2_000_000);
            mNetwork.add(new Delivery(mNowNanos + delayNanos, packet));
        }
    }
}
