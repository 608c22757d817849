package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

class MechanismsTest {
    private static final int SEEDS = 100;

    private static ClusterSimulation startedCluster(long seed, Set<ProtocolFeature> off) {
        ClusterSimulation history = new ClusterSimulation(seed, 3, 0, Variant.CORRECT, off);
        history.advance(history.millisToNanos(5000));
        return history;
    }

    private static int countDisturbedLeaderships(Set<ProtocolFeature> off) {
        int count = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            ClusterSimulation history = startedCluster(seed, off);
            SimulatedInstance leader = history.leader();
            long term = leader.consensus().term();
            int follower = (history.mInstances.indexOf(leader) + 1) % 3;
            history.setIsolated(follower, true);
            history.advance(history.millisToNanos(15_000));
            history.setIsolated(follower, false);
            history.advance(history.millisToNanos(20_000));
            boolean stillLeads = leader.isRunning() && leader.consensus().term() == term;
            count += stillLeads ? 0 : 1;
        }
        return count;
    }

    /** Guards against a replica that ends a working leadership when its isolation ends. */
    @Test
    void preVoteAvoidsDisturbancesAfterIsolation() {
        int with = countDisturbedLeaderships(Set.of());
        int without = countDisturbedLeaderships(Set.of(ProtocolFeature.PRE_VOTE));
        System.out.printf("disturbances of %d: with=%d without=%d%n", SEEDS, with, without);
        assertEquals(0, with);
        assertTrue(without > 0);
    }

    private static long countRefusedAppends(Set<ProtocolFeature> off) {
        long count = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            ClusterSimulation history = startedCluster(seed, off);
            SimulatedInstance leader = history.leader();
            history.setIsolated(history.mInstances.indexOf(leader), true);
            for (int i = 0; i < 50; i++) {
                leader.receive(history.proposal(1_000_000 + i));
            }
            history.advance(history.millisToNanos(8000));
            SimulatedInstance next = history.leader();
            for (int i = 0; i < 50; i++) {
                next.receive(history.proposal(2_000_000 + i));
            }
            history.advance(history.millisToNanos(9000));
            long before = history.mOracle.mRefusedAppendCount;
            history.setIsolated(history.mInstances.indexOf(leader), false);
            history.advance(history.millisToNanos(20_000));
            count += history.mOracle.mRefusedAppendCount - before;
            history.requireConvergence();
            assertEquals(0, history.mOracle.mViolations.size());
        }
        return count;
    }

    /** Guards against log repair that needs one round trip per conflicting entry. */
    @Test
    void conflictHintsSaveRoundTrips() {
        long with = countRefusedAppends(Set.of());
        long without = countRefusedAppends(Set.of(ProtocolFeature.CONFLICT_HINTS));
        System.out.printf("refused appends in %d: with=%d without=%d%n", SEEDS, with, without);
        assertTrue(with < without);
    }
}
