package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.hemlockrack.capacity.ReportedLoad;
import org.hemlockrack.capacity.SchedulingMode;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.routing.ServiceSpec;
import org.hemlockrack.wire.PrefixUseData;
import org.jspecify.annotations.Nullable;

/**
 * The backend servers that one gateway can send requests to, with the load that all gateways
 * together put on them. Chooses a server for each request. Not thread-safe; time is monotonic and
 * passed in.
 */
public final class ServerPool {
    /** Prefix uses retained until they are reported to a controller. */
    private static final int MAX_LOGGED_USES = 2_048;

    /** Multiple of the mean load up to which a request stays at its first-ranked server. */
    private static final double AFFINITY_LOAD_FACTOR = 1.6;

    /** Requests added to that bound, so that it does not apply at low load. */
    private static final double AFFINITY_LOAD_SLACK = 2.5;

    /**
     * Replaces {@link #AFFINITY_LOAD_FACTOR} when all usable servers are above that bound; then it
     * is a multiple of the mean load of the usable servers only.
     */
    private static final double SCARCE_LOAD_FACTOR = 1.25;

    /** Requests added to the bound of {@link #SCARCE_LOAD_FACTOR}. */
    private static final double SCARCE_LOAD_SLACK = 1;

    /**
     * A server is avoided if its failure rate exceeds that of the best server by more than this.
     */
    private static final double FAILURE_MARGIN = 0.2;

    /** Maximum requests per slot, queued ones included, at a server that runs no model engine. */
    private static final int MAX_REQUESTS_PER_PLAIN_SLOT = 4;

    /** Load, as a fraction of the slots, added for a server in another availability zone. */
    private static final double ZONE_PENALTY = 0.5;

    /** Number of gateways assumed until a controller has reported it. */
    private static final int INITIAL_GATEWAYS = 16;

    /** Share of the cold limit that is used; the rest covers cold starts reported late. */
    private static final double COLD_LIMIT_SHARE = 0.8;

    private final ZoneId mHomeZone;
    private final RandomGenerator mRandom;
    private final SchedulingMode mMode;
    private final Set<ServiceId> mSpeedReported = new HashSet<>();
    private final Map<BackendId, ServerSlot> mSlots = new HashMap<>();
    private final PrefixDirectory mPrefixes = PrefixDirectory.create();
    private final PagedLog<PrefixUseData> mUseLog = PagedLog.of(MAX_LOGGED_USES);
    private Map<ServiceId, List<ServerSlot>> mByService = new HashMap<>();
    private RoutingOverrides mOverrides = RoutingOverrides.NONE;
    private Map<ServiceId, ServiceSpec> mSpecs = Map.of();
    private int mGatewayCount = INITIAL_GATEWAYS;

