package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.routing.ServiceSpec;
import org.hemlockrack.wire.PrefixUseData;
import org.jspecify.annotations.Nullable;

/**
 * The backend servers that one gateway may use, with the load of the fleet. Not thread-safe; time
 * is monotonic and passed in.
 */
public final class ServerPool {
    /** Prefix uses that wait to be told to a controller. */
    private static final int MAX_USES = 2_048;

    /** Load up to this multiple of the mean does not move a request from its first choice. */
    private static final double AFFINITY_BOUND = 1.6;

    /** Requests above the mean that are allowed on a first choice in any case. */
    private static final double AFFINITY_SLACK = 2.5;

    /** The same bound, of the mean of the usable servers, when only few of them are left. */
    private static final double SCARCE_BOUND = 1.25;

    /** Requests above the mean of the usable servers that are allowed then. */
    private static final double SCARCE_SLACK = 1;

    /** Failure rate above that of the best server at which another one is preferred. */
    private static final double FAILURE_MARGIN = 0.2;

    /** Requests per slot, waiting ones included, that a plain server may hold. */
    private static final int PLAIN_DEPTH = 4;

    /** Load difference, in slots, that outweighs the way to another availability zone. */
    private static final double ZONE_PENALTY = 0.5;

    /** Gateways assumed until a controller has told their number. */
    private static final int INITIAL_GATEWAYS = 16;

    /** Share of the cold limit that is used; the rest covers late news of a cold start. */
    private static final double COLD_SHARE = 0.8;

    private final ZoneId mHome;
    private final RandomGenerator mRandom;
    private final Map<BackendId, ServerSlot> mSlots = new HashMap<>();
    private final PrefixDirectory mPrefixes = PrefixDirectory.create();
    private final PrefixUseLog mUses = PrefixUseLog.of(MAX_USES);
    private Map<ServiceId, List<ServerSlot>> mByService = new HashMap<>();
    private RoutingOverrides mFacts = RoutingOverrides.NONE;
    private Map<ServiceId, ServiceSpec> mSpecs = Map.of();
    private int mGateways = INITIAL_GATEWAYS;

    private ServerPool(ZoneId home, RandomGenerator random) {
        mHome = home;
        mRandom = random;
    }

    /**
     * Creates an empty pool.
     *
     * @param home availability zone of the gateway
     * @param random breaks ties
     * @return the pool
     */
    public static ServerPool create(ZoneId home, RandomGenerator random) {
        return new ServerPool(home, random);
    }

