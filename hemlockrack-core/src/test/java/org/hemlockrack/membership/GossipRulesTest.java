package org.hemlockrack.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.hemlockrack.membership.internal.GossipRules;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ZoneId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class GossipRulesTest {
    private static final long BUDGET = ControlBudget.DEFAULT_BYTES_PER_SECOND;
    private static final int SEEDS = 60;

    /**
     * Verifies the invariant checks: they must fail if a mechanism is disabled. Any change of the
     * code changes the events of a history, so the seeds that follow the recorded one are tried as
     * well.
     */
    @ParameterizedTest
    @EnumSource(BrokenRules.class)
    void brokenRulesAreDetected(BrokenRules rules) {
        OptionalLong detectingSeed =
                LongStream.range(rules.mSeed, rules.mSeed + SEEDS)
                        .filter(seed -> isDetected(rules, seed))
                        .findFirst();
        assertTrue(detectingSeed.isPresent());
        System.out.println(rules + " detected by seed " + detectingSeed.getAsLong());
        assertEquals(
                List.of(),
                FaultHistory.run(detectingSeed.getAsLong(), GossipRules.standard()).violations());
    }

    private static boolean isDetected(BrokenRules rules, long seed) {
        return FaultHistory.run(seed, rules.rules())
                .violationKinds()
                .contains(rules.mViolationKind);
    }

    /**
     * Verifies the check of the byte limit: it must fail for a budget that is four times as large.
     */
    @Test
    void largerBudgetIsDetected() {
        FaultHistory broken = FaultHistory.run(1, GossipRules.standard(), 4 * BUDGET);
        assertTrue(broken.violationKinds().contains("BYTES"));
    }

    /**
     * Regression test with the seeds of earlier violations: stale versions of an owner (387), a
     * returning member without budget (118, 117), wrong deaths after a partition (846), late
     * updates about a leaving server (207, 270, 808, 989, 998), a reply that never had budget
     * (354), and a configuration version that only a crashed instance held (870).
     */
    @ParameterizedTest
    @ValueSource(longs = {117, 118, 207, 270, 281, 354, 387, 516, 808, 846, 870, 989, 998})
    void earlierViolationsStayFixed(long seed) {
        assertEquals(List.of(), FaultHistory.run(seed, GossipRules.standard()).violations());
    }

    /** Guards against the suspicion of an instance because of a single broken link. */
    @Test
    void indirectProbesBypassOneBrokenLink() {
        assertEquals(0, suspectsWithBrokenLink(GossipRules.standard()));
        GossipRules directOnly =
                new BrokenRules.AccessibleRules() {
                    @Override
                    public boolean probesIndirectly() {
                        return false;
                    }
                };
        assertTrue(suspectsWithBrokenLink(directOnly) > 0);
    }

    private static long suspectsWithBrokenLink(GossipRules rules) {
        Simulation simulation = new Simulation(7, 8, 3, rules, BUDGET);
        simulation.run(15 * Simulation.SECOND_NANOS);
        simulation.mChecker.mSuspects = 0;
        simulation.mBrokenLinks.add("0 1");
        simulation.run(40 * Simulation.SECOND_NANOS);
        return simulation.mChecker.mSuspects;
    }

    /** Guards against ownership that moves each time a flapping instance returns. */
    @Test
    void flapDampingKeepsOwners() {
        GossipRules undamped =
                new BrokenRules.AccessibleRules() {
                    @Override
                    public long flapDampingNanos(int flaps) {
                        return 0;
                    }
                };
        int damped = ownerMovesWithFlaps(GossipRules.standard());
        int moves = ownerMovesWithFlaps(undamped);
        assertTrue(damped * 2 <= moves, () -> damped + " moves damped, " + moves + " undamped");
    }

    private static int ownerMovesWithFlaps(GossipRules rules) {
        Simulation simulation = new Simulation(3, 9, 3, rules, BUDGET);
        simulation.run(15 * Simulation.SECOND_NANOS);
        Simulation.Peer observer = simulation.mPeers.get(1);
        String last = ownersSeenBy(observer);
        int moves = 0;
        for (int i = 0; i < 60 * 4; i++) {
            // Down for 12 s, up for 3 s.
            boolean down = i / 4 % 15 < 12;
            Simulation.Peer flapping = simulation.mPeers.get(0);
            if (down && !flapping.mPaused) {
                flapping.pause();
            } else if (!down) {
                flapping.resume();
            }
            simulation.run(250 * Simulation.MILLI_NANOS);
            String now = ownersSeenBy(observer);
            moves += now.equals(last) ? 0 : 1;
            last = now;
        }
        return moves;
    }

    private static String ownersSeenBy(Simulation.Peer observer) {
        StringBuilder owners = new StringBuilder();
        for (int i = 0; i < 20; i++) {
            BackendId id = BackendId.of("b" + i);
            InstanceId none = InstanceId.of("none");
            owners.append(
                    OwnerSelector.selectOwner(observer.view(), id, ZoneId.of("z0")).orElse(none));
        }
        return owners.toString();
    }

    /** Guards against urgent rumors that wait for the gossip period at every hop. */
    @Test
    void urgentRumorsArePushed() {
        GossipRules periodic =
                new BrokenRules.AccessibleRules() {
                    @Override
                    public boolean pushesUrgentRumors() {
                        return false;
                    }
                };
        assertTrue(reachedIn200Millis(GossipRules.standard()) > 8);
        assertTrue(reachedIn200Millis(periodic) < 8);
    }

    private static long reachedIn200Millis(GossipRules rules) {
        Simulation simulation = new Simulation(5, 12, 3, rules, BUDGET);
        simulation.run(30 * Simulation.SECOND_NANOS);
        Fact fact = new Fact("zone/z0", 1, new byte[] {1}, TrafficClass.URGENT);
        simulation.publish(simulation.mPeers.get(0), fact);
        simulation.run(200 * Simulation.MILLI_NANOS);
        return simulation.mPeers.stream()
                .filter(p -> p.view().facts().containsKey("zone/z0"))
                .count();
    }

    /**
     * Guards against deaths that are declared by a process that was paused while it suspected
     * others.
     */
    @Test
    void pausedProcessDeclaresNobodyDead() {
        assertEquals(0, unreachableAfterPause(GossipRules.standard()));
        GossipRules withoutDetection =
                new BrokenRules.AccessibleRules() {
                    @Override
                    public boolean detectsPauses() {
                        return false;
                    }
                };
        assertTrue(unreachableAfterPause(withoutDetection) > 0);
    }

    private static long unreachableAfterPause(GossipRules rules) {
        Simulation simulation = new Simulation(11, 9, 3, rules, BUDGET);
        simulation.run(15 * Simulation.SECOND_NANOS);
        Simulation.Peer peer = simulation.mPeers.get(0);
        peer.mGroup = 100;
        simulation.run(2_200 * Simulation.MILLI_NANOS);
        peer.pause();
        simulation.run(5 * Simulation.SECOND_NANOS);
        peer.mGroup = 0;
        peer.resume();
        return peer.view().members().values().stream()
                .filter(member -> !member.status().isReachable())
                .count();
    }

    /** Guards against deaths that are declared at the first failed probe. */
    @Test
    void suspicionPreventsWrongDeaths() {
        GossipRules withoutSuspicion =
                new BrokenRules.AccessibleRules() {
                    @Override
                    public long suspicionNanos(int instances, long periodNanos) {
                        return 0;
                    }
                };
        assertEquals(0, wrongDeathsUnderLoss(GossipRules.standard()));
        assertTrue(wrongDeathsUnderLoss(withoutSuspicion) > 0);
    }

    private static long wrongDeathsUnderLoss(GossipRules rules) {
        Simulation simulation = new Simulation(13, 8, 3, rules, BUDGET);
        simulation.run(15 * Simulation.SECOND_NANOS);
        simulation.mLossRate = 0.2;
        simulation.run(100 * Simulation.SECOND_NANOS);
        return simulation.mChecker.mWrongDeaths;
    }
}