    private ServerPool(ZoneId homeZone, RandomGenerator random, SchedulingMode mode) {
        mMode = mode;
        mHomeZone = homeZone;
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
        return new ServerPool(homeZone, random, mode);
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
            if (slot == null
                    || slot.mServer.registration().startMillis() != registration.startMillis()) {
                mSlots.put(
                        registration.id(), new ServerSlot(server, nowNanos, mRandom.nextDouble()));
            } else {
                slot.mServer = server;
            }
        }
        if (mSlots.keySet().retainAll(present)) {
            mPrefixes.retainServers(present);
        }
        mByService = new HashMap<>();
        for (ServerSlot slot : mSlots.values()) {
            ServiceId service = slot.mServer.registration().service();
            mByService.computeIfAbsent(service, key -> new ArrayList<>()).add(slot);
        }
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
     * Updates the load that all gateways together have reported.
     *
     * @param fleet requests in progress at each server, all gateways together
     * @param ownAtReport the part of this gateway in that load
     * @param gateways number of gateways
     */
    public void updateFleetLoad(
            Map<BackendId, Integer> fleet, Map<BackendId, Integer> ownAtReport, int gateways) {
        mGatewayCount = Math.max(1, gateways);
        mSlots.forEach(
                (id, slot) -> {
                    slot.mFleetRequests = fleet.getOrDefault(id, 0);
                    slot.mOwnRequestsAtReport = ownAtReport.getOrDefault(id, 0);
                });
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
                    if (slot.mOwnRequests > 0) {
                        own.put(id, slot.mOwnRequests);
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
        return (int) mSlots.values().stream().filter(slot -> slot.isSuspended(nowNanos)).count();
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
        List<ServerSlot> eligible = eligibleSlots(nowNanos, criteria);
        if (eligible.isEmpty()) {
            return ServerChoice.none(ServerChoice.Reason.NO_SERVER);
        }
        List<ServerSlot> accepting = new ArrayList<>();
        long shortestRestNanos = Long.MAX_VALUE;
        for (ServerSlot slot : eligible) {
            long restNanos = slot.mStatement.remainingRestNanos(nowNanos);
            if (restNanos == 0) {
                accepting.add(slot);
            }
            shortestRestNanos = Math.min(shortestRestNanos, restNanos);
        }
        if (accepting.isEmpty()) {
            return ServerChoice.allResting(shortestRestNanos);
        }
        ServiceSpec spec = mSpecs.get(criteria.service());
        List<ServerSlot> available = withCapacity(withoutRejecting(nowNanos, accepting), spec);
        if (available.isEmpty()) {
            return ServerChoice.none(ServerChoice.Reason.ALL_FULL);
        }
        List<ServerSlot> usable = withColdCapacity(nowNanos, available, spec);
        if (usable.isEmpty()) {
            return ServerChoice.none(ServerChoice.Reason.ALL_COLD);
        }
        usable = withoutFailing(nowNanos, usable);
        ServerChoice choice =
                criteria.affinityKey() == 0
                        ? chooseLeastLoaded(usable)
                        : chooseByAffinity(nowNanos, usable, criteria);
        recordDispatch(nowNanos, choice);
        if (criteria.affinityKey() != 0) {
            recordLocalUse(nowNanos, criteria.affinityKey(), choice.server().id());
        }
        return choice;
    }

    private List<ServerSlot> eligibleSlots(long nowNanos, SelectionCriteria criteria) {
        TrafficMove move = mOverrides.move(criteria.service());
        List<ServerSlot> ready = new ArrayList<>();
        for (ServerSlot slot : mByService.getOrDefault(criteria.service(), List.of())) {
            Registration server = slot.mServer.registration();
            if (server.leaving()
                    || slot.mStatement.isLeaving()
                    || mOverrides.hasDeparted(server.id(), server.startMillis())
                    || mOverrides.evacuatedZones().contains(server.zone())
                    || criteria.triedServers().contains(server.id())) {
                continue;
            }
            ready.add(slot);
        }
        List<ServerSlot> allowed = withAllowedVersion(ready, move, criteria.versionDraw());
        if (allowed.isEmpty() && move != null) {
            // No eligible server runs the target version; requests drawn for it use the old one.
            allowed = withAllowedVersion(ready, move, 1);
        }
        List<ServerSlot> reachable = new ArrayList<>();
        for (ServerSlot slot : allowed) {
            if (!slot.isSuspended(nowNanos)) {
                reachable.add(slot);
            }
        }
        return reachable.isEmpty() ? allowed : reachable;
    }

    private static List<ServerSlot> withAllowedVersion(
            List<ServerSlot> slots, @Nullable TrafficMove move, double draw) {
        List<ServerSlot> allowed = new ArrayList<>();
        for (ServerSlot slot : slots) {
            String version = slot.mServer.registration().softwareVersion();
            if (VersionGate.allows(move, version, draw)) {
                allowed.add(slot);
            }
        }
        return allowed;
    }

    /** Removes servers that have just rejected a request, unless all have. */
    private static List<ServerSlot> withoutRejecting(long nowNanos, List<ServerSlot> slots) {
        List<ServerSlot> accepting = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (!slot.isFull(nowNanos)) {
                accepting.add(slot);
            }
        }
        return accepting.isEmpty() ? slots : accepting;
    }

    private static List<ServerSlot> withCapacity(
            List<ServerSlot> slots, @Nullable ServiceSpec spec) {
        boolean engines = spec != null && spec.runsEngines();
        List<ServerSlot> open = new ArrayList<>();
        for (ServerSlot slot : slots) {
            int maxRequests = engines ? slot.slots() : MAX_REQUESTS_PER_PLAIN_SLOT * slot.slots();
            if (slot.load() < maxRequests) {
                open.add(slot);
            }
        }
        return open;
    }