    /**
     * Takes over what the gateway knows now.
     *
     * @param nowNanos monotonic time
     * @param servers all registered servers
     * @param facts evacuated zones, moves, departures
     * @param table the route table, or null if none is known
     */
    public void update(
            long nowNanos,
            Collection<RegisteredServer> servers,
            RoutingOverrides facts,
            @Nullable RouteTable table) {
        mFacts = facts;
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

    /** An address belongs to the incarnation that started last, or else was heard last. */
    private static RegisteredServer newer(RegisteredServer a, RegisteredServer b) {
        long bornA = a.registration().startMillis();
        long bornB = b.registration().startMillis();
        if (bornA != bornB) {
            return bornA > bornB ? a : b;
        }
        return a.receivedNanos() - b.receivedNanos() > 0 ? a : b;
    }

    /**
     * Notes the load of the fleet.
     *
     * @param fleet requests in progress at each server, all gateways together
     * @param ownAtReport the part of this gateway in it
     * @param gateways number of gateways
     */
    public void updateFleetLoad(
            Map<BackendId, Integer> fleet, Map<BackendId, Integer> ownAtReport, int gateways) {
        mGateways = Math.max(1, gateways);
        mSlots.forEach(
                (id, slot) -> {
                    slot.mFleet = fleet.getOrDefault(id, 0);
                    slot.mOwnAtReport = ownAtReport.getOrDefault(id, 0);
                });
    }

    /** Returns the number of gateways that share the limits. */
    public int gatewayCount() {
        return mGateways;
    }

    /** Returns the requests that this gateway has in progress at each server. */
    public Map<BackendId, Integer> ownLoad() {
        Map<BackendId, Integer> own = new HashMap<>();
        mSlots.forEach(
                (id, slot) -> {
                    if (slot.mOwn > 0) {
                        own.put(id, slot.mOwn);
                    }
                });
        return own;
    }

    /**
     * Returns the number of servers that are left out after failed connections.
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
     * @param demand what the request asks for
     * @return the choice
     */
    public ServerChoice choose(long nowNanos, SelectionCriteria demand) {
        List<ServerSlot> allowed = allowed(nowNanos, demand);
        if (allowed.isEmpty()) {
            return ServerChoice.none(ServerChoice.Reason.NO_SERVER);
        }
        ServiceSpec spec = mSpecs.get(demand.service());
        List<ServerSlot> open = withRoom(notRejecting(nowNanos, allowed), spec);
        if (open.isEmpty()) {
            return ServerChoice.none(ServerChoice.Reason.ALL_FULL);
        }
        List<ServerSlot> usable = withColdRoom(nowNanos, open, spec);
        if (usable.isEmpty()) {
            return ServerChoice.none(ServerChoice.Reason.ALL_COLD);
        }
        usable = healthy(nowNanos, usable);
        ServerChoice choice =
                demand.affinityKey() == 0
                        ? leastLoaded(usable)
                        : byAffinity(nowNanos, usable, demand);
        take(nowNanos, choice);
        if (demand.affinityKey() != 0) {
            used(nowNanos, demand.affinityKey(), choice.server().id());
        }
        return choice;
    }

    private List<ServerSlot> allowed(long nowNanos, SelectionCriteria demand) {
        TrafficMove move = mFacts.move(demand.service());
        List<ServerSlot> ready = new ArrayList<>();
        for (ServerSlot slot : mByService.getOrDefault(demand.service(), List.of())) {
            Registration server = slot.mServer.registration();
            if (server.leaving()
                    || mFacts.hasDeparted(server.id(), server.startMillis())
                    || mFacts.evacuatedZones().contains(server.zone())
                    || demand.tried().contains(server.id())) {
                continue;
            }
            ready.add(slot);
        }
        List<ServerSlot> allowed = versionsOf(ready, move, demand.draw());
        if (allowed.isEmpty() && move != null) {
            // The drawn side has no server; a request of the canary share may run on the old side.
            allowed = versionsOf(ready, move, 1);
        }
        List<ServerSlot> reachable = new ArrayList<>();
        for (ServerSlot slot : allowed) {
            if (!slot.isSuspended(nowNanos)) {
                reachable.add(slot);
            }
        }
        return reachable.isEmpty() ? allowed : reachable;
    }

    private static List<ServerSlot> versionsOf(
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

    /** Leaves out servers that have just rejected a request, unless all have. */
    private static List<ServerSlot> notRejecting(long nowNanos, List<ServerSlot> slots) {
        List<ServerSlot> taking = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (!slot.isFull(nowNanos)) {
                taking.add(slot);
            }
        }
        return taking.isEmpty() ? slots : taking;
    }

    private static List<ServerSlot> withRoom(List<ServerSlot> slots, @Nullable ServiceSpec spec) {
        boolean engines = spec != null && spec.runsEngines();
        List<ServerSlot> open = new ArrayList<>();
        for (ServerSlot slot : slots) {
            int most = engines ? slot.slots() : PLAIN_DEPTH * slot.slots();
            if (slot.load() < most) {
                open.add(slot);
            }
        }
        return open;
    }

    private List<ServerSlot> withColdRoom(
            long nowNanos, List<ServerSlot> slots, @Nullable ServiceSpec spec) {
        List<ServerSlot> usable = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (!slot.mServer.isCold(nowNanos)
                    || spec == null
                    || spec.coldRequestsPerSecond() <= 0
                    || slot.coldRoom(nowNanos, coldShare(spec))) {
                usable.add(slot);
            }
        }
        return usable;
    }

    private double coldShare(ServiceSpec spec) {
        return spec.coldRequestsPerSecond() * COLD_SHARE / mGateways;
    }

