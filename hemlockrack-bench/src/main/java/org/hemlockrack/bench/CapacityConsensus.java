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

/** Bytes on the wire between voters, idle and per command. */
final class CapacityConsensus {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final int[] VOTERS = {3, 5, 6, 7};
    private static final int[] COMMAND_BYTES = {128, 512, 2_048, 8_192};
    private static final int SECONDS = 20;
    private static final int COMMANDS = 100;

    private final long mSeed;

    CapacityConsensus(long seed) {
        mSeed = seed;
    }

    void run() {
        LinearFit.Series leader =
                LinearFit.points("consensus_idle_leader_sent_bytes_per_s_by_voters");
        LinearFit.Series follower =
                LinearFit.points("consensus_idle_follower_sent_bytes_per_s_by_voters");
        LinearFit.Series cpu = LinearFit.points("consensus_idle_leader_cpu_us_per_s_by_voters");
        LinearFit.Series command =
                LinearFit.points("consensus_leader_bytes_per_128_byte_command_by_voters");
        for (int count : VOTERS) {
            SimulatedVoters voters = new SimulatedVoters(count, mSeed);
            voters.run(3 * SECOND_NANOS);
            voters.clear();
            voters.run(SECONDS * SECOND_NANOS);
            int led = voters.leader();
            leader.add(count, voters.mSentBytes[led] / (double) SECONDS);
            follower.add(count, voters.mSentBytes[(led + 1) % count] / (double) SECONDS);
            cpu.add(count, voters.mCpuNanos[led] / 1e3 / SECONDS);
            command.add(count, voters.bytesPerCommand(128));
        }
        leader.print(7);
        follower.print(7);
        cpu.print(7);
        command.print(7);
        sizes();
    }

    private void sizes() {
        LinearFit.Series points =
                LinearFit.points("consensus_leader_bytes_per_command_7_voters_by_size");
        for (int bytes : COMMAND_BYTES) {
            SimulatedVoters voters = new SimulatedVoters(7, mSeed);
            voters.run(3 * SECOND_NANOS);
            points.add(bytes, voters.bytesPerCommand(bytes));
        }
        points.print(1_024);
    }

    private record Delivery(long atNanos, Packet packet) {}

    /** Voters on a simulated network with 1 to 3 ms per message; persistence is immediate. */
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

        int leader() {
            for (int i = 0; i < mVoters.size(); i++) {
                if (mVoters.get(i).role() == Role.LEADER) {
                    return i;
                }
            }
            throw new IllegalStateException("no leader");
        }

        void clear() {
            java.util.Arrays.fill(mSentBytes, 0);
            java.util.Arrays.fill(mCpuNanos, 0);
        }

        /** Returns the leader's bytes for one command above those of an idle leader. */
        double bytesPerCommand(int commandBytes) {
            int led = leader();
            clear();
            run(COMMANDS * SECOND_NANOS / 10);
            long idle = mSentBytes[led];
            clear();
            for (int i = 0; i < COMMANDS; i++) {
                byte[] command = new byte[commandBytes];
                handle(led, new ConsensusEvent.Propose(mTicket++, command, 0));
                handle(led, new ConsensusEvent.Flush());
                run(SECOND_NANOS / 10);
            }
            return (mSentBytes[led] - idle) / (double) COMMANDS;
        }

        void run(long nanos) {
            long end = mNowNanos + nanos;
            while (mNowNanos < end) {
                long next = mNetwork.isEmpty() ? end : mNetwork.peek().atNanos();
                for (Consensus voter : mVoters) {
                    next = Math.min(next, voter.nextTimerNanos());
                }
                mNowNanos = Math.max(mNowNanos, Math.min(next, end));
                turn();
            }
        }

        private void turn() {
            while (!mNetwork.isEmpty() && mNetwork.peek().atNanos() <= mNowNanos) {
                Packet packet = mNetwork.poll().packet();
                handle(mIds.indexOf(packet.to().instance()), new ConsensusEvent.Received(packet));
            }
            for (int i = 0; i < mVoters.size(); i++) {
                if (mVoters.get(i).nextTimerNanos() <= mNowNanos) {
                    int index = i;
                    long start = System.nanoTime();
                    mVoters.get(i).onTimer(mNowNanos, output -> carryOut(index, output));
                    mCpuNanos[i] += System.nanoTime() - start;
                }
                handle(i, new ConsensusEvent.Flush());
            }
        }

        private void handle(int index, ConsensusEvent event) {
            Consensus voter = mVoters.get(index);
            long start = System.nanoTime();
            voter.onEvent(mNowNanos, event, output -> carryOut(index, output));
            voter.onEvent(
                    mNowNanos,
                    new ConsensusEvent.Persisted(voter.lastIndex(), voter.lastTerm()),
                    output -> carryOut(index, output));
            mCpuNanos[index] += System.nanoTime() - start;
        }

        private void carryOut(int index, ConsensusOutput output) {
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
