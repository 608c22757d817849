package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hemlockrack.model.InstanceId;
import org.junit.jupiter.api.Test;

class VoterReconcilerTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final VoterReconciler mReconciler = VoterReconciler.create(1);

    private static Set<InstanceId> ids(String... names) {
        return Stream.of(names).map(InstanceId::of).collect(Collectors.toSet());
    }

    private static Membership members(List<String> voters, List<String> learners) {
        List<Member> members = new ArrayList<>();
        long replica = 1;
        for (String voter : voters) {
            members.add(
                    new Member(ReplicaRef.of(InstanceId.of(voter), replica++), MemberKind.VOTER));
        }
        for (String learner : learners) {
            members.add(
                    new Member(
                            ReplicaRef.of(InstanceId.of(learner), replica++), MemberKind.LEARNER));
        }
        return new Membership(1, members);
    }

    private VoterChange next(long nowNanos, Membership members, String... answering) {
        mReconciler.recordResponsive(nowNanos, ids(answering));
        return mReconciler.nextChange(nowNanos, members, ids(answering));
    }

    /** Guards against a failed voter whose successor is never promoted. */
    @Test
    void successorTakesThePlaceOfTheLostVoter() {
        Membership full = members(List.of("a", "b", "c"), List.of());
        assertNull(next(0, full, "a", "b", "c"));
        VoterChange add = next(SECOND, full, "a", "b", "d");
        assertEquals(new VoterChange(VoterChange.Action.ADD_LEARNER, InstanceId.of("d")), add);
        Membership learning = members(List.of("a", "b", "c"), List.of("d"));
        assertEquals(
                new VoterChange(VoterChange.Action.PROMOTE, InstanceId.of("d")),
                next(2 * SECOND, learning, "a", "b", "d"));
        Membership four = members(List.of("a", "b", "c", "d"), List.of());
        assertEquals(
                new VoterChange(VoterChange.Action.REMOVE, InstanceId.of("c")),
                next(2 * SECOND, four, "a", "b", "d"));
        assertNull(next(3 * SECOND, members(List.of("a", "b", "d"), List.of()), "a", "b", "d"));
    }

    /** Guards against the removal of a voter that only pauses, while no successor exists. */
    @Test
    void unreachableVoterStaysWithoutSuccessor() {
        Membership full = members(List.of("a", "b", "c"), List.of());
        next(0, full, "a", "b", "c");
        assertNull(next(10 * SECOND, full, "a", "b"));
        assertNull(next(60 * SECOND, full, "a", "b"));
    }

    /** Guards against five controllers that tolerate the loss of only one. */
    @Test
    void learnersArePromotedToFiveVoters() {
        Membership three = members(List.of("a", "b", "c"), List.of("d", "e"));
        VoterChange change = next(0, three, "a", "b", "c", "d", "e");
        assertEquals(VoterChange.Action.PROMOTE, change.action());
        Membership five = members(List.of("a", "b", "c", "d", "e"), List.of("f"));
        assertNull(next(SECOND, five, "a", "b", "c", "d", "e", "f"));
    }

    /** Guards against a seat that moves in a short pause, or stays with a voter that is gone. */
    @Test
    void seatGoesToASpareAtTheBoundAndNotBefore() {
        VoterReconciler reconciler = VoterReconciler.create(2);
        Membership five = members(List.of("a", "b", "c", "d", "e"), List.of("f"));
        reconciler.recordResponsive(0, ids("a", "b", "c", "d", "e", "f"));
        Set<InstanceId> answering = ids("a", "b", "c", "d", "f");
        reconciler.recordResponsive(2 * SECOND, answering);
        assertNull(reconciler.nextChange(2 * SECOND - 1, five, answering));
        assertEquals(
                new VoterChange(VoterChange.Action.PROMOTE, InstanceId.of("f")),
                reconciler.nextChange(2 * SECOND, five, answering));
    }

    /** Guards against a voter that loses its seat although it answered again in time. */
    @Test
    void voterThatAnswersAgainInTimeKeepsItsSeat() {
        VoterReconciler reconciler = VoterReconciler.create(2);
        Membership five = members(List.of("a", "b", "c", "d", "e"), List.of("f"));
        reconciler.recordResponsive(0, ids("a", "b", "c", "d", "e", "f"));
        reconciler.recordResponsive(2 * SECOND - 1, ids("e"));
        Set<InstanceId> answering = ids("a", "b", "c", "d", "f");
        reconciler.recordResponsive(4 * SECOND, answering);
        assertNull(reconciler.nextChange(4 * SECOND - 2, five, answering));
    }

    /** Guards against a voter that returns after the loss of its seat and displaces another. */
    @Test
    void voterThatReturnsLaterDisplacesNobody() {
        VoterReconciler reconciler = VoterReconciler.create(2);
        Membership moved = members(List.of("a", "b", "c", "d", "f"), List.of("e"));
        Set<InstanceId> all = ids("a", "b", "c", "d", "e", "f");
        for (int second = 0; second < 60; second++) {
            reconciler.recordResponsive(second * SECOND, all);
            assertNull(reconciler.nextChange(second * SECOND, moved, all));
        }
    }

    /** Guards against a seat beyond the needed ones that a voter keeps after it is gone. */
    @Test
    void seatThatIsNotNeededIsGivenUpWithoutSuccessor() {
        Membership five = members(List.of("a", "b", "c", "d", "e"), List.of());
        next(0, five, "a", "b", "c", "d", "e");
        assertNull(next(2 * SECOND - 1, five, "a", "b", "c", "d"));
        assertEquals(
                new VoterChange(VoterChange.Action.REMOVE, InstanceId.of("e")),
                next(2 * SECOND, five, "a", "b", "c", "d"));
    }

    /**
     * Guards against a set of four voters after the absence of one: the loss of two more disks left
     * no majority, and an acknowledged route table was lost.
     */
    @Test
    void absenceDoesNotLowerTheNumberOfVoters() {
        VoterReconciler reconciler = VoterReconciler.create(2);
        Membership five = members(List.of("a", "b", "c", "d", "e"), List.of());
        reconciler.recordResponsive(0, ids("a", "b", "c", "d", "e"));
        for (int second = 1; second < 60; second++) {
            Set<InstanceId> answering = ids("a", "b", "c", "d");
            reconciler.recordResponsive(second * SECOND, answering);
            assertNull(reconciler.nextChange(second * SECOND, five, answering));
        }
        assertNull(reconciler.nextChange(60 * SECOND, five, ids("a", "b", "c", "d", "e")));
    }

    /** Guards against three voters where the loss of two must be tolerated. */
    @Test
    void targetFollowsTheToleratedLosses() {
        VoterReconciler reconciler = VoterReconciler.create(2);
        Membership four = members(List.of("a", "b", "c"), List.of("d"));
        reconciler.recordResponsive(0, ids("a", "b", "c", "d"));
        assertEquals(
                new VoterChange(VoterChange.Action.PROMOTE, InstanceId.of("d")),
                reconciler.nextChange(0, four, ids("a", "b", "c", "d")));
    }

    /** Guards against a controller that cannot join yet and blocks the promotion of another one. */
    @Test
    void refusedChangeDoesNotBlockTheOthers() {
        Membership three = members(List.of("b", "c", "d"), List.of("e"));
        Set<VoterChange> proposed = new HashSet<>();
        proposed.add(next(0, three, "a", "b", "c", "d", "e"));
        proposed.add(next(SECOND, three, "a", "b", "c", "d", "e"));
        assertEquals(
                Set.of(
                        new VoterChange(VoterChange.Action.ADD_LEARNER, InstanceId.of("a")),
                        new VoterChange(VoterChange.Action.PROMOTE, InstanceId.of("e"))),
                proposed);
    }

    /** Guards against a learner that waits anew for the seat of a lost voter with each leader. */
    @Test
    void newLeaderKnowsSinceWhenAVoterIsAway() {
        Membership learning = members(List.of("a", "b", "c"), List.of("d"));
        mReconciler.recordResponsive(0, ids("a", "b", "c", "d"));
        mReconciler.recordResponsive(2 * SECOND, ids("a", "b", "d"));
        assertEquals(
                new VoterChange(VoterChange.Action.PROMOTE, InstanceId.of("d")),
                mReconciler.nextChange(2 * SECOND, learning, ids("a", "b", "d")));
    }

    /** Guards against the same after a start of the process, which has not heard the lost voter. */
    @Test
    void voterThatWasNeverHeardIsAwaySinceTheStart() {
        Membership learning = members(List.of("a", "b", "c"), List.of("d"));
        Set<InstanceId> answering = ids("a", "b", "d");
        for (int fifth = 0; fifth <= 10; fifth++) {
            mReconciler.recordRunning(fifth * SECOND / 5);
            mReconciler.recordResponsive(fifth * SECOND / 5, answering);
        }
        assertEquals(
                new VoterChange(VoterChange.Action.PROMOTE, InstanceId.of("d")),
                mReconciler.nextChange(2 * SECOND, learning, answering));
    }

    /** Guards against voters that lose their seats because the leader itself was paused. */
    @Test
    void pauseOfThisProcessCountsAgainstNobody() {
        Membership learning = members(List.of("a", "b", "c"), List.of("d"));
        mReconciler.recordRunning(0);
        mReconciler.recordResponsive(0, ids("a", "b", "c", "d"));
        mReconciler.recordRunning(10 * SECOND);
        mReconciler.recordResponsive(10 * SECOND, ids("a", "d"));
        assertNull(mReconciler.nextChange(10 * SECOND, learning, ids("a", "d")));
        for (int fifth = 51; fifth <= 60; fifth++) {
            mReconciler.recordRunning(fifth * SECOND / 5);
        }
        assertEquals(
                VoterChange.Action.PROMOTE,
                mReconciler.nextChange(12 * SECOND, learning, ids("a", "b", "d")).action());
    }

    /** Guards against a voter that stops and takes its seat along although a learner waits. */
    @Test
    void seatOfALeavingVoterGoesToALearnerAtOnce() {
        mReconciler.recordLeaving(ids("c"));
        assertEquals(
                new VoterChange(VoterChange.Action.PROMOTE, InstanceId.of("d")),
                next(0, members(List.of("a", "b", "c"), List.of("d")), "a", "b", "c", "d"));
        assertEquals(
                new VoterChange(VoterChange.Action.REMOVE, InstanceId.of("c")),
                next(0, members(List.of("a", "b", "c", "d"), List.of()), "a", "b", "c", "d"));
        assertNull(next(0, members(List.of("a", "b", "d"), List.of()), "a", "b", "c", "d"));
    }

    /** Guards against a restart, without a learner, that costs a seat. */
    @Test
    void leavingVoterKeepsItsSeatWithoutALearner() {
        Membership full = members(List.of("a", "b", "c"), List.of());
        mReconciler.recordLeaving(ids("c"));
        assertNull(next(0, full, "a", "b", "c"));
        mReconciler.recordLeaving(Set.of());
        assertNull(next(SECOND, full, "a", "b", "c"));
    }

    /** Guards against a learner that is promoted although it is about to stop. */
    @Test
    void leavingLearnerGetsNoSeat() {
        Membership learning = members(List.of("a", "b", "c"), List.of("d"));
        next(0, learning, "a", "b", "c", "d");
        mReconciler.recordLeaving(ids("d"));
        assertNull(next(5 * SECOND, learning, "a", "b", "d"));
    }

    /** Guards against a planned stop that leaves four voters of which one is gone. */
    @Test
    void fourthVoterOfAFleetThatNeedsThreeIsSurplus() {
        Membership four = members(List.of("a", "b", "c", "d"), List.of());
        assertTrue(mReconciler.hasSurplusVoter(four, ids("a", "b", "c", "d")));
        Membership three = members(List.of("a", "b", "c"), List.of("d"));
        assertFalse(mReconciler.hasSurplusVoter(three, ids("a", "b", "c", "d")));
    }
}
