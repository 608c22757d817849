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

class MechanismsTest {
    private static final long BUDGET = ControlBudget.DEFAULT_BYTES_PER_SECOND;
    private static final int SEEDS = 60;

    /**
     * Guards the checker: a variant without the mechanism must be caught. Any change of the code
     * changes the course of a history, so the seeds that follow the kept one are tried as well.
     */
    @ParameterizedTest
    @EnumSource(Variant.class)
    void brokenVariantIsCaught(Variant variant) {
        OptionalLong caught =
                LongStream.range(variant.mSeed, variant.mSeed + SEEDS)
                        .filter(seed -> catches(variant, seed))
                        .findFirst();
        assertTrue(caught.isPresent());
        System.out.println(variant + " caught by seed " + caught.getAsLong());
        assertEquals(
                List.of(), History.run(caught.getAsLong(), GossipRules.standard()).violations());
    }

    private static boolean catches(Variant variant, long seed) {
        return History.run(seed, variant.rules()).kinds().contains(variant.mKind);
    }

    /** Guards the byte check: a budget four times as large must be caught. */
    @Test
    void largerBudgetIsCaught() {
        History broken = History.run(1, GossipRules.standard(), 4 * BUDGET);
        assertTrue(broken.kinds().contains("BYTES"));
    }

    /**
     * Violations found while the slice was written: stale owner versions (387), a returning member
     * out of budget (118, 117), wrong deaths after a cut (846), late news of a leaving server (207,
     * 270, 808, 989, 998), a answer that never had budget (354), a number that only a crashed
     * instance knew (870).
     */
    @ParameterizedTest
    @ValueSource(longs = {117, 118, 207, 270, 281, 354, 387, 516, 808, 846, 870, 989, 998})
    void earlierViolationsStayFixed(long seed) {
        assertEquals(List.of(), History.run(seed, GossipRules.standard()).violations());
    }

    /** Guards against suspecting an instance because one link is cut. */
    @Test
    void indirectProbesSeeThroughOneCutLink() {
        assertEquals(0, suspectsWithCutLink(GossipRules.standard()));
        GossipRules direct =
                new Variant.Open() {
                    @Override
                    public boolean probesIndirectly() {
                        return false;
                    }
                };
        assertTrue(suspectsWithCutLink(direct) > 0);
    }

    private static long suspectsWithCutLink(GossipRules rules) {
        World world = new World(7, 8, 3, rules, BUDGET);
        world.run(15 * World.SECOND);
        world.mChecker.mSuspects = 0;
        world.mCutLinks.add("0 1");
        world.run(40 * World.SECOND);
        return world.mChecker.mSuspects;
    }

    /** Guards against moving ownership with every return of an instance that flaps. */
    @Test
    void flapDampingKeepsOwners() {
        GossipRules undamped =
                new Variant.Open() {
                    @Override
                    public long trustDelayNanos(int flaps) {
                        return 0;
                    }
                };
        int damped = ownerMovesWithFlaps(GossipRules.standard());
        int moves = ownerMovesWithFlaps(undamped);
        assertTrue(damped * 2 <= moves, () -> damped + " moves damped, " + moves + " undamped");
    }

    private static int ownerMovesWithFlaps(GossipRules rules) {
        World world = new World(3, 9, 3, rules, BUDGET);
        world.run(15 * World.SECOND);
        World.Peer observer = world.mPeers.get(1);
        String last = owners(observer);
        int moves = 0;
        for (int i = 0; i < 60 * 4; i++) {
            // Down for 12 s, up for 3 s.
            boolean down = i / 4 % 15 < 12;
            World.Peer flapping = world.mPeers.get(0);
            if (down && !flapping.mFrozen) {
                flapping.freeze();
            } else if (!down) {
                flapping.thaw();
            }
            world.run(250 * World.MILLI);
            String now = owners(observer);
            moves += now.equals(last) ? 0 : 1;
            last = now;
        }
        return moves;
    }

    private static String owners(World.Peer observer) {
        StringBuilder owners = new StringBuilder();
        for (int i = 0; i < 20; i++) {
            BackendId id = BackendId.of("b" + i);
            InstanceId none = InstanceId.of("none");
            owners.append(
                    OwnerSelector.selectOwner(observer.view(), id, ZoneId.of("z0")).orElse(none));
        }
        return owners.toString();
    }

    /** Guards against urgent news that waits for the gossip period at every hop. */
    @Test
    void urgentNewsIsPushed() {
        GossipRules periodic =
                new Variant.Open() {
                    @Override
                    public boolean pushesUrgentNews() {
                        return false;
                    }
                };
        assertTrue(reachedIn200Millis(GossipRules.standard()) > 8);
        assertTrue(reachedIn200Millis(periodic) < 8);
    }

    private static long reachedIn200Millis(GossipRules rules) {
        World world = new World(5, 12, 3, rules, BUDGET);
        world.run(30 * World.SECOND);
        Fact fact = new Fact("zone/z0", 1, new byte[] {1}, TrafficClass.URGENT);
        world.publish(world.mPeers.get(0), fact);
        world.run(200 * World.MILLI);
        return world.mPeers.stream().filter(p -> p.view().facts().containsKey("zone/z0")).count();
    }

    /** Guards against deaths declared by a process that was stopped while it suspected others. */
    @Test
    void stoppedProcessDeclaresNobodyDead() {
        assertEquals(0, lostAfterStop(GossipRules.standard()));
        GossipRules naive =
                new Variant.Open() {
                    @Override
                    public boolean detectsFreeze() {
                        return false;
                    }
                };
        assertTrue(lostAfterStop(naive) > 0);
    }

    private static long lostAfterStop(GossipRules rules) {
        World world = new World(11, 9, 3, rules, BUDGET);
        world.run(15 * World.SECOND);
        World.Peer peer = world.mPeers.get(0);
        peer.mGroup = 100;
        world.run(2_200 * World.MILLI);
        peer.freeze();
        world.run(5 * World.SECOND);
        peer.mGroup = 0;
        peer.thaw();
        return peer.view().members().values().stream()
                .filter(member -> !member.status().isReachable())
                .count();
    }

    /** Guards against deaths that are declared at the first failed probe. */
    @Test
    void suspicionPreventsWrongDeaths() {
        GossipRules hasty =
                new Variant.Open() {
                    @Override
                    public long suspicionNanos(int instances, long periodNanos) {
                        return 0;
                    }
                };
        assertEquals(0, wrongDeathsUnderLoss(GossipRules.standard()));
        assertTrue(wrongDeathsUnderLoss(hasty) > 0);
    }

    private static long wrongDeathsUnderLoss(GossipRules rules) {
        World world = new World(13, 8, 3, rules, BUDGET);
        world.run(15 * World.SECOND);
        world.mLoss = 0.2;
        world.run(100 * World.SECOND);
        return world.mChecker.mWrongDeaths;
    }
}
