package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

class MechanismsTest {
    private static final int SEEDS = 100;

    private static History started(long seed, Set<Mechanism> off) {
        History history = new History(seed, 3, 0, Variant.CORRECT, off);
        history.advance(history.millis(5000));
        return history;
    }

    private static int disturbances(Set<Mechanism> off) {
        int count = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            History history = started(seed, off);
            Instance leader = history.leader();
            long term = leader.consensus().term();
            int follower = (history.mInstances.indexOf(leader) + 1) % 3;
            history.isolate(follower, true);
            history.advance(history.millis(15_000));
            history.isolate(follower, false);
            history.advance(history.millis(20_000));
            boolean kept = leader.running() && leader.consensus().term() == term;
            count += kept ? 0 : 1;
        }
        return count;
    }

    /** Guards against a version whose returning replica ends a healthy leadership. */
    @Test
    void preVoteAvoidsDisturbancesAfterIsolation() {
        int with = disturbances(Set.of());
        int without = disturbances(Set.of(Mechanism.PRE_VOTE));
        System.out.printf("disturbances of %d: with=%d without=%d%n", SEEDS, with, without);
        assertEquals(0, with);
        assertTrue(without > 0);
    }

    private static long refusals(Set<Mechanism> off) {
        long count = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            History history = started(seed, off);
            Instance leader = history.leader();
            history.isolate(history.mInstances.indexOf(leader), true);
            for (int i = 0; i < 50; i++) {
                leader.receive(history.propose(1_000_000 + i));
            }
            history.advance(history.millis(8000));
            Instance next = history.leader();
            for (int i = 0; i < 50; i++) {
                next.receive(history.propose(2_000_000 + i));
            }
            history.advance(history.millis(9000));
            long before = history.mOracle.mRefusedAppends;
            history.isolate(history.mInstances.indexOf(leader), false);
            history.advance(history.millis(20_000));
            count += history.mOracle.mRefusedAppends - before;
            history.converge();
            assertEquals(0, history.mOracle.mViolations.size());
        }
        return count;
    }

    /** Guards against a version that needs one round trip per diverging entry. */
    @Test
    void conflictHintsSaveRoundTrips() {
        long with = refusals(Set.of());
        long without = refusals(Set.of(Mechanism.CONFLICT_HINTS));
        System.out.printf("refused appends in %d: with=%d without=%d%n", SEEDS, with, without);
        assertTrue(with < without);
    }
}
