package org.hemlockrack.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.wire.CapacityData;
import org.jspecify.annotations.Nullable;

/**
 * What was seen of the servers, merged by server and read page by page. A gateway reports its own
 * observations with it and a controller returns those of all gateways, so that gateways that see
 * little of a server learn from the others without a message for each request. Not thread-safe;
 * time is monotonic and passed in.
 */
public final class CapacityObservations {
    /** Entries that are kept for readers; those that fall behind miss the oldest. */
    private static final int MAX_ENTRIES = 512;

    /** Servers of which something is kept between two reads. */
    private static final int MAX_SERVERS = 1_000;

    /** A gateway sees few answers of a server and passes them on soon. */
    private static final long GATEWAY_MERGE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** All gateways together see several answers of each server in this time. */
    private static final long CONTROLLER_MERGE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time after which an entry is published although nothing has changed. */
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Age after which an observation is not passed on. */
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Reports are rounded to this, and a smaller change is not published. */
    private static final int WORK_STEP_PERCENT = 10;

    /** Same for delays; the mean of a few answers varies by about as much. */
    private static final int DELAY_STEP_PERCENT = 20;

    private static final double PERCENT = 100;

    private final PagedLog<Entry> mLog = PagedLog.of(MAX_ENTRIES);
    private final Map<Incarnation, Merged> mPending = new LinkedHashMap<>();
    private final Map<Incarnation, Entry> mPublished = new HashMap<>();
    private final long mMergeNanos;
    private long mMergedNanos;
    private boolean mHasMerged;

    private record Incarnation(String server, long startMillis) {}

    private record Entry(
            Incarnation incarnation, long atNanos, int delayPercent, int samples, int work) {}

    private static final class Merged {
        private double mDelayPercentSum;
        private int mSamples;
        private int mWorkPercent = ReportedLoad.UNKNOWN;
        private long mWorkNanos;
        private long mNewestNanos;
    }

    private CapacityObservations(long mergeNanos) {
        mMergeNanos = mergeNanos;
    }

    /** Creates the observations of one gateway. */
    public static CapacityObservations ofGateway() {
        return new CapacityObservations(GATEWAY_MERGE_NANOS);
    }

    /** Creates the observations of all gateways that report to one controller. */
    public static CapacityObservations ofController() {
        return new CapacityObservations(CONTROLLER_MERGE_NANOS);
    }

    /**
     * Adds a delay.
     *
     * @param nowNanos monotonic time
     * @param server the server
     * @param startMillis its start, which distinguishes incarnations
     * @param ratio the delay as a multiple of the usual one
     */
    public void recordDelay(long nowNanos, BackendId server, long startMillis, double ratio) {
        Merged merged = merged(nowNanos, new Incarnation(server.value(), startMillis));
        if (merged != null) {
            merged.mDelayPercentSum += ratio * PERCENT;
            merged.mSamples++;
        }
    }

    /**
     * Adds a report of how long work takes.
     *
     * @param nowNanos monotonic time
     * @param server the server
     * @param startMillis its start, which distinguishes incarnations
     * @param workPercent the report
     */
    public void recordWork(long nowNanos, BackendId server, long startMillis, int workPercent) {
        Merged merged = merged(nowNanos, new Incarnation(server.value(), startMillis));
        if (merged != null) {
            merged.mWorkPercent = workPercent;
            merged.mWorkNanos = nowNanos;
        }
    }

    /**
     * Adds what another instance has seen.
     *
     * @param nowNanos monotonic time
     * @param observations the observations
     */
    public void recordAll(long nowNanos, List<CapacityData> observations) {
        for (CapacityData each : observations) {
            long atNanos = nowNanos - ageNanos(each);
            if (ageNanos(each) > LIFETIME_NANOS) {
                continue;
            }
            Merged merged =
                    merged(atNanos, new Incarnation(each.getServer(), each.getStartMillis()));
            if (merged == null) {
                continue;
            }
            int samples = Math.max(0, each.getSamples());
            merged.mDelayPercentSum += (double) each.getDelayPercent() * samples;
            merged.mSamples += samples;
            boolean newer =
                    merged.mWorkPercent == ReportedLoad.UNKNOWN || atNanos - merged.mWorkNanos >= 0;
            if (each.getWorkPercent() > 0 && newer) {
                merged.mWorkPercent = each.getWorkPercent();
                merged.mWorkNanos = atNanos;
            }
        }
    }

