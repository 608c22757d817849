package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

class ProtocolFeaturesTest {
    private static final int SEEDS = 100;

    private static ClusterSimulation startedCluster(
            long seed, Set<ProtocolFeature> disabledFeatures) {
        ClusterSimulation simulation =
                new ClusterSimulation(seed, 3, 0, Variant.CORRECT, disabledFeatures);
        simulation.advance(simulation.millisToNanos(5000));
        return simulation;
    }

    private static int countDisturbedLeaderships(Set<ProtocolFeature> disabledFeatures) {
        int count = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            ClusterSimulation simulation = startedCluster(seed, disabledFeatures);
            SimulatedInstance leader = simulation.leader();
            long term = leader.consensus().term();
            int follower = (simulation.mInstances.indexOf(leader) + 1) % 3;
            simulation.setIsolated(follower, true);
            simulation.advance(simulation.millisToNanos(15_000));
            simulation.setIsolated(follower, false);
            simulation.advance(simulation.millisToNanos(20_000));
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

    private static long countRefusedAppends(Set<ProtocolFeature> disabledFeatures) {
        long count = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            ClusterSimulation simulation = startedCluster(seed, disabledFeatures);
            SimulatedInstance leader = simulation.leader();
            simulation.setIsolated(simulation.mInstances.indexOf(leader), true);
            for (int i = 0; i < 50; i++) {
                leader.receive(simulation.proposal(1_000_000 + i));
            }
            simulation.advance(simulation.millisToNanos(8000));
            SimulatedInstance next = simulation.leader();
            for (int i = 0; i < 50; i++) {
                next.receive(simulation.proposal(2_000_000 + i));
            }
            simulation.advance(simulation.millisToNanos(9000));
            long before = simulation.mOracle.mRefusedAppendCount;
            simulation.setIsolated(simulation.mInstances.indexOf(leader), false);
            simulation.advance(simulation.millisToNanos(20_000));
            count += simulation.mOracle.mRefusedAppendCount - before;
            simulation.requireConvergence();
            assertEquals(0, simulation.mOracle.mViolations.size());
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
