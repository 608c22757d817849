package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Throwables;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.hemlockrack.consensus.ClusterSimulation.InjectedFault;
import org.hemlockrack.consensus.disk.PowerLoss;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

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
     * Guards against the same where disks stall or refuse writes, one, some or all of them, while
     * processes are killed and lose what they had not synced.
     */
    @Test
    void noHistoryOfFullDisksViolatesTheOracle() {
        requireNoViolation(ClusterSimulation.DISK_FAULTS);
    }

    /**
     * Guards against the same with the real store, on disks that stall, refuse writes or syncs and
     * lose what was not synced; also against files left open and replicas that took a new id.
     */
    @Test
    void noHistoryOfFullDisksWithFilesViolatesTheOracle() {
        long histories = Long.getLong("histories", 100);
        List<String> violations = Collections.synchronizedList(new ArrayList<>());
        LongStream.range(0, histories)
                .parallel()
                .forEach(
                        seed ->
                                violations.addAll(
                                        violationsWithFiles(seed, List.of(PowerLoss.LOSES_ALL))));
        System.out.printf("file histories=%d violations=%d%n", histories, violations.size());
        assertEquals(List.of(), violations);
    }

    private static List<String> violationsWithFiles(long seed, List<PowerLoss> losses) {
        List<FileDisk> disks = new ArrayList<>();
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        3,
                        0,
                        Variant.CORRECT,
                        Set.of(),
                        () -> {
                            disks.add(
                                    new FileDisk(
                                            new SplittableRandom(seed + disks.size()),
                                            losses,
                                            false));
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

    private static final int FULL_MILLIS = 30_000;
    private static final int STALL_MILLIS = 30_000;

    /** What happens to the disks of a cluster of three, the leader's first. */
    private enum DiskFault {
        LEADER_FULL(FULL_MILLIS),
        LEADER_AND_OTHER_FULL(4_500),
        LEADER_STALLED(STALL_MILLIS);

        private final long mMillis;

        DiskFault(long millis) {
            mMillis = millis;
        }

        private void begin(ClusterSimulation simulation) {
            SimulatedInstance leader = simulation.leader();
            if (this == LEADER_STALLED) {
                leader.stallDisk(STALL_MILLIS);
                return;
            }
            leader.setDiskFull(true);
            for (SimulatedInstance other : simulation.mInstances) {
                if (other != leader && this == LEADER_AND_OTHER_FULL) {
                    other.setDiskFull(true);
                    break;
                }
            }
        }
    }

    /** Returns for how many simulated milliseconds no change is taken after a fault. */
    private static long millisWithoutChanges(long seed, DiskFault fault) {
        ClusterSimulation simulation = new ClusterSimulation(seed, 3, 0, Variant.CORRECT, Set.of());
        simulation.requireConvergence();
        fault.begin(simulation);
        long startNanos = simulation.mNowNanos;
        long endOfFaultNanos = startNanos + simulation.millisToNanos(fault.mMillis);
        while (simulation.mNowNanos < endOfFaultNanos + simulation.millisToNanos(10_000)) {
            if (simulation.mNowNanos >= endOfFaultNanos) {
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

    private static void requireChangesWithin(DiskFault fault, long millis) {
        long[] pauses =
                LongStream.range(0, 200)
                        .parallel()
                        .map(seed -> millisWithoutChanges(seed, fault))
                        .sorted()
                        .toArray();
        System.out.printf("%s: no change for p50=%d max=%d ms%n", fault, pauses[100], pauses[199]);
        assertTrue(pauses[199] <= millis, "no change for " + pauses[199] + " ms");
    }

    /**
     * Guards against a majority that can write and takes no changes, as the leader's disk is full.
     */
    @Test
    void aMajorityTakesChangesWithinTwoSecondsAfterTheDiskOfTheLeaderFilled() {
        requireChangesWithin(DiskFault.LEADER_FULL, 2_000);
    }

    /** Guards against the same, as the leader waits for its disk and reports no error. */
    @Test
    void aMajorityTakesChangesWithinTwoSecondsAfterTheDiskOfTheLeaderStalled() {
        requireChangesWithin(DiskFault.LEADER_STALLED, 2_000);
    }

    /**
     * Guards against a cluster that takes no changes although two disks of three have room again.
     */
    @Test
    void changesAreTakenWithinThreeSecondsAfterTwoDisksHaveRoomAgain() {
        requireChangesWithin(DiskFault.LEADER_AND_OTHER_FULL, 4_500 + 3_000);
    }

    /**
     * What the return of a replica cost whose disk was full.
     *
     * @param millis simulated milliseconds until it had applied what was acknowledged
     * @param bytes bytes sent to it meanwhile
     * @param pauseMillis longest time meanwhile in which the others took no change
     */
    private record Return(long millis, long bytes, long pauseMillis) {}

    /** Lets a follower return while the others take a change every 20 ms, as they did before. */
    private static Return returnOfFollower(long seed, long fullMillis) {
        ClusterSimulation simulation = new ClusterSimulation(seed, 3, 0, Variant.CORRECT, Set.of());
        simulation.requireConvergence();
        SimulatedInstance follower = simulation.mInstances.get(0);
        if (follower == simulation.leader()) {
            follower = simulation.mInstances.get(1);
        }
        follower.setDiskFull(true);
        long startNanos = simulation.mNowNanos;
        long endOfFullNanos = startNanos + simulation.millisToNanos(fullMillis);
        long lastTakenNanos = startNanos;
        long longestPauseNanos = 0;
        long sentBefore = 0;
        long acknowledgedBefore = 0;
        boolean isFull = true;
        while (simulation.mNowNanos < endOfFullNanos + simulation.millisToNanos(10_000)) {
            if (isFull && simulation.mNowNanos >= endOfFullNanos) {
                isFull = false;
                follower.setDiskFull(false);
                acknowledgedBefore = simulation.mOracle.mAcknowledgedIndex;
                sentBefore = simulation.sentBytes(follower);
                longestPauseNanos = 0;
            }
            long acknowledged = simulation.mOracle.mAcknowledgedIndex;
            simulation.leader().receive(simulation.nextProposal());
            simulation.advance(simulation.mNowNanos + simulation.millisToNanos(20));
            if (simulation.mOracle.mAcknowledgedIndex > acknowledged) {
                lastTakenNanos = simulation.mNowNanos;
            }
            longestPauseNanos = Math.max(longestPauseNanos, simulation.mNowNanos - lastTakenNanos);
            if (!isFull && follower.mState.mIndex >= acknowledgedBefore) {
                return new Return(
                        (simulation.mNowNanos - endOfFullNanos) / 1_000_000,
                        simulation.sentBytes(follower) - sentBefore,
                        longestPauseNanos / 1_000_000);
            }
        }
        return new Return(Long.MAX_VALUE, 0, 0);
    }

    private static void requireReturnWithinThreeSeconds(long fullMillis) {
        List<Return> returns =
                LongStream.range(0, 200)
                        .parallel()
                        .mapToObj(seed -> returnOfFollower(seed, fullMillis))
                        .toList();
        long millis = returns.stream().mapToLong(Return::millis).max().orElseThrow();
        long bytes = returns.stream().mapToLong(Return::bytes).max().orElseThrow();
        long pauseMillis = returns.stream().mapToLong(Return::pauseMillis).max().orElseThrow();
        System.out.printf(
                "follower's disk full for %d ms: back after max=%d ms, max=%d bytes,"
                        + " no change meanwhile for max=%d ms%n",
                fullMillis, millis, bytes, pauseMillis);
        assertTrue(millis <= 3_000, "returned after " + millis + " ms");
        assertTrue(pauseMillis <= 2_000, "no change for " + pauseMillis + " ms");
    }

    /**
     * Guards against a replica that does not catch up after its disk was full, by entries or by a
     * snapshot, and against one whose return keeps the others from taking changes.
     */
    @ParameterizedTest
    @ValueSource(longs = {300, 5_000})
    void aFollowerReturnsWithinThreeSecondsAfterItsDiskHasRoomAgain(long fullMillis) {
        requireReturnWithinThreeSeconds(fullMillis);
    }

    /**
     * Guards against a replica that never receives a whole snapshot, as the leader saves a newer
     * one while it still sends the last.
     */
    @Test
    void aFollowerReturnsByASnapshotThatIsSentForLong() {
        requireReturnWithinThreeSeconds(60_000);
    }

    /**
     * Guards against a log that fills the disk of the leader while it waits for the transfer of a
     * snapshot that never ends.
     */
    @Test
    void aTransferThatNeverEndsDoesNotKeepTheWholeLog() {
        ClusterSimulation simulation = new ClusterSimulation(1, 3, 0, Variant.CORRECT, Set.of());
        simulation.requireConvergence();
        SimulatedInstance leader = simulation.leader();
        SimulatedInstance follower = simulation.mInstances.get(0);
        if (follower == leader) {
            follower = simulation.mInstances.get(1);
        }
        follower.setDiskFull(true);
        int changes = 6_000;
        int longestLog = 0;
        int afterFull = 500;
        for (int i = 0; i < changes; i++) {
            if (i == afterFull) {
                simulation.mDropsSnapshotChunks = true;
                follower.setDiskFull(false);
            }
            leader.receive(simulation.nextProposal());
            simulation.advance(simulation.mNowNanos + simulation.millisToNanos(20));
            longestLog = Math.max(longestLog, leader.durableEntries());
        }
        assertSame(leader, simulation.leader());
        assertTrue(follower.mState.mIndex < afterFull, "the transfer ended");
        System.out.printf("%d changes beside a transfer, log of %d entries%n", changes, longestLog);
        assertTrue(longestLog > afterFull, longestLog + " entries");
        assertTrue(longestLog <= changes / 2 + afterFull, longestLog + " entries");
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
