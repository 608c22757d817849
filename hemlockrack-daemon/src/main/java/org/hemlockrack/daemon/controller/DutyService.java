package org.hemlockrack.daemon.controller;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.duties.Duty;
import org.hemlockrack.duties.DutyState;
import org.hemlockrack.duties.FleetClock;
import org.hemlockrack.duties.UsageCollector;
import org.hemlockrack.duties.UsageSchedule;
import org.hemlockrack.duties.UsageWindow;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.AutoscaleSpec;
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
    private final AutoscaleView mView;
    private final DutyClock mClock;
    private final Map<Duty, DutyTenure> mTenures = new EnumMap<>(Duty.class);
    private final FleetClock mFleetClock = FleetClock.create();
    private final UsageCollector mCollector;
    private final MeteringDuty mMetering;
    private final AutoscalingDuty mAutoscaling;

    /** Which duty may call first; a duty whose calls fail must not keep the other one waiting. */
    private boolean mMeteringFirst;

    private DutyState mState = DutyState.EMPTY;

    private DutyService(
            DutySettings settings,
            String machine,
            String incarnation,
            DutyReplica replica,
            AutoscaleView view,
            DutyCalls calls,
            DutyTransport transport,
            DutyClock clock,
            Metrics metrics,
            DecisionLog log) {
        mSettings = settings;
        mReplica = replica;
        mView = view;
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
        mAutoscaling = new AutoscalingDuty(caller, calls, log, clock.nanos());
    }

    /**
     * Creates the duties.
     *
     * @param settings their settings
     * @param machine name of this controller
     * @param incarnation identifies this process
     * @param replica the replicated log
     * @param view the servers and their configuration
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
            AutoscaleView view,
            DutyCalls calls,
            DutyTransport transport,
            DutyClock clock,
            Metrics metrics,
            DecisionLog log) {
        return new DutyService(
                settings,
                machine,
                incarnation,
                replica,
                view,
                calls,
                transport,
                clock,
                metrics,
                log);
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

    /** Takes over the reports of a gateway and states whether this process wants them. */
    synchronized void exchange(SyncRequest request, SyncReply reply) {
        reply.setWallMillis(mClock.wallMillis());
        if (heldToken(Duty.AUTOSCALING) != 0) {
            reply.setWantsDemand(true);
            mAutoscaling.record(mClock.nanos(), request);
        }
        if (!mTenures.containsKey(Duty.METERING)) {
            return;
        }
        reply.setUsageIntervalMillis(mSettings.usageIntervalMillis());
        long token = heldToken(Duty.METERING);
        if (token != 0) {
            reply.setUsageToken(token);
        }
        if (request.isGateway()) {
            recordUsage(mClock.nanos(), request);
        }
    }

    /**
     * Returns the token under which this process holds a duty, acting or not yet; 0 if it doesn't.
     */
    private long heldToken(Duty duty) {
        DutyTenure tenure = mTenures.get(duty);
        boolean holds =
                tenure != null && tenure.lease().isConfirmed(mClock.nanos(), mClock.wallMillis());
        return holds ? tenure.lease().token() : 0;
    }

    private void recordUsage(long nowNanos, SyncRequest request) {
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
    void run() {
        boolean autoscales = mTenures.containsKey(Duty.AUTOSCALING) && mReplica.isLeader();
        // Parsing a new route table takes long, so no lock is held.
        Map<ServiceId, AutoscaleSpec> specs = autoscales ? mView.specs() : Map.of();
        run(specs, specs.isEmpty() ? List.of() : mView.servers());
    }

    private synchronized void run(
            Map<ServiceId, AutoscaleSpec> specs, Collection<Registration> servers) {
        long nowNanos = mClock.nanos();
        long nowWallMillis = mClock.wallMillis();
        mFleetClock.record(OWN_CLOCK, nowWallMillis, nowNanos, nowNanos);
        if (!mReplica.isLeader()) {
            mTenures.values().forEach(DutyTenure::end);
            return;
        }
        mTenures.values().forEach(each -> each.run(mState, nowNanos, nowWallMillis));
        mMeteringFirst = !mMeteringFirst;
        if (mMeteringFirst) {
            meter(nowNanos);
        }
        autoscale(nowNanos, specs, servers);
        if (!mMeteringFirst) {
            meter(nowNanos);
        }
    }

    private void meter(long nowNanos) {
        DutyTenure tenure = mTenures.get(Duty.METERING);
        if (tenure == null || tenure.lease().token() == 0) {
            return;
        }
        long fleetMillis = mFleetClock.millis(nowNanos);
        mMetering.observe(fleetMillis, tenure.lease().token());
        if (tenure.lease().mayAct(nowNanos, mClock.wallMillis())) {
            mMetering.run(mState, tenure, fleetMillis, nowNanos);
        }
    }

    private void autoscale(
            long nowNanos, Map<ServiceId, AutoscaleSpec> specs, Collection<Registration> servers) {
        DutyTenure tenure = mTenures.get(Duty.AUTOSCALING);
        if (tenure == null || tenure.lease().token() == 0) {
            return;
        }
        mAutoscaling.observe(nowNanos, tenure.lease().token(), servers, specs);
        if (tenure.lease().mayAct(nowNanos, mClock.wallMillis())) {
            mAutoscaling.run(tenure, nowNanos);
        }
    }

    /** Returns the highest token under which this process holds a duty, 0 if it holds none. */
    synchronized long highestToken() {
        return mTenures.values().stream().mapToLong(each -> each.lease().token()).max().orElse(0);
    }

    /** Returns the servers of the last accepted orders, by service and zone. */
    synchronized Map<String, Number> acceptedOrders() {
        return mAutoscaling.acceptedOrders();
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
