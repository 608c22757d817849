package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.InstanceId;
import org.junit.jupiter.api.Test;

class ReplicaStatusTest {
    private static final ReplicaRef A = ReplicaRef.of(InstanceId.of("a"), 1);
    private static final ReplicaRef B = ReplicaRef.of(InstanceId.of("b"), 2);
    private static final ReplicaRef C = ReplicaRef.of(InstanceId.of("c"), 3);

    private static Consensus voterOfThree() {
        Membership members =
                new Membership(
                        9,
                        List.of(
                                new Member(A, MemberKind.VOTER),
                                new Member(B, MemberKind.VOTER),
                                new Member(C, MemberKind.VOTER)));
        ConsensusSettings settings =
                ConsensusSettings.of(
                        A.instance(), List.of(A.instance(), B.instance(), C.instance()));
        SnapshotMeta snapshot = new SnapshotMeta(5, 2, 0, members, 0, 0);
        RecoveredState recovered = new RecoveredState(new HardState(1, 2, 0), snapshot, List.of());
        return Consensus.create(settings, recovered, new SplittableRandom(1), 0);
    }

    private static void receive(Consensus replica, long nowMillis, ReplicaRef from, Message body) {
        Packet packet = new Packet(from, A, 9, 3, body);
        replica.onEvent(
                TimeUnit.MILLISECONDS.toNanos(nowMillis),
                new ConsensusEvent.Received(packet),
                output -> {});
    }

    /** Guards against a missing leader whose log lines do not tell silence from refused votes. */
    @Test
    void statusTellsSilentMembersAndRefusedVotes() {
        Consensus replica = voterOfThree();
        receive(replica, 2_000, B, new Message.PreVote(4, 2));
        ReplicaStatus status = replica.status(TimeUnit.MILLISECONDS.toNanos(5_000));
        assertEquals(
                List.of(0L, 3_000L, ReplicaStatus.UNKNOWN),
                status.members().stream().map(ReplicaStatus.MemberStatus::silentMillis).toList());
        assertEquals(Map.of(VoteRefusal.LOG_BEHIND, 1), status.refusals());
        assertTrue(status.describe().contains("b/2 VOTER silent=3000 behind=unknown"));
    }

    /** Guards against refusals whose reason is not counted. */
    @Test
    void refusedVotesAreCountedByReason() {
        Consensus replica = voterOfThree();
        receive(replica, 2_000, B, new Message.Vote(5, 2));
        receive(replica, 2_000, C, new Message.Vote(5, 2));
        receive(replica, 2_000, C, new Message.Append(5, 2, 5, 0, List.of()));
        receive(replica, 2_100, B, new Message.Vote(5, 2));
        assertEquals(
                Set.of(VoteRefusal.VOTE_GIVEN, VoteRefusal.LEADER_KNOWN),
                replica.status(TimeUnit.MILLISECONDS.toNanos(2_100)).refusals().keySet());
    }
}
