package org.hemlockrack.daemon.controller;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.duties.DemandCollector;
import org.hemlockrack.duties.ReplicaKey;
import org.hemlockrack.duties.ReplicaOrder;
import org.hemlockrack.duties.ReplicaPlanner;
import org.hemlockrack.duties.ZoneDemand;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.AutoscaleSpec;
import org.hemlockrack.wire.LoadData;
import org.hemlockrack.wire.SyncRequest;
import org.jspecify.annotations.Nullable;

/** Orders servers for autoscaled services. Guarded by {@link DutyService}. */
final class AutoscalingDuty {
    private static final long PLAN_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final DutyCaller mCaller;
    private final DutyCalls mCalls;
    private final DecisionLog mLog;
    private final Deque<ReplicaOrder> mOrders = new ArrayDeque<>();
    private DemandCollector mCollector;
    private ReplicaPlanner mPlanner = ReplicaPlanner.create();
    private Map<ReplicaKey, ZoneDemand> mDemand = Map.of();
    private final Map<ReplicaKey, Integer> mAccepted = new HashMap<>();
    private long mToken;
    private long mPlannedNanos;

    AutoscalingDuty(DutyCaller caller, DutyCalls calls, DecisionLog log, long nowNanos) {
        mCaller = caller;
        mCalls = calls;
        mLog = log;
        mCollector = DemandCollector.create(nowNanos);
        mPlannedNanos = nowNanos;
    }

    /** Records a report of a gateway. */
    void record(long nowNanos, SyncRequest request) {
        if (!request.isSetZone() || !request.isSetRefused()) {
            return;
        }
        Map<String, Integer> inFlight = new HashMap<>();
        for (LoadData load : request.getInFlight()) {
            inFlight.put(load.getServer(), load.getRequests());
        }
        mCollector.recordReport(
                nowNanos,
                request.getSender(),
                ZoneId.of(request.getZone()),
                inFlight,
                request.getRefused());
    }

    /**
     * Plans the number of servers. A holder with a new token starts from the servers that run: what
     * an earlier holder observed may be outdated.
     *
     * @param nowNanos monotonic time
     * @param token token of this holder
     * @param servers the servers that run
     * @param specs the services whose number of servers may change
     */
    void observe(
            long nowNanos,
            long token,
            Collection<Registration> servers,
            Map<ServiceId, AutoscaleSpec> specs) {
        if (mToken != token) {
            mToken = token;
            mPlanner = ReplicaPlanner.create();
            mCollector = DemandCollector.create(nowNanos);
            mOrders.clear();
            mAccepted.clear();
            mPlannedNanos = nowNanos;
        }
        if (nowNanos - mPlannedNanos < PLAN_PERIOD_NANOS) {
            return;
        }
        mPlannedNanos = nowNanos;
        mDemand = mCollector.read(nowNanos, servers);
        mOrders.clear();
        mOrders.addAll(mPlanner.plan(nowNanos, mDemand, specs));
    }

    /** Makes the next call. Called only while the lease allows to act. */
    void run(DutyTenure tenure, long nowNanos) {
        if (mOrders.isEmpty() || !mCaller.isFree(nowNanos)) {
            return;
        }
        ReplicaOrder order = mOrders.poll();
        ReplicaPlanner planner = mPlanner;
        ZoneDemand demand = mDemand.get(order.key());
        planner.recordSent(order);
        mCaller.call(
                tenure,
                mCalls.setReplicas(tenure.holder(), order),
                answer -> {
                    if (answer == DutyAnswer.ACCEPTED) {
                        planner.recordAccepted(nowNanos, order);
                        mAccepted.put(order.key(), order.servers());
                    }
                    log(order, demand, answer);
                });
    }

    /** Returns the servers of the last accepted orders under this token. */
    Map<String, Number> acceptedOrders() {
        Map<String, Number> orders = new HashMap<>();
        mAccepted.forEach((key, servers) -> orders.put(key.service() + "/" + key.zone(), servers));
        return orders;
    }

    private void log(ReplicaOrder order, @Nullable ZoneDemand demand, DutyAnswer answer) {
        DecisionLog.Line line =
                mLog.instanceEvent("replicas_ordered")
                        .put("service", order.key().service().value())
                        .put("zone", order.key().zone().value())
                        .put("servers", order.servers())
                        .put("token", mToken)
                        .put("answer", answer.name());
        if (demand != null) {
            line.put("running_servers", demand.servers())
                    .put("requests", Math.round(demand.running()))
                    .put("refused_per_s", Math.round(demand.refusedPerSecond()));
        }
        line.write();
    }
}
