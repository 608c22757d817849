package org.hemlockrack.duties;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class UsageProperties {
    private static final long INTERVAL_MILLIS = 5_000;
    private static final long DELAY_MILLIS = 10_000;

    /** Sends reports of some gateways, some of them lost, repeated or late; returns the sums. */
    private static Map<Long, Map<String, Long>> transfer(
            long seed, UsageCollector collector, boolean addsRepeats) {
        Random random = new Random(seed);
        Map<Long, Map<String, Long>> truth = new HashMap<>();
        for (int gateway = 0; gateway < 5; gateway++) {
            UsageWindows windows = UsageWindows.create(INTERVAL_MILLIS);
            List<UsageWindow> late = new ArrayList<>();
            long position = 0;
            for (int step = 0; step < 60; step++) {
                long fleetMillis = step * 500L + random.nextInt(500);
                String workspace = "w" + random.nextInt(4);
                windows.record(fleetMillis, workspace);
                truth.computeIfAbsent(fleetMillis / INTERVAL_MILLIS, key -> new HashMap<>())
                        .merge(workspace, 1L, Long::sum);
                UsageWindows.Page page = windows.changesSince(position, 1 + random.nextInt(6));
                boolean arrives = random.nextBoolean();
                if (arrives) {
                    collector.recordCounts("g" + gateway, page.windows());
                    late.addAll(page.windows());
                }
                if (random.nextInt(4) == 0) {
                    collector.recordCounts((addsRepeats ? "r" : "g") + gateway, late);
                }
                // The reply to a report that arrived may be lost as well.
                position = arrives && random.nextBoolean() ? page.next() : position;
            }
            UsageWindows.Page rest = windows.changesSince(position, Integer.MAX_VALUE);
            assertTrue(rest.complete());
            collector.recordCounts("g" + gateway, rest.windows());
        }
        return truth;
    }

    private static Map<Long, Map<String, Long>> sums(
            UsageCollector collector, Map<Long, Map<String, Long>> truth) {
        Map<Long, Map<String, Long>> sums = new HashMap<>();
        truth.keySet().forEach(id -> sums.put(id, collector.sum(id).counts()));
        return sums;
    }

    /** Guards against counts that are lost or doubled by lost, repeated and late reports. */
    @Property(tries = 200)
    void everyRequestCountsOnce(@ForAll long seed) {
        UsageCollector collector = UsageCollector.create(9);
        Map<Long, Map<String, Long>> truth = transfer(seed, collector, false);
        assertEquals(truth, sums(collector, truth));
    }

    /** Guards against a check that misses a collector which adds repeated reports. */
    @Test
    void doubledCountsAreFound() {
        UsageCollector collector = UsageCollector.create(9);
        Map<Long, Map<String, Long>> truth = transfer(1, collector, true);
        assertFalse(truth.equals(sums(collector, truth)));
    }

    /** Guards against a position that skips changes made after a page was read. */
    @Test
    void newHolderIsToldEverything() {
        UsageWindows windows = UsageWindows.create(INTERVAL_MILLIS);
        windows.record(1, "a");
        windows.record(1, "b");
        UsageWindows.Page first = windows.changesSince(0, 1);
        assertFalse(first.complete());
        windows.record(1, "a");
        UsageWindows.Page rest = windows.changesSince(first.next(), 10);
        assertEquals(Map.of("a", 2L, "b", 1L), rest.windows().get(0).counts());
        assertEquals(rest.windows(), windows.changesSince(0, 10).windows());
        assertTrue(windows.changesSince(rest.next(), 10).windows().isEmpty());
    }

    /** Guards against memory that grows with the time that a gateway runs. */
    @Test
    void oldWindowsAreDropped() {
        UsageWindows windows = UsageWindows.create(INTERVAL_MILLIS);
        for (long window = 0; window < 100; window++) {
            windows.record(window * INTERVAL_MILLIS, "w");
        }
        assertEquals(9, windows.changesSince(0, 1_000).windows().size());
    }

    /** Guards against a window that is fixed before a running gateway has reported it. */
    @Test
    void windowWaitsForSlowGateway() {
        UsageSchedule schedule = UsageSchedule.of(INTERVAL_MILLIS, DELAY_MILLIS);
        UsageCollector collector = UsageCollector.create(schedule.windowsKept());
        collector.recordGateway(0, "g1");
        collector.recordGateway(0, "g2");
        collector.recordCounts("g1", List.of(new UsageWindow(20, Map.of("w", 3L))));
        collector.recordThrough(0, "g1", 105_600);
        DutyState empty = DutyState.EMPTY;
        assertTrue(schedule.due(empty, collector, 20, 105_700, 0).isEmpty());
        collector.recordCounts("g2", List.of(new UsageWindow(20, Map.of("w", 4L))));
        collector.recordThrough(0, "g2", 105_600);
        assertEquals(
                List.of(new UsageWindow(20, Map.of("w", 7L))),
                schedule.due(empty, collector, 20, 105_700, 0));
    }

    /** Guards against a report that comes too late because a gateway hangs or has ended. */
    @Test
    void windowIsFixedWithoutSilentGateway() {
        UsageSchedule schedule = UsageSchedule.of(INTERVAL_MILLIS, DELAY_MILLIS);
        UsageCollector collector = UsageCollector.create(schedule.windowsKept());
        collector.recordGateway(0, "g1");
        assertTrue(schedule.due(DutyState.EMPTY, collector, 20, 111_000, 0).isEmpty());
        assertEquals(1, schedule.due(DutyState.EMPTY, collector, 20, 112_500, 0).size());
        long laterNanos = TimeUnit.SECONDS.toNanos(5);
        collector.recordGateway(laterNanos, "g2");
        collector.recordThrough(laterNanos, "g2", 105_600);
        assertEquals(1, schedule.due(DutyState.EMPTY, collector, 20, 106_000, laterNanos).size());
    }

    /** Guards against reports of no usage for the time before the fleet was started. */
    @Test
    void firstHolderBeginsWithItsOwnWindow() {
        UsageSchedule schedule = UsageSchedule.of(INTERVAL_MILLIS, DELAY_MILLIS);
        UsageCollector collector = UsageCollector.create(schedule.windowsKept());
        List<UsageWindow> due = schedule.due(DutyState.EMPTY, collector, 20, 118_000, 0);
        assertEquals(List.of(new UsageWindow(20, Map.of()), new UsageWindow(21, Map.of())), due);
        DutyState state = DutyState.EMPTY.withWindow(due.get(0)).withWindow(due.get(1));
        state = state.withReported(20);
        assertEquals(21, schedule.unreported(state, Set.of(), Map.of()).id());
        assertTrue(schedule.due(state, collector, 20, 118_000, 0).isEmpty());
        assertEquals(1, schedule.due(state, collector, 22, 123_000, 0).size());
    }

    /** Guards against a window boundary that moves with the jump of one clock. */
    @Test
    void fleetClockIsTheMedian() {
        FleetClock clock = FleetClock.create();
        clock.record("c1", 50_000, 0, 0);
        clock.record("c2", 50_010, 0, 0);
        clock.record("c3", 90_000, 0, 0);
        assertEquals(50_011, clock.millis(TimeUnit.MILLISECONDS.toNanos(1)));
        clock.record("c1", 1, 0, TimeUnit.SECONDS.toNanos(2));
        assertEquals(50_010, clock.millis(0));
    }
}
