package org.hemlockrack.daemon.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.duties.FleetClock;
import org.hemlockrack.duties.UsageWindow;
import org.hemlockrack.duties.UsageWindows;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.jspecify.annotations.Nullable;

/**
 * Counts what the holders of duties need and reports it to them: requests that began to run, for
 * metering, and requests that no server had room for, for autoscaling. Nothing is sent until a
 * controller says that it wants it. Thread-safe.
 */
final class DutyReports {
    /** Time between two reports; counts since the last one are lost if this process is killed. */
    private static final long REPORT_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Largest number of counts in one report, about 6 KB; usual ones have some dozens. */
    private static final int MAX_COUNTS = 256;

    /** Longer than a request takes from the reading of the clock to its count. */
    private static final long COUNTING_MILLIS = 100;

    private final FleetClock mClock = FleetClock.create();
    private volatile @Nullable UsageWindows mWindows;
    private String mHolder = "";
    private long mToken;
    private long mReportedPosition;
    private long mSentPosition;
    private long mSentNanos;
    private boolean mReportDue = true;
    private boolean mReportsAtOnce;

    private final ZoneId mZone;
    private final Map<String, Long> mRefused = new ConcurrentHashMap<>();
    private String mDemandReceiver = "";

    private DutyReports(ZoneId zone) {
        mZone = zone;
    }

    static DutyReports create(ZoneId zone) {
        return new DutyReports(zone);
    }

    /** Counts a request that was refused because no server of its service had room. */
    void recordRefused(ServiceId service) {
        mRefused.merge(service.value(), 1L, Long::sum);
    }

    /**
     * Counts a request that began to run.
     *
     * @param nowNanos monotonic time
     * @param workspace its workspace, or null if it belongs to none
     */
    void recordBegun(long nowNanos, @Nullable String workspace) {
        UsageWindows windows = mWindows;
        if (windows != null && workspace != null) {
            windows.record(mClock.millis(nowNanos), workspace);
        }
    }

    /** Adds what has changed to a request if the receiver is the holder and a report is due. */
    synchronized void describe(long nowNanos, String address, SyncRequest request) {
        if (address.equals(mDemandReceiver)) {
            request.setZone(mZone.value());
            request.setRefused(new HashMap<>(mRefused));
        }
        UsageWindows windows = mWindows;
        boolean isDue =
                mReportDue || mReportsAtOnce || nowNanos - mSentNanos >= REPORT_PERIOD_NANOS;
        if (windows == null || !address.equals(mHolder) || !isDue) {
            return;
        }
        long throughMillis = mClock.millis(nowNanos) - COUNTING_MILLIS;
        UsageWindows.Page page = windows.changesSince(mReportedPosition, MAX_COUNTS);
        request.setUsage(page.windows().stream().map(UsageWindow::toData).toList());
        if (page.complete()) {
            request.setUsageThroughMillis(throughMillis);
        }
        mSentPosition = page.next();
        mSentNanos = nowNanos;
        mReportDue = false;
    }

    /** Takes over what a reply says about metering and what it confirms. */
    synchronized void recordReply(
            long nowNanos, String address, SyncReply reply, long requestNanos) {
        if (reply.isWantsDemand()) {
            mDemandReceiver = address;
        } else if (address.equals(mDemandReceiver)) {
            mDemandReceiver = "";
        }
        if (reply.isSetWallMillis()) {
            mClock.record(address, reply.getWallMillis(), requestNanos, nowNanos);
        }
        if (!reply.isSetUsageIntervalMillis() || !mClock.isKnown()) {
            return;
        }
        UsageWindows windows = mWindows;
        if (windows == null || windows.intervalMillis() != reply.getUsageIntervalMillis()) {
            mWindows = UsageWindows.create(reply.getUsageIntervalMillis());
            startOver();
        }
        recordHolder(address, reply);
    }

    private void recordHolder(String address, SyncReply reply) {
        boolean isHolder = address.equals(mHolder);
        if (!reply.isSetUsageToken()) {
            mHolder = isHolder ? "" : mHolder;
            return;
        }
        long token = reply.getUsageToken();
        if (token == mToken && isHolder) {
            mReportedPosition = Math.max(mReportedPosition, mSentPosition);
            return;
        }
        if (token >= mToken) {
            mHolder = address;
            mToken = token;
            startOver();
        }
    }

    /** Lets the next report hold all counts; a new holder has none of them. */
    private void startOver() {
        mReportedPosition = 0;
        mSentPosition = 0;
        mReportDue = true;
    }

    /** Lets each exchange report what has changed, because this process ends soon. */
    synchronized void reportAtOnce() {
        mReportsAtOnce = true;
    }

    /** Returns whether the holder lacks counts. */
    synchronized boolean hasUnreported() {
        UsageWindows windows = mWindows;
        return windows != null
                && !mHolder.isEmpty()
                && !windows.changesSince(mReportedPosition, 1).windows().isEmpty();
    }
}
