package org.hemlockrack.daemon.controller;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.duties.Duty;
import org.hemlockrack.duties.DutyLease;
import org.hemlockrack.duties.DutyState;
import org.hemlockrack.duties.FleetClock;
import org.hemlockrack.duties.UsageCollector;
import org.hemlockrack.duties.UsageSchedule;
import org.hemlockrack.duties.UsageWindow;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;

/**
 * The duties of a controller. While it leads the log it takes them and makes their calls, until its
 * lease ends. Thread-safe.
 */
final class DutyService {
    private static final String OWN_CLOCK = "";

    private final DutySettings mSettings;
    private final DutyReplica mReplica;
    private final DutyClock mClock;
    private final Map<Duty, DutyTenure> mTenures = new EnumMap<>(Duty.class);
    private final FleetClock mFleetClock = FleetClock.create();
    private final UsageCollector mCollector;
    private final MeteringDuty mMetering;
    private DutyState mState = DutyState.EMPTY;

    private DutyService(
            DutySettings settings,
            String machine,
            String incarnation,
            DutyReplica replica,
            DutyCalls calls,
            DutyTransport transport,
            DutyClock clock,
            Metrics metrics,
            DecisionLog log) {
        mSettings = settings;
        mReplica = replica;
        mClock = clock;
        for (Duty duty : settings.duties()) {
            mTenures.put(duty, new DutyTenure(duty, machine, incarnation, settings, replica, log));
        }
        UsageSchedule schedule =
                UsageSchedule.of(settings.usageIntervalMillis(), settings.usageDelayMillis());
        mCollector = UsageCollector.create(schedule.windowsKept());
        DutyCaller caller =
                new DutyCaller(this, calls, transport, settings.callsPerSecond(), clock, metrics);
        mMetering = new MeteringDuty(schedule, mCollector, caller, calls, replica, log);
    }

    /**
     * Creates the duties.
     *
     * @param settings their settings
     * @param machine name of this controller
     * @param incarnation identifies this process
     * @param replica the replicated log
     * @param calls translates calls
     * @param transport sends calls
     * @param clock the clocks of this machine
     * @param metrics counts calls
     * @param log receives decisions
     * @return the duties
     */
    static DutyService create(
            DutySettings settings,
            String machine,
            String incarnation,
            DutyReplica replica,
            DutyCalls calls,
            DutyTransport transport,
            DutyClock clock,
            Metrics metrics,
            DecisionLog log) {
        return new DutyService(
                settings, machine, incarnation, replica, calls, transport, clock, metrics, log);
    }

    /** Publishes the committed state. */
    synchronized void publish(DutyState state) {
        mState = state;
    }

    /**
     * Records that a majority confirmed that this process leads.
     *
     * @param sentNanos monotonic time before the confirming round was sent
     * @param sentWallMillis time of day then
     */
    synchronized void recordConfirmation(long sentNanos, long sentWallMillis) {
        mTenures.values()
                .forEach(each -> each.lease().recordConfirmation(sentNanos, sentWallMillis));
    }

    /**
     * Records the clock of another controller.
     *
     * @param address the controller
     * @param reply its reply
     * @param requestNanos monotonic time of the request
     */
    void recordClock(String address, SyncReply reply, long requestNanos) {
        if (reply.isSetWallMillis()) {
            mFleetClock.record(address, reply.getWallMillis(), requestNanos, mClock.nanos());
        }
    }

    /** Takes over the counts of a gateway and states whether this process wants them. */
    synchronized void exchange(SyncRequest request, SyncReply reply) {
        long nowNanos = mClock.nanos();
        long nowWallMillis = mClock.wallMillis();
        reply.setWallMillis(nowWallMillis);
        DutyTenure tenure = mTenures.get(Duty.METERING);
        if (tenure == null) {
            return;
        }
        reply.setUsageIntervalMillis(mSettings.usageIntervalMillis());
        DutyLease lease = tenure.lease();
        if (lease.token() != 0 && lease.isConfirmed(nowNanos, nowWallMillis)) {
            reply.setUsageToken(lease.token());
        }
        if (!request.isGateway()) {
            return;
        }
        String gateway = request.getSender();
        mCollector.recordGateway(nowNanos, gateway);
        if (request.isSetUsage()) {
            List<UsageWindow> windows = request.getUsage().stream().map(UsageWindow::of).toList();
            mCollector.recordCounts(gateway, windows);
        }
        if (request.isSetUsageThroughMillis()) {
            mCollector.recordThrough(nowNanos, gateway, request.getUsageThroughMillis());
        }
    }

    /** Runs what is due. Called a few times a second. */
    synchronized void run() {
        long nowNanos = mClock.nanos();
        long nowWallMillis = mClock.wallMillis();
        mFleetClock.record(OWN_CLOCK, nowWallMillis, nowNanos, nowNanos);
        if (!mReplica.isLeader()) {
            mTenures.values().forEach(DutyTenure::end);
            return;
        }
        mTenures.values().forEach(each -> each.run(mState, nowNanos, nowWallMillis));
        DutyTenure metering = mTenures.get(Duty.METERING);
        if (metering != null && metering.lease().token() != 0) {
            mMetering.observe(mFleetClock.millis(nowNanos), metering.lease().token());
            if (metering.lease().mayAct(nowNanos, nowWallMillis)) {
                mMetering.run(mState, metering, mFleetClock.millis(nowNanos), nowNanos);
            }
        }
    }

    /** Returns the highest token under which this process holds a duty, 0 if it holds none. */
    synchronized long highestToken() {
        return mTenures.values().stream().mapToLong(each -> each.lease().token()).max().orElse(0);
    }

    /** Returns the newest usage window that the platform has accepted, -1 if none. */
    synchronized long newestReportedWindow() {
        return mState.newestReported();
    }

    /** Returns whether a call under a token may be sent now. */
    synchronized boolean maySend(DutyTenure tenure, long token) {
        return tenure.lease().token() == token
                && tenure.lease().mayAct(mClock.nanos(), mClock.wallMillis());
    }
}
