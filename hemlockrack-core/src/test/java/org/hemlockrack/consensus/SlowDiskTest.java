package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.hemlockrack.consensus.disk.PowerLoss;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Three replicas with the real store, each of whose syncs takes long. */
class SlowDiskTest {
    private static final long HISTORIES = Long.getLong("histories", 20);
    private static final int FOREVER_MILLIS = 10_000_000;
    private static final long PROPOSAL_PERIOD_MILLIS = 20;

    private static ClusterSimulation simulation(long seed, long syncMillis) {
        SplittableRandom random = new SplittableRandom(seed);
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed, 3, 0, Variant.CORRECT, Set.of(), () -> newDisk(random.split()));
        simulation.mUsesDefaultSettings = true;
        simulation.mKeepsReplicas = true;
        simulation.mSyncNanos = simulation.millisToNanos(syncMillis);
        return simulation;
    }

    private static SimulatedDisk newDisk(SplittableRandom random) {
        return new FileDisk(random, List.of(PowerLoss.LOSES_ALL), false);
    }

    /** Proposes commands until one is acknowledged; returns the time that it took. */
    private static long awaitCommandMillis(ClusterSimulation simulation, long limitMillis) {
        long startNanos = simulation.mNowNanos;
        long limitNanos = simulation.millisToNanos(limitMillis);
        long before = simulation.mOracle.mAcknowledgedIndex;
        while (simulation.mOracle.mAcknowledgedIndex == before
                && simulation.mNowNanos - startNanos <= limitNanos) {
            SimulatedInstance leader = simulation.leader();
            if (leader != null) {
                leader.receive(simulation.nextProposal());
            }
            simulation.advance(
                    simulation.mNowNanos + simulation.millisToNanos(PROPOSAL_PERIOD_MILLIS));
        }
        return (simulation.mNowNanos - startNanos) / simulation.millisToNanos(1);
    }

    /**
     * Guards against elections that never end because votes and first entries take longer than the
     * election timeout, at the first start and after the loss of a leader.
     */
    @ParameterizedTest
    @CsvSource({"10, 2000", "200, 60000", "300, 60000"})
    void commandIsAcknowledgedInTime(long syncMillis, long limitMillis) {
        for (long seed = 0; seed < HISTORIES; seed++) {
            ClusterSimulation simulation = simulation(seed, syncMillis);
            long firstMillis = awaitCommandMillis(simulation, limitMillis);
            assertTrue(firstMillis <= limitMillis, "seed " + seed + ": no first command");
            SimulatedInstance leader = simulation.leader();
            if (leader != null) {
                leader.crash(FOREVER_MILLIS);
            }
            long nextMillis = awaitCommandMillis(simulation, limitMillis);
            assertTrue(nextMillis <= limitMillis, "seed " + seed + ": no command after the loss");
            assertEquals(List.of(), simulation.mOracle.mViolations);
        }
    }
}
