package org.hemlockrack.daemon.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.capacity.ReportedLoad;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.dispatch.AttemptOutcome;
import org.hemlockrack.dispatch.ChoiceExplanation;
import org.hemlockrack.dispatch.DelayKind;
import org.hemlockrack.dispatch.DurationEstimate;
import org.hemlockrack.dispatch.LoadSum;
import org.hemlockrack.dispatch.SelectionCriteria;
import org.hemlockrack.dispatch.ServerChoice;
import org.hemlockrack.dispatch.ServerPool;
import org.hemlockrack.dispatch.ZoneSuspension;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.registry.ServerRegistry;
import org.hemlockrack.routing.Route;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.wire.CapacityData;
import org.hemlockrack.wire.PrefixUseData;
import org.hemlockrack.wire.ServerData;
import org.hemlockrack.wire.VersionCountsData;
import org.jspecify.annotations.Nullable;

/**
 * State that the exchanges of a gateway share: server pool, server registry and answer counts.
 * Thread-safe; one lock guards everything.
 */
final class GatewayState {
    /** Shortest silence timeout; several times the duration of a usual answer. */
    private static final double MIN_SILENCE_TIMEOUT_MILLIS = 800;

    /**
     * Multiple of the mean time to the first byte, and of the route's target gap, that is
     * tolerated.
     */
    private static final double SILENCE_FACTOR = 4;

    /** Multiple of the route's target latency that is tolerated. */
    private static final double TARGET_LATENCY_FACTOR = 2;

    /** Weight of one answer in the moving average of the time to the first byte. */
    private static final double LATENCY_WEIGHT = 0.05;

    private static final double MICROS_PER_MILLI = 1_000;

    private final Map<String, Double> mMeanFirstByteMicros = new HashMap<>();
    private final Map<String, DurationEstimate> mAnswerDurations = new HashMap<>();
    private final ServerRegistry mRegistry = ServerRegistry.create();
    private final ServerPool mPool;
    private final Map<VersionKey, VersionCountsData> mAnswerCounts = new HashMap<>();
    private RoutingOverrides mOverrides = RoutingOverrides.NONE;
    private @Nullable RouteTable mTable;

    private record VersionKey(String service, String softwareVersion) {}

    private GatewayState(ServerPool pool) {
        mPool = pool;
    }

    static GatewayState create(ServerPool pool) {
        return new GatewayState(pool);
    }

    synchronized ServerChoice choose(long nowNanos, SelectionCriteria criteria) {
        return mPool.choose(nowNanos, criteria);
    }

    /** Returns which server would be chosen, and why not the others. Changes nothing. */
    synchronized ChoiceExplanation explain(long nowNanos, SelectionCriteria criteria) {
        return mPool.explain(nowNanos, criteria);
    }

    synchronized void onAttemptEnded(long nowNanos, BackendId id, AttemptOutcome outcome) {
        mPool.recordOutcome(nowNanos, id, outcome);
    }

    /** Returns whether queueing and learned capacity apply to a service. */
    synchronized boolean isManaged(ServiceId service) {
        return mPool.isManaged(service);
    }

    /** Records the load that a server has reported. */
    synchronized void recordReport(long nowNanos, Registration server, ReportedLoad load) {
        mPool.recordReport(nowNanos, server, load);
    }

    /** Records that a server has said that it leaves. */
    synchronized void recordLeaving(Registration server) {
        mPool.recordLeaving(server);
    }

    /** Records that a server wants no requests for a time. */
    synchronized void recordRest(long nowNanos, Registration server, long restMillis) {
        mPool.recordRest(nowNanos, server, TimeUnit.MILLISECONDS.toNanos(restMillis));
    }

    /** Returns whether a server has said nothing against new requests. */
    synchronized boolean accepts(long nowNanos, Registration server) {
        return mPool.accepts(nowNanos, server);
    }

