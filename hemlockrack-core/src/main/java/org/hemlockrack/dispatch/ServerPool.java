package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.hemlockrack.capacity.CapacityObservations;
import org.hemlockrack.capacity.LearnedCapacity;
import org.hemlockrack.capacity.ReportedLoad;
import org.hemlockrack.capacity.SchedulingMode;
import org.hemlockrack.capacity.ServerCapacity;
import org.hemlockrack.capacity.ServiceDelays;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.routing.ServiceSpec;
import org.hemlockrack.wire.CapacityData;
import org.hemlockrack.wire.PrefixUseData;
import org.jspecify.annotations.Nullable;

/**
 * The backend servers that one gateway can send requests to, with the load that all gateways
 * together put on them. Chooses a server for each request. Not thread-safe; time is monotonic and
 * passed in.
 */
public final class ServerPool {
    /** Number of gateways assumed until a controller has reported it. */
    private static final int INITIAL_GATEWAYS = 16;

    private static final double PERCENT = 100;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ZoneId mHomeZone;
    private final ServerDecision mDecision;
    private final ServerCapacity.Factory mCapacities;
    private final CapacityObservations mObservations = CapacityObservations.ofGateway();
    private final Map<ServiceId, ServiceDelays> mDelays = new HashMap<>();
    private final ServiceDelays mNoDelays = ServiceDelays.create();
    private final RandomGenerator mRandom;
    private final SchedulingMode mMode;
    private final Set<ServiceId> mSpeedReported = new HashSet<>();
    private final Map<BackendId, ServerSlot> mSlots = new HashMap<>();
    private final ZoneReachability mZones = ZoneReachability.create();
    private final Map<ServiceId, ArrivalRate> mArrivals = new HashMap<>();
    private final SumInterval mSumInterval = SumInterval.create();
    private final LoadAccuracy mLoadAccuracy = LoadAccuracy.create();
    private final PrefixAffinity mAffinity = new PrefixAffinity();
    private Map<ServiceId, List<ServerSlot>> mByService = new HashMap<>();
    private RoutingOverrides mOverrides = RoutingOverrides.NONE;
    private Map<ServiceId, ServiceSpec> mSpecs = Map.of();
    private int mGatewayCount = INITIAL_GATEWAYS;

    private ServerPool(
            ZoneId homeZone,
            RandomGenerator random,
            SchedulingMode mode,
            ServerCapacity.Factory capacities) {
        mMode = mode;
        mCapacities = capacities;
        mHomeZone = homeZone;
        mDecision = ServerDecision.create(homeZone, random);
        mRandom = random;
    }

    /**
     * Creates an empty pool that learns no capacity.
     *
     * @param homeZone availability zone of the gateway
     * @param random source of randomness for ties and for the phase of cold servers
     * @return the pool
     */
    public static ServerPool create(ZoneId homeZone, RandomGenerator random) {
        return create(homeZone, random, SchedulingMode.OFF);
    }

    /**
     * Creates an empty pool.
     *
     * @param homeZone availability zone of the gateway
     * @param random source of randomness for ties and for the phase of cold servers
     * @param mode for which services the capacity of the servers is learned
     * @return the pool
     */
    public static ServerPool create(ZoneId homeZone, RandomGenerator random, SchedulingMode mode) {
        return create(homeZone, random, mode, (server, slots) -> LearnedCapacity.of(slots));
    }

    /**
     * Creates an empty pool.
     *
     * @param homeZone availability zone of the gateway
     * @param random source of randomness for ties and for the phase of cold servers
     * @param mode for which services the capacity of the servers is learned
     * @param capacities creates the capacity of each server
     * @return the pool
     */
    public static ServerPool create(
            ZoneId homeZone,
            RandomGenerator random,
            SchedulingMode mode,
            ServerCapacity.Factory capacities) {
        return new ServerPool(homeZone, random, mode, capacities);
    }

