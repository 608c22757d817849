package org.hemlockrack.duties;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Decides which counts the holder of the metering duty fixes, and which window it reports. */
public final class UsageSchedule {
    /** Share of the delay after which a window is fixed although a gateway has not reported. */
    private static final double LATEST_FRACTION = 0.7;

    /**
     * Time between the end of a window and its earliest fixing; differences between the gateways'
     * readings of the fleet time are smaller.
     */
    private static final long MIN_SETTLE_MILLIS = 500;

    private final long mIntervalMillis;
    private final long mDelayMillis;

    private UsageSchedule(long intervalMillis, long delayMillis) {
        mIntervalMillis = intervalMillis;
        mDelayMillis = delayMillis;
    }

    /**
     * Creates a schedule.
     *
     * @param intervalMillis length of a window
     * @param delayMillis time after the end of a window at which its report is due
     * @return the schedule
     */
    public static UsageSchedule of(long intervalMillis, long delayMillis) {
        return new UsageSchedule(intervalMillis, delayMillis);
    }

    /** Returns the number of windows that gateways can still report, the current one included. */
    public int windowsKept() {
        return Math.toIntExact(UsageWindows.RETENTION_MILLIS / mIntervalMillis) + 1;
    }

    /** Returns the window of a point of fleet time. */
    public long windowAt(long fleetMillis) {
        return Math.floorDiv(fleetMillis, mIntervalMillis);
    }

    /** Returns the fleet time at which a window ends. */
    public long endMillis(long windowId) {
        return (windowId + 1) * mIntervalMillis;
    }

    /**
     * Returns the windows whose counts are to be fixed now. A window without any request is fixed
     * with no counts. Windows from before the first one that was fixed or seen by this holder are
     * left out, because the fleet did not run then.
     *
     * @param state the replicated state
     * @param collector the reports of the gateways
     * @param heldSinceWindow window in which this holder began to collect
     * @param fleetMillis fleet time
     * @param nowNanos monotonic time
     */
    public List<UsageWindow> due(
            DutyState state,
            UsageCollector collector,
            long heldSinceWindow,
            long fleetMillis,
            long nowNanos) {
        List<UsageWindow> due = new ArrayList<>();
        List<UsageWindow> fixed = state.windows();
        long firstFixed = fixed.isEmpty() ? Long.MAX_VALUE : fixed.get(0).id();
        long current = windowAt(fleetMillis);
        for (long id = current - windowsKept() + 1; id < current; id++) {
            boolean observed =
                    id > firstFixed || id >= heldSinceWindow || collector.hasCountsUpTo(id);
            if (!state.isOpen(id) || !observed) {
                continue;
            }
            long endMillis = endMillis(id);
            long ageMillis = fleetMillis - endMillis;
            boolean settled =
                    ageMillis >= MIN_SETTLE_MILLIS && collector.isComplete(nowNanos, endMillis);
            if (settled || ageMillis >= mDelayMillis * LATEST_FRACTION) {
                due.add(collector.sum(id));
            }
        }
        return due;
    }

    /**
     * Returns the window to report next: of those that are fixed and not accepted the oldest of
     * those with the fewest tries, so that a window that the platform refuses delays no other one.
     *
     * @param state the replicated state
     * @param accepted windows that the platform accepted, whether the state says so yet or not
     * @param tries calls that this holder has made, by window
     * @return the window, or null if all are accepted
     */
    public @Nullable UsageWindow unreported(
            DutyState state, Set<Long> accepted, Map<Long, Integer> tries) {
        UsageWindow next = null;
        int fewest = Integer.MAX_VALUE;
        for (UsageWindow window : state.windows()) {
            int tried = tries.getOrDefault(window.id(), 0);
            boolean done = state.isReported(window.id()) || accepted.contains(window.id());
            if (!done && tried < fewest) {
                next = window;
                fewest = tried;
            }
        }
        return next;
    }
}
