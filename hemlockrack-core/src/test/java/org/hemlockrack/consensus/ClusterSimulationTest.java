package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Throwables;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.hemlockrack.consensus.ClusterSimulation.InjectedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ClusterSimulationTest {
    private static final long CHAOS_MILLIS = 15_000;

    /** Even seeds have 3 voters, odd ones 5; every third adds an instance for voter changes. */
    private static ClusterSimulation run(long seed, Variant variant) {
        return run(seed, variant, List.of(InjectedFault.values()));
    }

    private static ClusterSimulation run(long seed, Variant variant, List<InjectedFault> faults) {
        int voters = seed % 2 == 0 ? 3 : 5;
        ClusterSimulation simulation =
                new ClusterSimulation(seed, voters, seed % 3 == 0 ? 1 : 0, variant, Set.of());
        simulation.mFaults = faults;
        simulation.mFormation = seed % 4 < 2 ? LogFormation.WITH_ALL : LogFormation.WITH_MAJORITY;
        try {
            simulation.run(CHAOS_MILLIS);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            simulation.mOracle.mViolations.add(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
        return simulation;
    }

    /**
     * Guards against lost, reordered or duplicated commands, double votes and stale reads under
     * faults, and against a cluster that accepts no commands after the faults end.
     */
    @Test
    void noHistoryViolatesTheOracle() {
        requireNoViolation(List.of(InjectedFault.values()));
    }

    /**
     * Guards against the same where disks refuse writes, one, some or all of them, while processes
     * are killed and lose what they had not synced.
     */
    @Test
    void noHistoryOfFullDisksViolatesTheOracle() {
        requireNoViolation(ClusterSimulation.DISK_FAULTS);
    }

    /**
     * Guards against the same with the real store, on disks that refuse writes or syncs and lose
     * what was not synced; also against files left open and replicas that took a new id.
     */
    @Test
    void noHistoryOfFullDisksWithFilesViolatesTheOracle(@TempDir Path folder) {
        long histories = Long.getLong("histories", 100);
        List<String> violations = Collections.synchronizedList(new ArrayList<>());
        LongStream.range(0, histories)
                .parallel()
                .forEach(seed -> violations.addAll(violationsWithFiles(seed, folder)));
        System.out.printf("file histories=%d violations=%d%n", histories, violations.size());
        assertEquals(List.of(), violations);
    }

    private static List<String> violationsWithFiles(long seed, Path folder) {
        List<FileDisk> disks = new ArrayList<>();
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        3,
                        0,
                        Variant.CORRECT,
                        Set.of(),
                        () -> {
                            disks.add(new FileDisk(folder));
                            return disks.get(disks.size() - 1);
                        });
        simulation.mFaults = ClusterSimulation.DISK_FAULTS;
        simulation.mKeepsReplicas = true;
        List<String> violations = new ArrayList<>();
        try {
            simulation.run(CHAOS_MILLIS);
        } catch (RuntimeException e) {
            violations.add("seed " + seed + ": " + Throwables.getStackTraceAsString(e));
        }
        simulation.mOracle.mViolations.forEach(
                what -> violations.add("seed " + seed + ": " + what));
        for (SimulatedInstance instance : simulation.mInstances) {
            instance.crash(0);
        }
        if (disks.stream().anyMatch(disk -> disk.openFiles() > 0)) {
            violations.add("seed " + seed + ": files left open");
        }
        return violations;
    }

    private static void requireNoViolation(List<InjectedFault> injected) {
        long histories = Long.getLong("histories", 1000);
        AtomicLong steps = new AtomicLong();
        AtomicLong commands = new AtomicLong();
        Map<InjectedFault, Integer> faults = new EnumMap<>(InjectedFault.class);
        List<String> violations = Collections.synchronizedList(new ArrayList<>());
        LongStream.range(0, histories)
                .parallel()
                .forEach(
                        seed -> {
                            ClusterSimulation simulation = run(seed, Variant.CORRECT, injected);
                            steps.addAndGet(simulation.mSteps);
                            commands.addAndGet(
                                    simulation.mOracle.mIndexByAcknowledgedCommand.size());
                            synchronized (faults) {
                                simulation.mFaultCounts.forEach(
                                        (k, v) -> faults.merge(k, v, Integer::sum));
                            }
                            if (!simulation.mOracle.mViolations.isEmpty()) {
                                violations.add(
                                        "seed "
                                                + seed
                                                + ": "
                                                + simulation.mOracle.mViolations.get(0));
                            }
                        });
        System.out.printf(
                "consensus histories=%d steps=%d acknowledged=%d violations=%d faults=%s%n",
                histories, steps.get(), commands.get(), violations.size(), faults);
        Collections.sort(violations);
        assertEquals(List.of(), violations.subList(0, Math.min(20, violations.size())));
    }

    /**
     * Returns for how many simulated milliseconds a cluster of three takes no change after disks
     * have filled up, the leader's first.
     */
    private static long millisWithoutChanges(long seed, int fullDisks, long fullMillis) {
        ClusterSimulation simulation = new ClusterSimulation(seed, 3, 0, Variant.CORRECT, Set.of());
        simulation.requireConvergence();
        SimulatedInstance leader = simulation.leader();
        leader.setDiskFull(true);
        for (SimulatedInstance other : simulation.mInstances) {
            if (other != leader && fullDisks > 1) {
                other.setDiskFull(true);
                break;
            }
        }
        long startNanos = simulation.mNowNanos;
        long endOfFullNanos = startNanos + simulation.millisToNanos(fullMillis);
        while (simulation.mNowNanos < endOfFullNanos + simulation.millisToNanos(10_000)) {
            if (simulation.mNowNanos >= endOfFullNanos) {
                simulation.mInstances.forEach(instance -> instance.setDiskFull(false));
            }
            SimulatedInstance target = simulation.leader();
            long acknowledged = simulation.mOracle.mIndexByAcknowledgedCommand.size();
            if (target != null) {
                target.receive(simulation.nextProposal());
            }
            simulation.advance(simulation.mNowNanos + simulation.millisToNanos(20));
            boolean isTaken = simulation.mOracle.mIndexByAcknowledgedCommand.size() > acknowledged;
            if (isTaken && simulation.mNowNanos > startNanos + simulation.millisToNanos(40)) {
                return (simulation.mNowNanos - startNanos) / 1_000_000;
            }
        }
        return Long.MAX_VALUE;
    }

    private static long[] sortedPauses(int fullDisks, long fullMillis) {
        return LongStream.range(0, 200)
                .parallel()
                .map(seed -> millisWithoutChanges(seed, fullDisks, fullMillis))
                .sorted()
                .toArray();
    }

    /**
     * Guards against a majority that can write and takes no changes, as the leader's disk is full.
     */
    @Test
    void aMajorityTakesChangesWithinTwoSecondsAfterTheDiskOfTheLeaderFilled() {
        long[] millis = sortedPauses(1, 30_000);
        System.out.printf("leader's disk full: p50=%d max=%d ms%n", millis[100], millis[199]);
        assertTrue(millis[199] <= 2_000, "no change for " + millis[199] + " ms");
    }

    /**
     * Guards against a cluster that takes no changes although two disks of three have room again.
     */
    @Test
    void changesAreTakenWithinThreeSecondsAfterTwoDisksHaveRoomAgain() {
        long[] millis = sortedPauses(2, 4_500);
        System.out.printf("two disks full: p50=%d max=%d ms%n", millis[100], millis[199]);
        assertTrue(millis[199] <= 4_500 + 3_000, "no change for " + millis[199] + " ms");
    }

    /** Guards against an oracle that accepts a broken implementation. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "CORRECT")
    void theOracleCatchesBrokenVariants(Variant variant) {
        int limit = 400;
        for (long seed = 0; seed < limit; seed++) {
            List<String> violations = run(seed, variant, variant.mFaults).mOracle.mViolations;
            for (String violation : violations) {
                if (violation.startsWith(variant.mViolation)) {
                    System.out.printf("%s caught by seed %d: %s%n", variant, seed, violation);
                    return;
                }
            }
        }
        assertTrue(false, variant + " passed " + limit + " histories");
    }

    /**
     * Returns how many commands were lost that reports had shown to be settled.
     *
     * @param required number of voters of which a majority is required, all of them if 0
     */
    private static int lostSettledCommands(long seed, int required) {
        int voters = seed % 2 == 0 ? 3 : 5;
        ClusterSimulation simulation =
                new ClusterSimulation(seed, voters, 0, Variant.CORRECT, Set.of());
        SettledReports settled = new SettledReports(required == 0 ? voters : required);
        simulation.mKeepsReplicas = true;
        simulation.mSettled = settled;
        simulation.run(CHAOS_MILLIS);
        assertEquals(List.of(), simulation.mOracle.mViolations);
        assertTrue(settled.count() > 0);
        return settled.lostCommands(simulation.mInstances.get(0).mState).size();
    }

    /**
     * Guards against a table that a gateway puts in force before a leader confirms it, and that is
     * lost: what a majority of logs of the current term holds must be part of every later state.
     */
    @Test
    void noSettledCommandIsLost() {
        long histories = Long.getLong("histories", 400);
        long losing =
                LongStream.range(0, histories)
                        .parallel()
                        .filter(seed -> lostSettledCommands(seed, 0) > 0)
                        .count();
        assertEquals(0, losing);
    }

    /** Guards against histories that cannot tell settled commands from others. */
    @Test
    void commandsOfOneLogAreLost() {
        for (long seed = 0; seed < 400; seed++) {
            if (lostSettledCommands(seed, 1) > 0) {
                return;
            }
        }
        assertTrue(false, "no command of a single log was lost in 400 histories");
    }
}
