package org.hemlockrack.limits;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The permits of one limit that an instance holds, and its demand for more. Permits end by the
 * monotonic clock and by the time of day, whichever is earlier: the monotonic clock stands still
 * while a machine is suspended. Not thread-safe; times are passed in.
 */
public final class PermitStock {
    /** Time over which demand is measured. */
    private static final long DEMAND_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int DEMAND_SLOTS = 50;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private record Batch(long endNanos, long endWallMillis, int[] left) {}

    private final ArrayDeque<Batch> mBatches = new ArrayDeque<>();
    private final SlidingSum mDemand;

    private PermitStock(long nowNanos) {
        mDemand = SlidingSum.empty(nowNanos, DEMAND_WINDOW_NANOS, DEMAND_SLOTS);
    }

    /**
     * Creates an empty stock.
     *
     * @param nowNanos monotonic time
     */
    public static PermitStock create(long nowNanos) {
        return new PermitStock(nowNanos);
    }

    /**
     * Records the demand for one permit, whether or not it can be met.
     *
     * @param nowNanos monotonic time
     */
    public void recordDemand(long nowNanos) {
        mDemand.add(nowNanos, 1);
    }

    /**
     * Adds permits.
     *
     * @param requestedNanos monotonic time at which they were requested
     * @param requestedWallMillis time of day at which they were requested
     * @param lifetimeNanos time after the request at which they end
     * @param count number of permits
     */
    public void add(long requestedNanos, long requestedWallMillis, long lifetimeNanos, int count) {
        if (count > 0) {
            mBatches.add(
                    new Batch(
                            requestedNanos + lifetimeNanos,
                            requestedWallMillis + TimeUnit.NANOSECONDS.toMillis(lifetimeNanos),
                            new int[] {count}));
        }
    }

    /**
     * Takes one permit.
     *
     * @param nowNanos monotonic time
     * @param wallMillis time of day
     * @return false if none is valid
     */
    public boolean tryTake(long nowNanos, long wallMillis) {
        removeEnded(nowNanos, wallMillis);
        Batch oldest = mBatches.peek();
        if (oldest == null) {
            return false;
        }
        oldest.left()[0]--;
        if (oldest.left()[0] == 0) {
            mBatches.remove();
        }
        return true;
    }

    /**
     * Returns how many permits to ask for: those that requests wait for, and the expected demand
     * until the permits end. At a low demand none are asked for in advance, as most would end
     * unused.
     *
     * @param nowNanos monotonic time
     * @param wallMillis time of day
     * @param waiting requests that wait for a permit
     */
    public int wanted(long nowNanos, long wallMillis, int waiting) {
        removeEnded(nowNanos, wallMillis);
        int held = mBatches.stream().mapToInt(batch -> batch.left()[0]).sum();
        double lifetimeSeconds = PermitKeeper.LIFETIME_NANOS / NANOS_PER_SECOND;
        int expected = (int) Math.floor(mDemand.sum(nowNanos) * lifetimeSeconds);
        return Math.max(0, waiting + expected - held);
    }

    private void removeEnded(long nowNanos, long wallMillis) {
        mBatches.removeIf(
                batch ->
                        nowNanos - batch.endNanos() >= 0
                                || wallMillis - batch.endWallMillis() >= 0);
    }
}
