package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** When a learner may take its state for that of the leader. */
class LearnerStateTest {
    private static final int VOTERS = 3;
    private static final int COMMAND_BYTES = 57_000;
    private static final int MISSED_COMMANDS = 20;
    private static final long LINK_BYTES_PER_SECOND = 750_000;

    private final ClusterSimulation mSimulation =
            new ClusterSimulation(1, VOTERS, 1, Variant.CORRECT, Set.of());
    private final SimulatedInstance mLearner = mSimulation.mInstances.get(VOTERS);

    private void advance(long millis) {
        mSimulation.advance(mSimulation.mNowNanos + mSimulation.millisToNanos(millis));
    }

    private SimulatedInstance awaitLeader() {
        for (int i = 0; i < 2_000 && mSimulation.leader() == null; i++) {
            advance(10);
        }
        SimulatedInstance leader = mSimulation.leader();
        assertTrue(leader != null, "no leader within 20 s");
        return leader;
    }

    private void addLearner() {
        VoterChange change = new VoterChange(VoterChange.Action.ADD_LEARNER, mLearner.mId);
        for (int i = 0;
                i < 50 && awaitLeader().consensus().membership().members().size() == VOTERS;
                i++) {
            awaitLeader().receive(new ConsensusEvent.ChangeVoters(-1 - i, change));
            advance(200);
        }
    }

    /**
     * Guards against a learner that serves an old state while it is being caught up, and against
     * one that never serves.
     */
    @Test
    void learnerHasTheStateOfTheLeaderOnceItIsCaughtUp() {
        mSimulation.mUsesDefaultSettings = true;
        mSimulation.mLinkBytesPerSecond = LINK_BYTES_PER_SECOND;
        awaitLeader();
        addLearner();
        advance(2_000);
        assertTrue(mLearner.consensus().hasCommittedAsLeader());

        mSimulation.setIsolated(VOTERS, true);
        for (int i = 0; i < MISSED_COMMANDS; i++) {
            awaitLeader().receive(mSimulation.nextProposal(COMMAND_BYTES));
            advance(300);
        }
        long committedIndex = awaitLeader().consensus().commitIndex();
        assertTrue(mLearner.consensus().commitIndex() < committedIndex);
        mSimulation.setIsolated(VOTERS, false);
        boolean wasBehind = false;
        for (int i = 0; i < 1_000 && mLearner.consensus().commitIndex() < committedIndex; i++) {
            advance(10);
            boolean isBehind = mLearner.consensus().commitIndex() < committedIndex;
            boolean heardLeader = mLearner.consensus().leader() != null;
            wasBehind |= isBehind && heardLeader && !mLearner.consensus().hasCommittedAsLeader();
            if (wasBehind && isBehind) {
                assertFalse(mLearner.consensus().hasCommittedAsLeader(), "behind the leader");
            }
        }
        assertTrue(wasBehind);
        advance(1_000);
        assertTrue(mLearner.consensus().hasCommittedAsLeader());
        assertEquals(awaitLeader().consensus().commitIndex(), mLearner.consensus().commitIndex());
    }
}