    /**
     * Replaces the servers, routing overrides and route table. Load and health of servers that stay
     * and have not restarted are kept.
     *
     * @param nowNanos monotonic time
     * @param servers all registered servers
     * @param overrides evacuated zones, traffic moves and departures
     * @param table the route table, or null if none has been received
     */
    public void update(
            long nowNanos,
            Collection<RegisteredServer> servers,
            RoutingOverrides overrides,
            @Nullable RouteTable table) {
        mOverrides = overrides;
        mSpecs = table == null ? Map.of() : table.services();
        Set<BackendId> present = new HashSet<>();
        Map<String, RegisteredServer> byAddress = new HashMap<>();
        for (RegisteredServer server : servers) {
            byAddress.merge(server.registration().address(), server, ServerPool::newer);
        }
        for (RegisteredServer server : byAddress.values()) {
            Registration registration = server.registration();
            present.add(registration.id());
            ServerSlot slot = mSlots.get(registration.id());
            if (slot == null || slot.registration().startMillis() != registration.startMillis()) {
                mSlots.put(registration.id(), newSlot(nowNanos, server));
            } else {
                slot.setServer(server);
            }
        }
        if (mSlots.keySet().retainAll(present)) {
            mAffinity.retainServers(present);
        }
        mByService = new HashMap<>();
        for (ServerSlot slot : mSlots.values()) {
            ServiceId service = slot.registration().service();
            mByService.computeIfAbsent(service, key -> new ArrayList<>()).add(slot);
        }
    }

    private ServerSlot newSlot(long nowNanos, RegisteredServer server) {
        Registration registration = server.registration();
        ServerCapacity capacity =
                mCapacities.create(registration.id().value(), registration.slots());
        return new ServerSlot(server, nowNanos, capacity, mRandom.nextDouble());
    }

    /**
     * Of two servers with one address, returns the one that started later, or the one with the
     * later heartbeat if both state the same start.
     */
    private static RegisteredServer newer(RegisteredServer a, RegisteredServer b) {
        long startA = a.registration().startMillis();
        long startB = b.registration().startMillis();
        if (startA != startB) {
            return startA > startB ? a : b;
        }
        return a.receivedNanos() - b.receivedNanos() > 0 ? a : b;
    }

    /**
     * Updates the load that all gateways together have reported. Where a server has reported its
     * own load a moment ago, that is kept.
     *
     * @param nowNanos monotonic time
     * @param sum the sum of the loads
     */
    public void updateFleetLoad(long nowNanos, LoadSum sum) {
        mGatewayCount = Math.max(1, sum.gateways());
        mSumInterval.recordSum(sum);
        mSlots.forEach((id, slot) -> slot.mLoad.recordFleet(nowNanos, id, sum));
    }

    /**
     * Returns the moving average of the difference between the estimated load of a server and what
     * it reports itself.
     */
    public double loadErrorRequests() {
        return mLoadAccuracy.meanErrorRequests();
    }

    /** Returns the number of gateways that share the limits of a server. */
    public int gatewayCount() {
        return mGatewayCount;
    }

    /** Returns the requests that this gateway has in progress at each server. */
    public Map<BackendId, Integer> ownLoad() {
        Map<BackendId, Integer> own = new HashMap<>();
        mSlots.forEach(
                (id, slot) -> {
                    if (slot.mLoad.ownRequests() > 0) {
                        own.put(id, slot.mLoad.ownRequests());
                    }
                });
        return own;
    }

    /**
     * Returns the number of servers that are suspended after failures.
     *
     * @param nowNanos monotonic time
     */
    public int suspendedCount(long nowNanos) {
        return (int)
                mSlots.values().stream().filter(slot -> slot.mHealth.isSuspended(nowNanos)).count();
    }

    /**
     * Returns the number of availability zones that are suspended because their servers did not
     * answer.
     *
     * @param nowNanos monotonic time
     */
    public int suspendedZoneCount(long nowNanos) {
        return mZones.suspendedCount(nowNanos);
    }

    /**
     * Returns the suspensions of availability zones that have begun or ended since the last call.
     *
     * @param nowNanos monotonic time
     */
    public List<ZoneSuspension> takeZoneSuspensions(long nowNanos) {
        return mZones.takeChanges(nowNanos);
    }

    /** Returns whether the pool holds any server. */
    public boolean isEmpty() {
        return mSlots.isEmpty();
    }

