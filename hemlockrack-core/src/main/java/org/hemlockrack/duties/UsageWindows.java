package org.hemlockrack.duties;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The counts of one gateway by window and workspace. Counts are sums since the begin of the window,
 * so a report that arrives twice changes nothing. Thread-safe.
 */
public final class UsageWindows {
    /** Time for which a new holder of the metering duty can still be told the counts. */
    public static final long RETENTION_MILLIS = 40_000;

    /** Bounds the memory if callers make up workspaces; deployments have some dozens. */
    private static final int MAX_WORKSPACES = 2_048;

    private final long mIntervalMillis;
    private final int mMaxWindows;
    private final TreeMap<Long, Map<String, Counter>> mWindows = new TreeMap<>();
    private long mPosition;

    private static final class Counter {
        private long mCount;
        private long mChangedAt;
    }

    private record Change(long windowId, String workspace, long count, long position) {}

    /**
     * A part of the counts.
     *
     * @param windows the counts that have changed
     * @param next position after them
     * @param complete whether no other counts have changed
     */
    public record Page(List<UsageWindow> windows, long next, boolean complete) {}

    private UsageWindows(long intervalMillis, int maxWindows) {
        mIntervalMillis = intervalMillis;
        mMaxWindows = maxWindows;
    }

    /**
     * Creates counts of which all are 0.
     *
     * @param intervalMillis length of a window
     * @return the counts
     */
    public static UsageWindows create(long intervalMillis) {
        return new UsageWindows(
                intervalMillis, Math.toIntExact(RETENTION_MILLIS / intervalMillis) + 1);
    }

    /** Returns the length of a window. */
    public long intervalMillis() {
        return mIntervalMillis;
    }

    /**
     * Counts a request that began to run.
     *
     * @param fleetMillis fleet time
     * @param workspace its workspace
     */
    public synchronized void record(long fleetMillis, String workspace) {
        long id = Math.floorDiv(fleetMillis, mIntervalMillis);
        Map<String, Counter> counters = mWindows.computeIfAbsent(id, key -> new TreeMap<>());
        if (counters.size() >= MAX_WORKSPACES && !counters.containsKey(workspace)) {
            return;
        }
        Counter counter = counters.computeIfAbsent(workspace, key -> new Counter());
        counter.mCount++;
        counter.mChangedAt = ++mPosition;
        while (mWindows.size() > mMaxWindows) {
            mWindows.pollFirstEntry();
        }
    }

    /**
     * Returns the counts that have changed.
     *
     * @param position position after the counts that the receiver has, 0 for none
     * @param maxCounts largest number of counts
     * @return the oldest changes
     */
    public synchronized Page changesSince(long position, int maxCounts) {
        List<Change> changes = new ArrayList<>();
        mWindows.forEach(
                (id, counters) ->
                        counters.forEach(
                                (workspace, counter) -> {
                                    if (counter.mChangedAt > position) {
                                        changes.add(
                                                new Change(
                                                        id,
                                                        workspace,
                                                        counter.mCount,
                                                        counter.mChangedAt));
                                    }
                                }));
        changes.sort(Comparator.comparingLong(Change::position));
        boolean complete = changes.size() <= maxCounts;
        Map<Long, Map<String, Long>> byWindow = new TreeMap<>();
        long next = position;
        for (Change change : changes.subList(0, Math.min(maxCounts, changes.size()))) {
            byWindow.computeIfAbsent(change.windowId(), key -> new TreeMap<>())
                    .put(change.workspace(), change.count());
            next = change.position();
        }
        List<UsageWindow> windows = new ArrayList<>();
        byWindow.forEach((id, counts) -> windows.add(new UsageWindow(id, counts)));
        return new Page(windows, next, complete);
    }
}
