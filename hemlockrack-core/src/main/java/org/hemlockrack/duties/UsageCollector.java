package org.hemlockrack.duties;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The counts that gateways reported to the holder of the metering duty, by incarnation of the
 * gateway. What a gateway reported stays after it has ended. Not thread-safe.
 */
public final class UsageCollector {
    /** A gateway that has sent nothing for this long has ended or is partitioned. */
    private static final long GATEWAY_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final int mMaxWindows;
    private final TreeMap<Long, Map<String, Map<String, Long>>> mWindows = new TreeMap<>();
    private final Map<String, Gateway> mGateways = new HashMap<>();

    private record Gateway(long seenNanos, long throughMillis) {}

    private UsageCollector(int maxWindows) {
        mMaxWindows = maxWindows;
    }

    /**
     * Creates a collector without reports.
     *
     * @param maxWindows newest windows that are kept
     * @return the collector
     */
    public static UsageCollector create(int maxWindows) {
        return new UsageCollector(maxWindows);
    }

    /**
     * Records that a gateway runs.
     *
     * @param nowNanos monotonic time
     * @param gateway incarnation of the gateway
     */
    public void recordGateway(long nowNanos, String gateway) {
        Gateway known = mGateways.get(gateway);
        long throughMillis = known == null ? Long.MIN_VALUE : known.throughMillis();
        mGateways.put(gateway, new Gateway(nowNanos, throughMillis));
        mGateways.values().removeIf(each -> nowNanos - each.seenNanos() > GATEWAY_EXPIRY_NANOS);
    }

    /**
     * Records a report. Counts only grow, so a report that was overtaken changes nothing.
     *
     * @param gateway incarnation of the gateway
     * @param windows its counts
     */
    public void recordCounts(String gateway, List<UsageWindow> windows) {
        for (UsageWindow window : windows) {
            Map<String, Long> counts =
                    mWindows.computeIfAbsent(window.id(), key -> new HashMap<>())
                            .computeIfAbsent(gateway, key -> new HashMap<>());
            window.counts()
                    .forEach((workspace, count) -> counts.merge(workspace, count, Math::max));
        }
        while (mWindows.size() > mMaxWindows) {
            mWindows.pollFirstEntry();
        }
    }

    /**
     * Records that a gateway has reported all counts up to a time.
     *
     * @param nowNanos monotonic time
     * @param gateway incarnation of the gateway
     * @param throughMillis fleet time
     */
    public void recordThrough(long nowNanos, String gateway, long throughMillis) {
        mGateways.put(gateway, new Gateway(nowNanos, throughMillis));
    }

    /**
     * Returns whether every gateway that runs has reported its counts up to a time. False while no
     * gateway is known.
     *
     * @param nowNanos monotonic time
     * @param endMillis fleet time
     */
    public boolean isComplete(long nowNanos, long endMillis) {
        boolean known = false;
        for (Gateway gateway : mGateways.values()) {
            if (nowNanos - gateway.seenNanos() > GATEWAY_EXPIRY_NANOS) {
                continue;
            }
            known = true;
            if (gateway.throughMillis() < endMillis) {
                return false;
            }
        }
        return known;
    }

    /** Returns the sums of a window over all gateways. */
    public UsageWindow sum(long windowId) {
        Map<String, Long> sums = new TreeMap<>();
        for (Map<String, Long> counts : mWindows.getOrDefault(windowId, Map.of()).values()) {
            counts.forEach((workspace, count) -> sums.merge(workspace, count, Long::sum));
        }
        return new UsageWindow(windowId, sums);
    }

    /** Returns whether any gateway has reported counts of a window or an older one. */
    public boolean hasCountsUpTo(long windowId) {
        return !mWindows.isEmpty() && mWindows.firstKey() <= windowId;
    }
}