    private static List<ServerSlot> healthy(long nowNanos, List<ServerSlot> slots) {
        double best = 1;
        for (ServerSlot slot : slots) {
            best = Math.min(best, slot.failureRate(nowNanos));
        }
        List<ServerSlot> good = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (slot.failureRate(nowNanos) <= best + FAILURE_MARGIN) {
                good.add(slot);
            }
        }
        return good;
    }

    private ServerChoice leastLoaded(List<ServerSlot> slots) {
        ServerSlot best = slots.get(0);
        double bestCost = Double.MAX_VALUE;
        for (ServerSlot slot : slots) {
            boolean away = !slot.mServer.registration().zone().equals(mHome);
            double cost =
                    (double) slot.load() / slot.slots()
                            + (away ? ZONE_PENALTY : 0)
                            + mRandom.nextDouble() / (4 * slot.slots());
            if (cost < bestCost) {
                best = slot;
                bestCost = cost;
            }
        }
        return chosen(best, ServerChoice.Reason.LEAST_LOAD, slots.size());
    }

    private void used(long nowNanos, long prefixHash, BackendId server) {
        if (mPrefixes.recordUse(nowNanos, prefixHash, server)) {
            mUses.add(new PrefixUseData(prefixHash, server.value()));
        }
    }

    /**
     * Notes prefix uses of other gateways.
     *
     * @param nowNanos monotonic time
     * @param uses the uses
     */
    public void recordRemoteUses(long nowNanos, List<PrefixUseData> uses) {
        for (PrefixUseData use : uses) {
            mPrefixes.recordUse(nowNanos, use.getPrefixHash(), BackendId.of(use.getServer()));
        }
    }

    /** Returns the prefix uses of this gateway. */
    public PrefixUseLog localUses() {
        return mUses;
    }

    private ServerChoice byAffinity(
            long nowNanos, List<ServerSlot> slots, SelectionCriteria demand) {
        long key = demand.affinityKey();
        // Servers that get nothing now, such as those of an evacuated zone, count with their load.
        List<ServerSlot> all = mByService.getOrDefault(demand.service(), List.of());
        double bound = meanLoad(all) * AFFINITY_BOUND + AFFINITY_SLACK;
        ServerChoice choice = withinBound(nowNanos, slots, key, bound);
        if (choice == null) {
            // So few servers are usable that each of them carries more than the bound.
            bound = meanLoad(slots) * SCARCE_BOUND + SCARCE_SLACK;
            choice = withinBound(nowNanos, slots, key, bound);
        }
        return choice == null ? leastLoaded(slots) : choice;
    }

    /**
     * Returns the server that ranks first for a key among those that have read its parts and carry
     * less than the bound, or else among all that carry less, or null if none does.
     */
    private @Nullable ServerChoice withinBound(
            long nowNanos, List<ServerSlot> slots, long key, double bound) {
        List<BackendId> holders = mPrefixes.holders(nowNanos, key);
        List<ServerSlot> holding = new ArrayList<>();
        List<ServerSlot> open = new ArrayList<>();
        for (ServerSlot slot : slots) {
            if (slot.load() >= bound) {
                continue;
            }
            open.add(slot);
            if (holders.contains(slot.mServer.registration().id())) {
                holding.add(slot);
            }
        }
        if (!holding.isEmpty()) {
            return chosen(firstRanked(holding, key), ServerChoice.Reason.CACHED, slots.size());
        }
        if (open.isEmpty()) {
            return null;
        }
        ServerSlot first = firstRanked(open, key);
        boolean preferred = open.size() == slots.size() || first == firstRanked(slots, key);
        ServerChoice.Reason reason =
                preferred ? ServerChoice.Reason.AFFINITY : ServerChoice.Reason.OVERFLOW;
        return chosen(first, reason, slots.size());
    }

    private static double meanLoad(List<ServerSlot> slots) {
        int total = 0;
        for (ServerSlot slot : slots) {
            total += slot.load();
        }
        return (double) total / Math.max(1, slots.size());
    }

    /** Rendezvous hashing: all gateways rank the servers alike, and a change moves few keys. */
    private static ServerSlot firstRanked(List<ServerSlot> slots, long key) {
        ServerSlot first = slots.get(0);
        long least = Long.MAX_VALUE;
        for (ServerSlot slot : slots) {
            long rank = PromptHash.combine(key, slot.idHash());
            if (rank < least) {
                first = slot;
                least = rank;
            }
        }
        return first;
    }

    private static ServerChoice chosen(
            ServerSlot slot, ServerChoice.Reason reason, int candidates) {
        return new ServerChoice(slot.mServer.registration(), reason, slot.load(), candidates);
    }

    private void take(long nowNanos, ServerChoice choice) {
        ServerSlot slot = mSlots.get(choice.server().id());
        slot.mOwn++;
        if (slot.mServer.isCold(nowNanos)) {
            slot.takeColdTurn();
        }
    }

    /**
     * Ends a request that was chosen.
     *
     * @param nowNanos monotonic time
     * @param id the server
     * @param outcome how it ended
     */
    public void recordOutcome(long nowNanos, BackendId id, AttemptOutcome outcome) {
        ServerSlot slot = mSlots.get(id);
        if (slot != null) {
            slot.finished(nowNanos, outcome);
        }
    }
}
