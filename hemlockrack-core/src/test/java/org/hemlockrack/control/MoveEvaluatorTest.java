package org.hemlockrack.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.hemlockrack.control.MoveEvaluator.VersionAnswers;
import org.hemlockrack.model.ServiceId;
import org.junit.jupiter.api.Test;

class MoveEvaluatorTest {
    private static final TrafficMove MOVE =
            new TrafficMove(ServiceId.of("s"), "v2", MoveStatus.IN_PROGRESS, 70, 0, 12_000);
    private static final VersionAnswers OLD = new VersionAnswers(1_000, 10, 50_000_000);
    private static final VersionAnswers GOOD = new VersionAnswers(80, 1, 4_000_000);

    /** Guards against a faulty version that gets a large share before its fault shows. */
    @Test
    void shareStaysSmallUntilNearTheDeadline() {
        assertNull(MoveEvaluator.nextStep(MOVE, 6_000, GOOD, OLD));
        TrafficMove switched = MoveEvaluator.nextStep(MOVE, 1_200, GOOD, OLD);
        assertEquals(TrafficMove.ALL_PER_MILLE, switched.sharePerMille());
        assertEquals(
                MoveStatus.COMPLETED, MoveEvaluator.nextStep(switched, 400, GOOD, OLD).status());
    }

    /** Guards against a completed move to a failing version. */
    @Test
    void failingTargetIsReverted() {
        VersionAnswers failing = new VersionAnswers(20, 6, 1_000_000);
        assertEquals(
                MoveStatus.REVERTED, MoveEvaluator.nextStep(MOVE, 9_000, failing, OLD).status());
    }

    /** Guards against a completed move to a version that succeeds but is several times slower. */
    @Test
    void slowTargetIsReverted() {
        VersionAnswers slow = new VersionAnswers(20, 0, 5_000_000);
        assertEquals(MoveStatus.REVERTED, MoveEvaluator.nextStep(MOVE, 9_000, slow, OLD).status());
    }

    /** Guards against a rollback because of failures that the old version shows as well. */
    @Test
    void failuresOfBothSidesDoNotRevert() {
        VersionAnswers others = new VersionAnswers(900, 150, 45_000_000);
        VersionAnswers target = new VersionAnswers(70, 11, 3_500_000);
        assertNull(MoveEvaluator.nextStep(MOVE, 9_000, target, others));
    }

    /** Guards against the completion of a move without enough answers of the target. */
    @Test
    void moveWithoutAnswersIsReverted() {
        assertEquals(
                MoveStatus.REVERTED,
                MoveEvaluator.nextStep(MOVE, 400, VersionAnswers.NONE, OLD).status());
    }
}
