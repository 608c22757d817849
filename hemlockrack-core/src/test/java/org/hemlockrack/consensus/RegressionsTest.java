package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RegressionsTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");
    private static final ReplicaRef REF_A = ReplicaRef.of(A, 1);
    private static final ReplicaRef REF_B = ReplicaRef.of(B, 2);

    private static Consensus replica(HardState meta) {
        ConsensusSettings settings = ConsensusSettings.of(A, List.of(B, A));
        RecoveredState recovered = new RecoveredState(meta, null, List.of());
        return Consensus.create(settings, recovered, new SplittableRandom(1), 0);
    }

    private static List<ConsensusOutput> receive(Consensus replica, Packet packet) {
        List<ConsensusOutput> out = new ArrayList<>();
        replica.onEvent(0, new ConsensusEvent.Received(packet), out::add);
        return out;
    }

    private static Packet packet(ReplicaRef from, long term, Message body) {
        return new Packet(from, REF_A, 9, term, body);
    }

    /** Seeds whose simulations violated the oracle in earlier versions. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1, 86, 138, 168, 211, 399, 575, 844, 2117, 2841})
    void earlierViolationsDoNotRecur(long seed) {
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        seed % 2 == 0 ? 3 : 5,
                        seed % 3 == 0 ? 1 : 0,
                        Variant.CORRECT,
                        Set.of());
        simulation.run(15_000);
        assertEquals(List.of(), simulation.mOracle.mViolations);
    }

    /** Guards against stale reads: an echoed read round would count for a later leadership. */
    @Test
    void theAnswerToAnEarlierTermEchoesNoReadRound() {
        Consensus replica = replica(new HardState(1, 3, 0));
        Packet old = packet(REF_B, 2, new Message.Append(0, 0, 0, 30, List.of()));
        for (ConsensusOutput output : receive(replica, old)) {
            assertFalse(
                    output instanceof ConsensusOutput.Send send
                            && send.packet().body() instanceof Message.AppendReply);
        }
    }

    /** Guards against two leaders in one term after a voter restarts and forgets its vote. */
    @Test
    void aRestartedReplicaDoesNotVoteTwiceInATerm() {
        Message vote = new Message.Vote(0, 0);
        Consensus first = replica(new HardState(1, 3, 0));
        List<ConsensusOutput> out = receive(first, packet(REF_B, 4, vote));
        int persist = out.lastIndexOf(new ConsensusOutput.PersistHardState(new HardState(1, 4, 2)));
        Packet granted = new Packet(REF_A, REF_B, 9, 4, new Message.VoteReply(true));
        assertEquals(out.indexOf(new ConsensusOutput.Send(granted)), persist + 1);
        Consensus second = replica(new HardState(1, 4, 2));
        ReplicaRef other = ReplicaRef.of(InstanceId.of("c"), 3);
        Packet refused = new Packet(REF_A, other, 9, 4, new Message.VoteReply(false));
        assertEquals(
                List.of(new ConsensusOutput.Send(refused)),
                receive(second, packet(other, 4, vote)));
    }

    /** Guards against a replica that ends a working leadership after a long isolation. */
    @Test
    void aLongIsolationDoesNotDisturbTheOthers() {
        ClusterSimulation simulation = new ClusterSimulation(7, 3, 0, Variant.CORRECT, Set.of());
        simulation.advance(simulation.millisToNanos(5000));
        SimulatedInstance leader = simulation.leader();
        long term = leader.consensus().term();
        int follower = (simulation.mInstances.indexOf(leader) + 1) % 3;
        simulation.setIsolated(follower, true);
        simulation.advance(simulation.millisToNanos(600_000));
        simulation.setIsolated(follower, false);
        simulation.advance(simulation.millisToNanos(620_000));
        assertEquals(leader, simulation.leader());
        assertEquals(term, leader.consensus().term());
    }

    /** Guards against malformed packets that crash the process. */
    @Test
    void damagedPacketsAreRefusedAsBadRequests() {
        Entry entry = new Entry(5, 3, EntryKind.COMMAND, 7, new byte[] {1, 2});
        Message body = new Message.Append(4, 3, 4, 1, List.of(entry));
        byte[] bytes = ConsensusCodec.encode(packet(REF_B, 3, body));
        assertArrayEquals(bytes, ConsensusCodec.encode(ConsensusCodec.decode(bytes)));
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 20_000; i++) {
            byte[] damaged = Arrays.copyOf(bytes, 1 + random.nextInt(bytes.length));
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            try {
                ConsensusCodec.decode(damaged);
            } catch (HemlockrackException e) {
                assertEquals(ErrorKind.BAD_REQUEST, e.kind());
            }
        }
        byte[] large = new byte[ConsensusCodec.MAX_PACKET_BYTES + 1];
        assertThrows(HemlockrackException.class, () -> ConsensusCodec.decode(large));
    }

    /** Guards against a learner that names a leader which has been silent for seconds. */
    @Test
    void aLearnerForgetsASilentLeader() {
        Membership members =
                new Membership(
                        9,
                        List.of(
                                new Member(REF_B, MemberKind.VOTER),
                                new Member(REF_A, MemberKind.LEARNER)));
        SnapshotMeta snapshot = new SnapshotMeta(5, 2, 0, members, 0, 0);
        Consensus learner =
                Consensus.create(
                        ConsensusSettings.of(A, List.of(B, A)),
                        new RecoveredState(new HardState(1, 2, 0), snapshot, List.of()),
                        new SplittableRandom(1),
                        0);
        receive(learner, packet(REF_B, 2, new Message.Append(5, 2, 5, 0, List.of())));
        assertEquals(B, learner.leader());
        List<ConsensusOutput> out = new ArrayList<>();
        learner.onTimer(1_000_000_000L, out::add);
        assertNull(learner.leader());
        assertEquals(1, out.stream().filter(ConsensusOutput.RoleChanged.class::isInstance).count());
    }
}