    synchronized void countAnswer(
            ServiceId service, String softwareVersion, boolean success, long firstByteMicros) {
        VersionCountsData counts =
                mAnswerCounts.computeIfAbsent(
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

    synchronized List<VersionCountsData> answerCounts() {
        return mAnswerCounts.values().stream().map(VersionCountsData::new).toList();
    }

    /** Returns how long a server may send nothing before the request is tried at another one. */
    synchronized long silenceTimeoutNanos(Route route) {
        double meanMicros = mMeanFirstByteMicros.getOrDefault(route.name(), 0.0);
        double timeoutMillis =
                Math.max(
                        MIN_SILENCE_TIMEOUT_MILLIS,
                        Math.max(
                                SILENCE_FACTOR * meanMicros / MICROS_PER_MILLI,
                                Math.max(
                                        TARGET_LATENCY_FACTOR * route.targetLatencyMillis(),
                                        SILENCE_FACTOR * route.targetGapMillis())));
        return TimeUnit.MILLISECONDS.toNanos((long) timeoutMillis);
    }

    synchronized void recordFirstByte(Route route, long micros) {
        mMeanFirstByteMicros.merge(
                route.name(),
                (double) micros,
                (mean, sample) -> mean + LATENCY_WEIGHT * (sample - mean));
    }

    /** Records how long a request took from its arrival to the end of its answer. */
    synchronized void recordWholeAnswer(Route route, long nanos) {
        mAnswerDurations
                .computeIfAbsent(route.name(), name -> DurationEstimate.create())
                .record(nanos);
    }

    /** Returns a time that few answers on a route exceed, or the default if none is known. */
    synchronized long expectedNanos(Route route, long defaultNanos) {
        DurationEstimate estimate = mAnswerDurations.get(route.name());
        return estimate == null ? defaultNanos : estimate.upperNanos(defaultNanos);
    }

    synchronized Map<BackendId, Integer> ownLoad() {
        return mPool.ownLoad();
    }

    /** Adopts the entries of a controller. Returns the number of entries that are not valid. */
    synchronized int mergeServers(long nowNanos, List<ServerData> servers) {
        int leftOut = mRegistry.mergeAll(nowNanos, servers);
        updatePool(nowNanos);
        return leftOut;
    }

    synchronized void adoptView(long nowNanos, GatewayView view) {
        mOverrides = view.overrides();
        mTable = view.table();
        updatePool(nowNanos);
    }

    synchronized List<RegisteredServer> expireServers(long nowNanos) {
        List<RegisteredServer> expired = mRegistry.removeExpired(nowNanos);
        if (!expired.isEmpty()) {
            updatePool(nowNanos);
        }
        return expired;
    }

    private void updatePool(long nowNanos) {
        mPool.update(nowNanos, mRegistry.servers(), mOverrides, mTable);
    }

    synchronized void updateFleetLoad(long nowNanos, LoadSum sum) {
        mPool.updateFleetLoad(nowNanos, sum);
    }

    /** Returns how far the estimated load of servers is from what they report, in requests. */
    synchronized double loadErrorRequests() {
        return mPool.loadErrorRequests();
    }

    /** Records how long a server took for something. */
    synchronized void recordDelay(
            long nowNanos, Registration server, Route route, DelayKind kind, long nanos) {
        mPool.recordDelay(nowNanos, server, route.name(), kind, nanos);
    }

    /** Returns what this gateway has seen of the servers' speed. */
    synchronized PagedLog.Page<CapacityData> observationsSince(long position, int maxEntries) {
        return mPool.observationsSince(System.nanoTime(), position, maxEntries);
    }

    /** Adopts what all gateways together have seen of the servers' speed. */
    synchronized void adoptObservations(List<CapacityData> observations) {
        mPool.adoptObservations(System.nanoTime(), observations);
    }

    /** Returns the number of servers whose learned limit is below their slots. */
    synchronized int limitedServers() {
        return mPool.limitedCount(System.nanoTime());
    }

    synchronized void learnPrefixUses(long nowNanos, List<PrefixUseData> uses) {
        mPool.recordRemoteUses(nowNanos, uses);
    }

    synchronized PagedLog.Page<PrefixUseData> prefixUsesSince(long position, int maxUses) {
        return mPool.localUses().readFrom(position, maxUses);
    }

    synchronized int suspendedServers() {
        return mPool.suspendedCount(System.nanoTime());
    }

    synchronized int suspendedZones() {
        return mPool.suspendedZoneCount(System.nanoTime());
    }

    /** Returns the suspensions of zones that have begun or ended since the last call. */
    synchronized List<ZoneSuspension> takeZoneSuspensions() {
        return mPool.takeZoneSuspensions(System.nanoTime());
    }

    synchronized boolean isEmpty() {
        return mPool.isEmpty();
    }
}
