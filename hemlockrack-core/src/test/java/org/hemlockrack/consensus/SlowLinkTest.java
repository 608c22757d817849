package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hemlockrack.consensus.DocumentReads.ReadRule;
import org.hemlockrack.consensus.TableFetchers.SendRule;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Clusters whose machines have links of 6 Mbit/s, with commands as long as route tables. Whatever
 * the leader sends is queued on its link, so a heartbeat arrives after all that was sent before it.
 */
class SlowLinkTest {
    private static final int HISTORIES = Integer.getInteger("histories", 20);
    private static final long LINK_BYTES_PER_SECOND = 6_000_000 / 8;
    private static final int VOTERS = 5;
    private static final int LEARNERS = 3;
    private static final int GATEWAYS = 87;

    /** Replicas that lack the last tables. */
    private static final int BEHIND = 2;

    private static final int MAX_DOWN_MILLIS = 700;

    /** An acknowledged table must be in force on all gateways after this time. */
    private static final long SPREAD_LIMIT_MILLIS = 2_000;

    /** A deflated table with about 1,200 routes, estimated from the replies of a loaded leader. */
    private static final int TABLE_BYTES = 57_000;

    /** Operators ask another controller after this time. */
    private static final long TRY_MILLIS = 1_000;

    /** Within this time, the newest acknowledged configuration must be read back. */
    private static final long READ_LIMIT_MILLIS = 4_000;

    /** A proposal of a controller ends after this time. */
    private static final long PROPOSE_LIMIT_MILLIS = 2_500;

    private static final long TICK_MILLIS = 10;

    private static final int READS = 20;

    /** How controllers send tables and answer reads. */
    private record ReadPlay(SendRule sends, ReadRule reads) {}

    private static final ReadPlay NOW = new ReadPlay(SendRule.BOUNDED, ReadRule.ANY_CONFIRMED);
    private static final ReadPlay BEFORE = new ReadPlay(SendRule.BOUNDED_ALIKE, ReadRule.LEADER);

    private record Fleet(
            ClusterSimulation simulation, TableFetchers gateways, @Nullable DocumentReads reads) {}