    /**
     * Chooses a server and counts the request as in progress there.
     *
     * @param nowNanos monotonic time
     * @param criteria criteria of the request
     * @return the choice; without a server if none is eligible or all are at their limits
     */
    public ServerChoice choose(long nowNanos, SelectionCriteria criteria) {
        ServerDecision.Result result =
                mDecision.decide(stateOf(nowNanos, criteria), criteria, ChoiceObserver.NONE);
        ServiceSpec spec = mSpecs.get(criteria.service());
        for (ServerSlot each : result.paced()) {
            each.mColdPacing.advance(
                    nowNanos, UsableServers.coldRequestsPerSecond(spec, mGatewayCount));
        }
        ServerChoice choice = result.choice();
        if (choice.server() == null) {
            return choice;
        }
        BackendId chosen = choice.server().id();
        ServerSlot slot = mSlots.get(chosen);
        double meanRequests = LoadBound.meanLoad(mByService.get(criteria.service()));
        LoadBasis basis =
                slot.mLoad.basis(nowNanos, meanRequests, LoadBound.requests(meanRequests));
        slot.recordDispatch(nowNanos);
        mArrivals
                .computeIfAbsent(criteria.service(), key -> ArrivalRate.start(nowNanos))
                .recordArrival(nowNanos);
        if (criteria.affinityKey() != 0) {
            mAffinity.recordLocalUse(nowNanos, criteria.affinityKey(), chosen);
        }
        return choice.withBasis(basis);
    }

    /**
     * Returns which server {@link #choose} would choose, and why not the others. Changes nothing:
     * the next choices are the same as without this call.
     *
     * @param nowNanos monotonic time
     * @param criteria criteria of the request
     */
    public ChoiceExplanation explain(long nowNanos, SelectionCriteria criteria) {
        return ChoiceExplanation.of(mHomeZone, stateOf(nowNanos, criteria), criteria);
    }

    private ServerDecision.State stateOf(long nowNanos, SelectionCriteria criteria) {
        ServiceId service = criteria.service();
        return new ServerDecision.State(
                nowNanos,
                mByService.getOrDefault(service, List.of()),
                mOverrides,
                mZones,
                mSpecs.get(service),
                isManaged(service),
                mGatewayCount,
                unreportedRequests(nowNanos, service),
                mAffinity,
                mDelays.getOrDefault(service, mNoDelays));
    }

    private double unreportedRequests(long nowNanos, ServiceId service) {
        ArrivalRate arrivals = mArrivals.get(service);
        double intervalSeconds = mSumInterval.nanos() / NANOS_PER_SECOND;
        return arrivals == null
                ? 0
                : mGatewayCount * arrivals.perSecond(nowNanos) * intervalSeconds;
    }

    /**
     * Records prefix uses that other gateways reported.
     *
     * @param nowNanos monotonic time
     * @param uses the uses
     */
    public void recordRemoteUses(long nowNanos, List<PrefixUseData> uses) {
        mAffinity.recordRemoteUses(nowNanos, uses);
    }

    /** Returns the log of the prefix uses of this gateway. */
    public PagedLog<PrefixUseData> localUses() {
        return mAffinity.localUses();
    }

    /**
     * Records that a server has said in an answer that it leaves. A restarted server has not.
     *
     * @param server the incarnation
     */
    public void recordLeaving(Registration server) {
        ServerSlot slot = findSlot(server);
        if (slot != null) {
            slot.mStatement.recordLeaving();
        }
    }

    /**
     * Records that a server has asked for no requests for a time.
     *
     * @param nowNanos monotonic time
     * @param server the incarnation
     * @param restNanos the time
     */
    public void recordRest(long nowNanos, Registration server, long restNanos) {
        ServerSlot slot = findSlot(server);
        if (slot != null) {
            slot.mStatement.recordRest(nowNanos, restNanos);
        }
    }

    /**
     * Returns whether queueing and learned capacity apply to a service. Once a server has reported
     * the speed of its machine, this holds for its service while the process runs.
     *
     * @param service the service
     */
    public boolean isManaged(ServiceId service) {
        return mMode.manages(mSpeedReported.contains(service));
    }

    /**
     * Records the load that a server has reported.
     *
     * @param nowNanos monotonic time
     * @param server the incarnation
     * @param load the load
     */
    public void recordReport(long nowNanos, Registration server, ReportedLoad load) {
        if (load.hasWorkPercent()) {
            mSpeedReported.add(server.service());
        }
        ServerSlot slot = findSlot(server);
        if (slot != null && load.hasRequests()) {
            mLoadAccuracy.recordReport(slot.load(), load.requests());
        }
        if (slot == null || !isManaged(server.service())) {
            return;
        }
        if (load.hasRequests()) {
            slot.mLoad.recordServerReport(nowNanos, load.requests());
        }
        slot.mCapacity.recordReport(nowNanos, load);
        if (load.hasWorkPercent()) {
            mObservations.recordWork(
                    nowNanos, server.id(), server.startMillis(), load.workPercent());
        }
    }

