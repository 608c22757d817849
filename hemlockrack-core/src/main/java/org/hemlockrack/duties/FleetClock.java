package org.hemlockrack.duties;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The time of day of the fleet: the median of the controllers' clocks against the monotonic clock
 * of this process, so that the jump of one clock moves no count to another window.
 */
public final class FleetClock {
    /** A reading that is older is left out while a newer one of any source is known. */
    private static final long READING_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** A reply that took longer says too little about the time at which it was built. */
    private static final long MAX_ROUND_TRIP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Map<String, Reading> mReadings = new HashMap<>();
    private boolean mKnown;
    private long mOffsetMillis;

    private record Reading(long offsetMillis, long atNanos) {}

    private FleetClock() {}

    /** Creates a clock without readings. */
    public static FleetClock create() {
        return new FleetClock();
    }

    /**
     * Records the clock of a controller.
     *
     * @param source the controller
     * @param wallMillis its time of day, read between the two times
     * @param requestNanos monotonic time before it was read
     * @param replyNanos monotonic time after it was read
     */
    public synchronized void record(
            String source, long wallMillis, long requestNanos, long replyNanos) {
        long roundTripNanos = replyNanos - requestNanos;
        if (roundTripNanos > MAX_ROUND_TRIP_NANOS) {
            return;
        }
        long readNanos = requestNanos + roundTripNanos / 2;
        long offsetMillis = wallMillis - TimeUnit.NANOSECONDS.toMillis(readNanos);
        mReadings.put(source, new Reading(offsetMillis, replyNanos));
        mReadings.values().removeIf(each -> replyNanos - each.atNanos() > READING_EXPIRY_NANOS);
        List<Long> offsets = new ArrayList<>();
        mReadings.values().forEach(each -> offsets.add(each.offsetMillis()));
        Collections.sort(offsets);
        mOffsetMillis = offsets.get((offsets.size() - 1) / 2);
        mKnown = true;
    }

    /** Returns whether any clock was read. */
    public synchronized boolean isKnown() {
        return mKnown;
    }

    /** Returns the time of day of the fleet in milliseconds; only while {@link #isKnown}. */
    public synchronized long millis(long nowNanos) {
        return mOffsetMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }
}
