package org.hemlockrack.daemon.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.dispatch.AttemptOutcome;
import org.hemlockrack.dispatch.PrefixUseLog;
import org.hemlockrack.dispatch.SelectionCriteria;
import org.hemlockrack.dispatch.ServerChoice;
import org.hemlockrack.dispatch.ServerPool;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.registry.ServerRegistry;
import org.hemlockrack.retry.RetryBudget;
import org.hemlockrack.retry.RetryBudgetSettings;
import org.hemlockrack.routing.Route;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.wire.LoadData;
import org.hemlockrack.wire.PrefixUseData;
import org.hemlockrack.wire.ServerData;
import org.hemlockrack.wire.VersionCountsData;
import org.jspecify.annotations.Nullable;

/** The pool, registry, budgets and counts of a gateway behind one lock. Safe for any thread. */
final class SharedPool {
    /** Part of the fleet's retry allowance that is used; gateways get uneven shares of traffic. */
    private static final double BUDGET_SHARE = 0.6;

    /** Shortest silence after which a server is given up; several times a usual answer. */
    private static final double MIN_SILENCE_MILLIS = 800;

    /**
     * Multiple of the usual time to the first byte, and of the longest pause, that is tolerated.
     */
    private static final double SILENCE_FACTOR = 4;

    /** Multiple of the latency objective that is tolerated. */
    private static final double TARGET_FACTOR = 2;

    /** Weight of one answer in the usual time to the first byte. */
    private static final double LATENCY_WEIGHT = 0.05;

    private static final double MICROS_PER_MILLI = 1_000;

    private final Map<String, Double> mFirstByte = new HashMap<>();
    private final ServerRegistry mRegistry = ServerRegistry.create();
    private final ServerPool mPool;
    private final RetryLimits mLimits;
    private final Map<ServiceId, RetryBudget> mBudgets = new HashMap<>();
    private final Map<VersionKey, VersionCountsData> mCounts = new HashMap<>();
    private RoutingOverrides mFacts = RoutingOverrides.NONE;
    private @Nullable RouteTable mTable;
    private int mBudgetGateways;

    private record VersionKey(String service, String softwareVersion) {}

    private SharedPool(ServerPool pool, RetryLimits limits) {
        mPool = pool;
        mLimits = limits;
    }

    static SharedPool create(ServerPool pool, RetryLimits limits) {
        return new SharedPool(pool, limits);
    }

    synchronized ServerChoice choose(long nowNanos, SelectionCriteria demand) {
        return mPool.choose(nowNanos, demand);
    }

    synchronized void finished(long nowNanos, BackendId id, AttemptOutcome outcome) {
        mPool.recordOutcome(nowNanos, id, outcome);
    }

    synchronized void onRequest(long nowNanos, ServiceId service) {
        budget(service).onRequest(nowNanos);
    }

    synchronized boolean tryRetry(long nowNanos, ServiceId service) {
        return budget(service).tryTake(nowNanos);
    }

    private RetryBudget budget(ServiceId service) {
        if (mBudgetGateways != mPool.gatewayCount()) {
            mBudgets.clear();
            mBudgetGateways = mPool.gatewayCount();
        }
        return mBudgets.computeIfAbsent(service, key -> RetryBudget.create(budgetSettings()));
    }

    private RetryBudgetSettings budgetSettings() {
        double slack = mLimits.slack() * BUDGET_SHARE / mBudgetGateways;
        double perSecond = slack / 2 / mLimits.windowSeconds();
        return new RetryBudgetSettings(mLimits.ratio() * BUDGET_SHARE, perSecond, slack / 2);
    }

    synchronized void answered(
            ServiceId service, String softwareVersion, boolean success, long firstByteMicros) {
        VersionCountsData counts =
                mCounts.computeIfAbsent(
                        new VersionKey(service.value(), softwareVersion),
                        key ->
                                new VersionCountsData(
                                        key.service(), key.softwareVersion(), 0, 0, 0));
        if (success) {
            counts.setSucceeded(counts.getSucceeded() + 1);
            counts.setFirstByteMicros(counts.getFirstByteMicros() + firstByteMicros);
        } else {
            counts.setFailed(counts.getFailed() + 1);
        }
    }

    synchronized List<VersionCountsData> counts() {
        return mCounts.values().stream().map(VersionCountsData::new).toList();
    }

    /** Returns how long a server may be silent before another one is asked. */
    synchronized long silenceNanos(Route route) {
        double usualMicros = mFirstByte.getOrDefault(route.name(), 0.0);
        double patientMillis =
                Math.max(
                        MIN_SILENCE_MILLIS,
                        Math.max(
                                SILENCE_FACTOR * usualMicros / MICROS_PER_MILLI,
                                Math.max(
                                        TARGET_FACTOR * route.targetLatencyMillis(),
                                        SILENCE_FACTOR * route.targetGapMillis())));
        return TimeUnit.MILLISECONDS.toNanos((long) patientMillis);
    }

    synchronized void firstByte(Route route, long micros) {
        mFirstByte.merge(
                route.name(), (double) micros, (old, now) -> old + LATENCY_WEIGHT * (now - old));
    }

    synchronized Map<BackendId, Integer> ownLoad() {
        return mPool.ownLoad();
    }

    synchronized void merge(long nowNanos, List<ServerData> servers) {
        mRegistry.mergeAll(nowNanos, servers);
        refresh(nowNanos);
    }

    synchronized void adopt(long nowNanos, GatewayView view) {
        mFacts = view.overrides();
        mTable = view.table();
        refresh(nowNanos);
    }

    synchronized List<RegisteredServer> expire(long nowNanos) {
        List<RegisteredServer> dropped = mRegistry.removeExpired(nowNanos);
        if (!dropped.isEmpty()) {
            refresh(nowNanos);
        }
        return dropped;
    }

    private void refresh(long nowNanos) {
        mPool.update(nowNanos, mRegistry.servers(), mFacts, mTable);
    }

    synchronized void fleetLoad(
            List<LoadData> fleet, Map<BackendId, Integer> ownAtReport, int gateways) {
        Map<BackendId, Integer> loads = new HashMap<>();
        for (LoadData each : fleet) {
            loads.put(BackendId.of(each.getServer()), each.getRequests());
        }
        mPool.updateFleetLoad(loads, ownAtReport, gateways);
    }

    synchronized void learn(long nowNanos, List<PrefixUseData> uses) {
        mPool.recordRemoteUses(nowNanos, uses);
    }

    synchronized PrefixUseLog.Page usesSince(long position, int most) {
        return mPool.localUses().readFrom(position, most);
    }

    synchronized int suspended() {
        return mPool.suspendedCount(System.nanoTime());
    }

    synchronized boolean isEmpty() {
        return mPool.isEmpty();
    }
}