    /**
     * Records a time that a server took.
     *
     * @param nowNanos monotonic time
     * @param server the incarnation
     * @param route name of the request's route
     * @param kind what the time is of
     * @param nanos the time
     */
    public void recordDelay(
            long nowNanos, Registration server, String route, DelayKind kind, long nanos) {
        ServerSlot slot = findSlot(server);
        if (slot == null || !isManaged(server.service())) {
            return;
        }
        double ratio = delays(server.service()).record(nowNanos, kind.workKind(route), nanos);
        slot.mCapacity.recordDelay(nowNanos, ratio, slot.load());
        mObservations.recordDelay(nowNanos, server.id(), server.startMillis(), ratio);
    }

    private ServiceDelays delays(ServiceId service) {
        return mDelays.computeIfAbsent(service, key -> ServiceDelays.create());
    }

    /**
     * Returns what this gateway has seen of the servers' speed.
     *
     * @param nowNanos monotonic time
     * @param position end of the last page
     * @param maxEntries largest number of entries
     */
    public PagedLog.Page<CapacityData> observationsSince(
            long nowNanos, long position, int maxEntries) {
        return mObservations.readFrom(nowNanos, position, maxEntries);
    }

    /**
     * Adopts what all gateways together have seen of the servers' speed.
     *
     * @param nowNanos monotonic time
     * @param observations the observations
     */
    public void adoptObservations(long nowNanos, List<CapacityData> observations) {
        for (CapacityData each : observations) {
            ServerSlot slot = mSlots.get(BackendId.of(each.getServer()));
            if (slot == null || slot.registration().startMillis() != each.getStartMillis()) {
                continue;
            }
            ServiceId service = slot.registration().service();
            ReportedLoad load = ReportedLoad.ofWork(each.getWorkPercent());
            if (load.hasWorkPercent()) {
                mSpeedReported.add(service);
            }
            if (!isManaged(service)) {
                continue;
            }
            slot.mCapacity.recordReport(nowNanos - CapacityObservations.ageNanos(each), load);
            if (each.getSamples() > 0 && each.getDelayPercent() > 0) {
                double ratio = each.getDelayPercent() / PERCENT;
                slot.mCapacity.recordDelay(nowNanos, ratio, slot.load());
            }
        }
    }

    /**
     * Returns the number of servers of managed services whose learned limit is below their slots.
     *
     * @param nowNanos monotonic time
     */
    public int limitedCount(long nowNanos) {
        return (int)
                mSlots.values().stream()
                        .filter(slot -> isManaged(slot.registration().service()))
                        .filter(slot -> slot.mCapacity.limit(nowNanos) < slot.slots())
                        .count();
    }

    /**
     * Returns whether a server has said nothing against new requests.
     *
     * @param nowNanos monotonic time
     * @param server the incarnation
     */
    public boolean accepts(long nowNanos, Registration server) {
        ServerSlot slot = findSlot(server);
        return slot == null
                || !slot.mStatement.isLeaving()
                        && slot.mStatement.remainingRestNanos(nowNanos) == 0;
    }

    private @Nullable ServerSlot findSlot(Registration server) {
        ServerSlot slot = mSlots.get(server.id());
        boolean sameIncarnation =
                slot != null && slot.registration().startMillis() == server.startMillis();
        return sameIncarnation ? slot : null;
    }

    /**
     * Records the end of an attempt at a chosen server.
     *
     * @param nowNanos monotonic time
     * @param id the server
     * @param outcome how the attempt ended
     */
    public void recordOutcome(long nowNanos, BackendId id, AttemptOutcome outcome) {
        ServerSlot slot = mSlots.get(id);
        if (slot == null) {
            return;
        }
        slot.recordOutcome(nowNanos, outcome);
        mZones.recordOutcome(nowNanos, slot.registration(), outcome);
        if (outcome == AttemptOutcome.REJECTED) {
            slot.mCapacity.recordRejection(nowNanos, slot.load());
        }
    }
}