    private List<ServerSlot> withColdCapacity(
            long nowNanos, List<ServerSlot> slots, @Nullable ServiceSpec spec) {
        List<ServerSlot> usable = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (!slot.mServer.isCold(nowNanos)
                    || spec == null
                    || spec.coldRequestsPerSecond() <= 0
                    || slot.hasColdCapacity(nowNanos, coldRatePerGateway(spec))) {
                usable.add(slot);
            }
        }
        return usable;
    }

    private double coldRatePerGateway(ServiceSpec spec) {
        return spec.coldRequestsPerSecond() * COLD_LIMIT_SHARE / mGatewayCount;
    }

    private static List<ServerSlot> withoutFailing(long nowNanos, List<ServerSlot> slots) {
        double best = 1;
        for (ServerSlot slot : slots) {
            best = Math.min(best, slot.failureRate(nowNanos));
        }
        List<ServerSlot> healthy = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (slot.failureRate(nowNanos) <= best + FAILURE_MARGIN) {
                healthy.add(slot);
            }
        }
        return healthy;
    }

    private ServerChoice chooseLeastLoaded(List<ServerSlot> slots) {
        ServerSlot best = slots.get(0);
        double bestCost = Double.MAX_VALUE;
        for (ServerSlot slot : slots) {
            boolean otherZone = !slot.mServer.registration().zone().equals(mHomeZone);
            double cost =
                    (double) slot.load() / slot.slots()
                            + (otherZone ? ZONE_PENALTY : 0)
                            + mRandom.nextDouble() / (4 * slot.slots());
            if (cost < bestCost) {
                best = slot;
                bestCost = cost;
            }
        }
        return choiceOf(best, ServerChoice.Reason.LEAST_LOAD, slots.size());
    }

    private void recordLocalUse(long nowNanos, long prefixHash, BackendId server) {
        if (mPrefixes.recordUse(nowNanos, prefixHash, server)) {
            mUseLog.add(new PrefixUseData(prefixHash, server.value()));
        }
    }

    /**
     * Records prefix uses that other gateways reported.
     *
     * @param nowNanos monotonic time
     * @param uses the uses
     */
    public void recordRemoteUses(long nowNanos, List<PrefixUseData> uses) {
        for (PrefixUseData use : uses) {
            mPrefixes.recordUse(nowNanos, use.getPrefixHash(), BackendId.of(use.getServer()));
        }
    }

    /** Returns the log of the prefix uses of this gateway. */
    public PagedLog<PrefixUseData> localUses() {
        return mUseLog;
    }

    private ServerChoice chooseByAffinity(
            long nowNanos, List<ServerSlot> slots, SelectionCriteria criteria) {
        long key = criteria.affinityKey();
        // The mean includes servers that receive no requests now, such as those of an evacuated
        // zone.
        List<ServerSlot> all = mByService.getOrDefault(criteria.service(), List.of());
        double bound = meanLoad(all) * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK;
        ServerChoice choice = chooseWithinBound(nowNanos, slots, key, bound);
        if (choice == null) {
            // So few servers are usable that the load of each of them is above the bound.
            bound = meanLoad(slots) * SCARCE_LOAD_FACTOR + SCARCE_LOAD_SLACK;
            choice = chooseWithinBound(nowNanos, slots, key, bound);
        }
        return choice == null ? chooseLeastLoaded(slots) : choice;
    }

    /**
     * Chooses the server that ranks first for a key among those below the load bound, preferring
     * those that have recently processed the prefix. Returns null if no server is below the bound.
     */
    private @Nullable ServerChoice chooseWithinBound(
            long nowNanos, List<ServerSlot> slots, long key, double bound) {
        List<BackendId> holders = mPrefixes.holders(nowNanos, key);
        List<ServerSlot> cached = new ArrayList<>();
        List<ServerSlot> open = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (slot.load() >= bound) {
                continue;
            }
            open.add(slot);
            if (holders.contains(slot.mServer.registration().id())) {
                cached.add(slot);
            }
        }
        if (!cached.isEmpty()) {
            return choiceOf(firstRanked(cached, key), ServerChoice.Reason.CACHED, slots.size());
        }
        if (open.isEmpty()) {
            return null;
        }
        ServerSlot first = firstRanked(open, key);
        boolean preferred = open.size() == slots.size() || first == firstRanked(slots, key);
        ServerChoice.Reason reason =
                preferred ? ServerChoice.Reason.AFFINITY : ServerChoice.Reason.OVERFLOW;
        return choiceOf(first, reason, slots.size());
    }

    private static double meanLoad(List<ServerSlot> slots) {
        int total = 0;
        for (ServerSlot slot : slots) {
            total += slot.load();
        }
        return (double) total / Math.max(1, slots.size());
    }

    /**
     * Rendezvous hashing: all gateways rank the servers in the same order, and a change of servers
     * moves few keys.
     */
    private static ServerSlot firstRanked(List<ServerSlot> slots, long key) {
        ServerSlot first = slots.get(0);
        long lowestRank = Long.MAX_VALUE;
        for (ServerSlot slot : slots) {
            long rank = PromptHash.combine(key, slot.idHash());
            if (rank < lowestRank) {
                first = slot;
                lowestRank = rank;
            }
        }
        return first;
    }

    private static ServerChoice choiceOf(
            ServerSlot slot, ServerChoice.Reason reason, int candidates) {
        return new ServerChoice(slot.mServer.registration(), reason, slot.load(), candidates, 0);
    }

    private void recordDispatch(long nowNanos, ServerChoice choice) {
        ServerSlot slot = mSlots.get(choice.server().id());
        slot.mOwnRequests++;
        if (slot.mServer.isCold(nowNanos)) {
            slot.takeColdPermit();
        }
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
                slot != null && slot.mServer.registration().startMillis() == server.startMillis();
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
        if (slot != null) {
            slot.recordOutcome(nowNanos, outcome);
        }
    }
}