    private static List<Long> seeds() {
        List<Long> seeds = new ArrayList<>();
        for (long seed = 0; seed < HISTORIES; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    private static Fleet startFleet(long seed, SendRule rule) {
        return startFleet(seed, rule, null);
    }

    private static Fleet startFleet(long seed, SendRule rule, @Nullable ReadRule reads) {
        ClusterSimulation simulation =
                new ClusterSimulation(seed, VOTERS, LEARNERS, Variant.CORRECT, Set.of());
        simulation.mUsesDefaultSettings = true;
        simulation.mLinkBytesPerSecond = LINK_BYTES_PER_SECOND;
        Fleet fleet =
                new Fleet(
                        simulation,
                        new TableFetchers(simulation, GATEWAYS, TABLE_BYTES, rule),
                        reads == null ? null : new DocumentReads(simulation, reads));
        awaitLeader(fleet);
        for (int i = VOTERS; i < VOTERS + LEARNERS; i++) {
            InstanceId learner = fleet.simulation().mInstances.get(i).mId;
            for (int tries = 0; tries < 50 && !isMember(fleet, learner); tries++) {
                VoterChange change = new VoterChange(VoterChange.Action.ADD_LEARNER, learner);
                awaitLeader(fleet).receive(new ConsensusEvent.ChangeVoters(-1 - i, change));
                advance(fleet, 200);
            }
        }
        assertEquals(
                VOTERS + LEARNERS, awaitLeader(fleet).consensus().membership().members().size());
        return fleet;
    }

    private static boolean isMember(Fleet fleet, InstanceId instance) {
        return awaitLeader(fleet).consensus().membership().members().stream()
                .anyMatch(member -> member.replica().instance().equals(instance));
    }

    private static void advance(Fleet fleet, long millis) {
        ClusterSimulation simulation = fleet.simulation();
        long endNanos = fleet.simulation().mNowNanos + fleet.simulation().millisToNanos(millis);
        while (fleet.simulation().mNowNanos < endNanos) {
            long tickNanos = fleet.simulation().millisToNanos(TICK_MILLIS);
            fleet.simulation()
                    .advance(Math.min(endNanos, fleet.simulation().mNowNanos + tickNanos));
            fleet.gateways().step();
            if (fleet.reads() != null) {
                fleet.reads().step();
            }
        }
    }

    private static SimulatedInstance awaitLeader(Fleet fleet) {
        for (int i = 0; i < 2_000; i++) {
            SimulatedInstance leader = fleet.simulation().leader();
            if (leader != null) {
                return leader;
            }
            advance(fleet, TICK_MILLIS);
        }
        throw new AssertionError("no leader within 20 s");
    }

    /** Proposes tables in quick succession. Returns the longest time to an acknowledgement. */
    private static long publishTables(Fleet fleet, int count) {
        long longestMillis = 0;
        for (int i = 0; i < count; i++) {
            longestMillis = Math.max(longestMillis, publishTable(fleet, i + 1));
            advance(fleet, fleet.simulation().mRandom.nextInt(200));
        }
        return longestMillis;
    }

    /** Proposes a table, again after a time without an acknowledgement as a caller does. */
    private static long publishTable(Fleet fleet, int table) {
        long startNanos = fleet.simulation().mNowNanos;
        List<Long> tickets = new ArrayList<>();
        while (millisSince(fleet, startNanos) < 20_000) {
            SimulatedInstance leader = fleet.simulation().leader();
            if (leader != null) {
                ConsensusEvent.Propose proposal = fleet.simulation().nextProposal(TABLE_BYTES);
                tickets.add(proposal.ticket());
                fleet.gateways().recordCommand(proposal.ticket(), table);
                leader.receive(proposal);
            }
            long triedNanos = fleet.simulation().mNowNanos;
            while (millisSince(fleet, triedNanos) < TRY_MILLIS) {
                advance(fleet, TICK_MILLIS);
                if (tickets.stream()
                        .anyMatch(
                                fleet.simulation().mOracle.mIndexByAcknowledgedCommand
                                        ::containsKey)) {
                    return millisSince(fleet, startNanos);
                }
            }
        }
        return millisSince(fleet, startNanos);
    }

    /** Returns how long a read takes that is repeated after a time without an answer. */
    private static long readMillis(Fleet fleet) {
        long startNanos = fleet.simulation().mNowNanos;
        while (millisSince(fleet, startNanos) < 20_000) {
            SimulatedInstance leader = fleet.simulation().leader();
            long ticket = fleet.simulation().nextReadTicket();
            if (leader != null) {
                leader.read(ticket, fleet.simulation().mOracle.mAcknowledgedIndex);
            }
            long triedNanos = fleet.simulation().mNowNanos;
            while (millisSince(fleet, triedNanos) < TRY_MILLIS) {
                advance(fleet, TICK_MILLIS);
                if (leader != null && leader.mServedReads.contains(ticket)) {
                    return millisSince(fleet, startNanos);
                }
            }
        }
        return millisSince(fleet, startNanos);
    }

    private static long millisSince(Fleet fleet, long nanos) {
        return (fleet.simulation().mNowNanos - nanos) / fleet.simulation().millisToNanos(1);
    }

    private static void check(List<String> faults, boolean holds, String fault) {
        if (!holds) {
            faults.add(fault);
        }
    }

    /** Returns what went wrong while tables were published without any fault. */
    private static List<String> playStorm(long seed, SendRule rule) {
        Fleet fleet = startFleet(seed, rule);
        advance(fleet, 2_000);
        long term = awaitLeader(fleet).consensus().term();
        long longestMillis = publishTables(fleet, 20);
        advance(fleet, 1_000);
        List<String> faults = new ArrayList<>(fleet.simulation().mOracle.mViolations);
        long terms = awaitLeader(fleet).consensus().term() - term;
        check(faults, terms == 0, "the leader changed " + terms + " times without a fault");
        check(
                faults,
                longestMillis < PROPOSE_LIMIT_MILLIS,
                "a table was acknowledged after " + longestMillis + " ms");
        return faults;
    }

    /**
     * Publishes tables, cuts the power of all machines while some replicas lack the last tables,
     * and publishes another one. Returns the time to the acknowledgement of that one.
     */
    private static long publishAcrossPowerLoss(Fleet fleet, int behind) {
        ClusterSimulation simulation = fleet.simulation();
        advance(fleet, 2_000);
        int leader = simulation.mInstances.indexOf(awaitLeader(fleet));
        int instances = simulation.mInstances.size();
        for (int i = 1; i <= behind; i++) {
            simulation.setIsolated((leader + i) % instances, true);
        }
        publishTables(fleet, 25);
        for (int i = 1; i <= behind; i++) {
            simulation.setIsolated((leader + i) % instances, false);
        }
        simulation.losePower(MAX_DOWN_MILLIS);
        fleet.gateways().losePower();
        advance(fleet, MAX_DOWN_MILLIS);
        return publishTable(fleet, 26);
    }

    /**
     * Returns what went wrong with reads of the whole document after a power loss of all machines.
     */
    private static List<String> playDocumentReads(long seed, ReadPlay play, int behind) {
        Fleet fleet = startFleet(seed, play.sends(), play.reads());
        fleet.gateways().mOnlyVotersSend = true;
        publishAcrossPowerLoss(fleet, behind);
        long longestMillis = 0;
        for (int i = 0; i < READS; i++) {
            long millis = fleet.reads().readMillis(() -> advance(fleet, TICK_MILLIS));
            longestMillis = Math.max(longestMillis, millis);
            advance(fleet, 100);
        }
        List<String> faults = new ArrayList<>(fleet.simulation().mOracle.mViolations);
        check(
                faults,
                longestMillis < READ_LIMIT_MILLIS,
                "a document was read after " + longestMillis + " ms");
        return faults;
    }

    /**
     * Returns what went wrong after a power loss of all machines, which struck while two replicas
     * lacked the last tables.
     */
    private static List<String> playPowerLoss(long seed, SendRule rule) {
        Fleet fleet = startFleet(seed, rule);
        ClusterSimulation simulation = fleet.simulation();
        long acknowledgedMillis = publishAcrossPowerLoss(fleet, BEHIND);
        long longestReadMillis = 0;
        for (int i = 0; i < 20; i++) {
            longestReadMillis = Math.max(longestReadMillis, readMillis(fleet));
            advance(fleet, 100);
        }
        List<String> faults = new ArrayList<>(simulation.mOracle.mViolations);
        check(
                faults,
                acknowledgedMillis < READ_LIMIT_MILLIS,
                "the next table was acknowledged after " + acknowledgedMillis + " ms");
        check(
                faults,
                longestReadMillis < READ_LIMIT_MILLIS,
                "a read took " + longestReadMillis + " ms");
        return faults;
    }

    /**
     * Guards against a leader that loses its followers because its heartbeats wait behind tables:
     * those that it sends to all followers at once, and those that all gateways fetch from it.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void publishedTablesDoNotEndALeadership(long seed) {
        assertEquals(List.of(), playStorm(seed, SendRule.BOUNDED));
    }

    /**
     * Guards against seconds without a leader after a power loss, in which no table is acknowledged
     * and none is read back: gateways without a table and replicas that lack some fill the links.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void newestTableIsReadSoonAfterAPowerLoss(long seed) {
        assertEquals(List.of(), playPowerLoss(seed, SendRule.BOUNDED));
    }

    /** Guards against a bound on the sent tables by which gateways get them too late. */
    @ParameterizedTest
    @MethodSource("seeds")
    void allGatewaysHaveANewTableInTime(long seed) {
        Fleet fleet = startFleet(seed, SendRule.BOUNDED);
        advance(fleet, 2_000);
        for (int table = 1; table <= 3; table++) {
            publishTable(fleet, table);
            advance(fleet, SPREAD_LIMIT_MILLIS);
            assertEquals(0, fleet.gateways().behind(table), "gateways without table " + table);
        }
    }

    /** Guards against reads that take too long because all documents go over the leader's link. */
    @ParameterizedTest
    @MethodSource("seeds")
    void newestDocumentIsReadSoonAfterAPowerLoss(long seed) {
        List<String> faults = playDocumentReads(seed, NOW, 0);
        faults.addAll(playDocumentReads(seed, NOW, BEHIND));
        assertEquals(List.of(), faults);
    }

    /** Shows that the history notices what was before: reads at the leader, beside its tables. */
    @Test
    void documentsOfTheLeaderAreNoticed() {
        boolean isBroken =
                seeds().stream()
                        .anyMatch(seed -> !playDocumentReads(seed, BEFORE, BEHIND).isEmpty());
        assertTrue(isBroken, "no history is broken");
    }

    /** Shows that both histories notice controllers that answer every request for a table. */
    @Test
    void unboundedTablesAreNoticed() {
        assertNotEquals(List.of(), playStorm(1, SendRule.UNBOUNDED));
        long broken =
                seeds().stream()
                        .filter(seed -> !playPowerLoss(seed, SendRule.UNBOUNDED).isEmpty())
                        .count();
        assertTrue(broken > 0, "no history is broken");
    }
}