    /** Returns the age of an observation at the time of the message. */
    public static long ageNanos(CapacityData data) {
        return TimeUnit.MILLISECONDS.toNanos(Math.max(0, data.getAgeMillis()));
    }

    private @Nullable Merged merged(long atNanos, Incarnation incarnation) {
        Merged merged = mPending.get(incarnation);
        if (merged == null && mPending.size() < MAX_SERVERS) {
            merged = new Merged();
            merged.mNewestNanos = atNanos;
            mPending.put(incarnation, merged);
        }
        if (merged != null && atNanos - merged.mNewestNanos > 0) {
            merged.mNewestNanos = atNanos;
        }
        return merged;
    }

    /**
     * Returns the newest observations after a position.
     *
     * @param nowNanos monotonic time
     * @param position end of the last page that the reader got; negative if it got none
     * @param maxEntries largest number of entries; a reader that lacks more gets the newest
     * @return the observations and the position after them
     */
    public PagedLog.Page<CapacityData> readFrom(long nowNanos, long position, int maxEntries) {
        publish(nowNanos);
        long end = mLog.endPosition();
        long known = position < 0 || position > end ? 0 : position;
        long start = Math.max(known, end - maxEntries);
        List<CapacityData> data = new ArrayList<>();
        for (Entry entry : mLog.readFrom(start, maxEntries).entries()) {
            long ageNanos = nowNanos - entry.atNanos();
            if (ageNanos <= LIFETIME_NANOS) {
                data.add(toData(entry, ageNanos));
            }
        }
        return new PagedLog.Page<>(data, end);
    }

    private static CapacityData toData(Entry entry, long ageNanos) {
        CapacityData data =
                new CapacityData(entry.incarnation().server(), entry.incarnation().startMillis());
        data.setAgeMillis((int) TimeUnit.NANOSECONDS.toMillis(Math.max(0, ageNanos)));
        if (entry.samples() > 0) {
            data.setDelayPercent(entry.delayPercent());
            data.setSamples(entry.samples());
        }
        if (entry.work() != ReportedLoad.UNKNOWN) {
            data.setWorkPercent(entry.work());
        }
        return data;
    }

    private void publish(long nowNanos) {
        boolean early = mHasMerged && nowNanos - mMergedNanos < mMergeNanos;
        if (mPending.isEmpty() || early) {
            return;
        }
        mHasMerged = true;
        mMergedNanos = nowNanos;
        mPublished.values().removeIf(entry -> nowNanos - entry.atNanos() > REPEAT_NANOS);
        mPending.forEach(
                (incarnation, merged) -> {
                    Entry entry = toEntry(incarnation, merged);
                    Entry last = mPublished.get(incarnation);
                    if (last == null || differs(last, entry)) {
                        mLog.add(entry);
                        mPublished.put(incarnation, entry);
                    }
                });
        mPending.clear();
    }

    private static Entry toEntry(Incarnation incarnation, Merged merged) {
        int samples = merged.mSamples;
        double delay = samples == 0 ? 0 : merged.mDelayPercentSum / samples;
        int work =
                merged.mWorkPercent == ReportedLoad.UNKNOWN
                        ? ReportedLoad.UNKNOWN
                        : Math.max(
                                WORK_STEP_PERCENT, rounded(merged.mWorkPercent, WORK_STEP_PERCENT));
        return new Entry(
                incarnation,
                merged.mNewestNanos,
                rounded(delay, DELAY_STEP_PERCENT),
                samples,
                work);
    }

    private static int rounded(double percent, int step) {
        return (int) Math.round(percent / step) * step;
    }

    private static boolean differs(Entry last, Entry entry) {
        boolean delayDiffers =
                entry.samples() > 0
                        && (last.samples() == 0
                                || Math.abs(last.delayPercent() - entry.delayPercent())
                                        > DELAY_STEP_PERCENT);
        boolean workDiffers =
                entry.work() != ReportedLoad.UNKNOWN
                        && Math.abs(last.work() - entry.work()) > WORK_STEP_PERCENT;
        return delayDiffers || workDiffers;
    }
}
