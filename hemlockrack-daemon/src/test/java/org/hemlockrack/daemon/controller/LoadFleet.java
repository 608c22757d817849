package org.hemlockrack.daemon.controller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.daemon.sync.ControllerLink;
import org.hemlockrack.dispatch.AttemptOutcome;
import org.hemlockrack.dispatch.LoadSum;
import org.hemlockrack.dispatch.SelectionCriteria;
import org.hemlockrack.dispatch.ServerChoice;
import org.hemlockrack.dispatch.ServerPool;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.routing.ServiceSpec;
import org.hemlockrack.wire.PrefixUseData;
import org.hemlockrack.wire.SyncRequest;

/**
 * A simulated fleet: gateways with real pools exchange their loads with real sums of controllers,
 * at the period of the real exchanges, and send requests to simulated servers of one service.
 */
final class LoadFleet {
    static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** Requests per second that a cold model engine may receive. */
    static final int COLD_PER_SECOND = 18;

    private static final long START = SECOND;
    private static final int CONTROLLERS = 8;
    private static final int MAX_ATTEMPTS = 2;
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final long BUCKET_NANOS = SECOND / 2;
    private static final int WINDOW_BUCKETS = 10;
    private static final int MIN_COUNTED = 20;
    private static final double FACTOR = 2;
    private static final double SLACK = 3;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private final SplittableRandom mRandom;
    private final ServiceSpec mSpec;
    private final List<ServerPool> mPools = new ArrayList<>();
    private final List<GatewayReports> mControllers = new ArrayList<>();
    private final Map<BackendId, Server> mServers = new HashMap<>();
    private final List<RegisteredServer> mRegistered = new ArrayList<>();
    private final List<PrefixUseData> mUses = new ArrayList<>();
    private final int[] mReadUses;
    private final long[] mSentUses;
    private final List<int[]> mBuckets = new ArrayList<>();
    private RoutingOverrides mOverrides = RoutingOverrides.NONE;
    private long mNowNanos;
    private long mCountFromNanos;
    private long mSequence;
    private int mRejected;
    private int mMostRequests;

    private record Event(long atNanos, long sequence, Runnable action) {}

    /** A request on its way through the fleet. */
    private record Request(int gateway, long key, long durationNanos, Set<BackendId> tried) {}

    /** A server that runs requests in its slots, lets some wait and rejects the rest. */
    private final class Server {
        private final BackendId mId;
        private final int mSlots;
        private final int mQueueLength;
        private final Deque<Request> mWaiting = new ArrayDeque<>();
        private final Deque<Long> mArrivals = new ArrayDeque<>();
        private int mRunning;
        private int mMostPerSecond;

        private Server(BackendId id, int slots, int queueLength) {
            mId = id;
            mSlots = slots;
            mQueueLength = queueLength;
        }

        private int requests() {
            return mRunning + mWaiting.size();
        }

        private void receive(Request request) {
            count(this);
            mArrivals.add(mNowNanos);
            while (mNowNanos - mArrivals.element() > SECOND) {
                mArrivals.remove();
            }
            mMostPerSecond = Math.max(mMostPerSecond, mArrivals.size());
            if (mRunning < mSlots) {
                run(request);
            } else if (mWaiting.size() < mQueueLength) {
                mWaiting.add(request);
            } else {
                mRejected++;
                mPools.get(request.gateway())
                        .recordOutcome(mNowNanos, mId, AttemptOutcome.REJECTED);
                send(request);
            }
            mMostRequests = Math.max(mMostRequests, requests());
        }

        private void run(Request request) {
            mRunning++;
            schedule(request.durationNanos(), () -> end(request));
        }

        private void end(Request request) {
            mRunning--;
            mPools.get(request.gateway()).recordOutcome(mNowNanos, mId, AttemptOutcome.SERVED);
            if (!mWaiting.isEmpty()) {
                run(mWaiting.remove());
            }
        }
    }

    private LoadFleet(int gateways, long seed, ServiceSpec spec) {
        mRandom = new SplittableRandom(seed);
        mSpec = spec;
        mNowNanos = START;
        mReadUses = new int[gateways];
        mSentUses = new long[gateways];
        for (int i = 0; i < CONTROLLERS; i++) {
            mControllers.add(new GatewayReports());
        }
        for (int i = 0; i < gateways; i++) {
            mPools.add(ServerPool.create(zone(i), new SplittableRandom(mRandom.nextLong())));
        }
    }

    /** Creates a fleet with a plain service: four servers of six slots, which queue 24 requests. */
    static LoadFleet plain(int gateways, long seed) {
        LoadFleet fleet = new LoadFleet(gateways, seed, new ServiceSpec(SERVICE, 600, 0, 0));
        fleet.addServers(4, 6, 24, 0);
        return fleet;
    }

    /** Creates a fleet with one model engine of 32 slots for every second gateway. */
    static LoadFleet engines(int gateways, long seed) {
        LoadFleet fleet =
                new LoadFleet(gateways, seed, new ServiceSpec(SERVICE, 600, COLD_PER_SECOND, 32));
        fleet.addServers(gateways / 2, 32, 96, 0);
        return fleet;
    }

    private static ZoneId zone(int index) {
        return ZoneId.of("z" + index % 4);
    }

    /** Adds servers, in turns to the zones. */
    void addServers(int count, int slots, int queueLength, long coldMillis) {
        for (int i = 0; i < count; i++) {
            int index = mServers.size();
            BackendId id = BackendId.of("i-" + index);
            mServers.put(id, new Server(id, slots, queueLength));
            Registration registration =
                    new Registration(
                            id,
                            1,
                            1,
                            SERVICE,
                            "10.0.0." + index + ":80",
                            zone(index),
                            "v1",
                            slots,
                            false,
                            coldMillis);
            mRegistered.add(new RegisteredServer(registration, mNowNanos, mNowNanos));
        }
        updatePools();
    }

    private void updatePools() {
        RouteTable table = RouteTable.of(1, List.of(), List.of(mSpec), null);
        for (ServerPool pool : mPools) {
            pool.update(mNowNanos, mRegistered, mOverrides, table);
        }
    }

    /** Evacuates the first availability zones. */
    void evacuate(int zones) {
        Set<ZoneId> evacuated = new HashSet<>();
        for (int i = 0; i < zones; i++) {
            evacuated.add(zone(i));
        }
        mOverrides = new RoutingOverrides(evacuated, Map.of(), Map.of());
        updatePools();
    }

    /** Replaces all controllers by ones that have received no report. */
    void restartControllers() {
        mControllers.replaceAll(controller -> new GatewayReports());
    }

    /** Starts the exchanges of all gateways with all controllers. */
    void startExchanges() {
        long periodNanos = ControllerLink.periodNanos(mPools.size());
        for (int gateway = 0; gateway < mPools.size(); gateway++) {
            for (int controller = 0; controller < CONTROLLERS; controller++) {
                int from = gateway;
                int to = controller;
                schedule(mRandom.nextLong(periodNanos), () -> exchange(from, to));
            }
        }
    }

    private void exchange(int gateway, int controller) {
        ServerPool pool = mPools.get(gateway);
        GatewayReports reports = mControllers.get(controller);
        Map<BackendId, Integer> own = pool.ownLoad();
        SyncRequest request = new SyncRequest();
        request.setSender("g" + gateway);
        request.setInFlight(ControllerLink.toLoadData(own));
        request.setCounts(List.of());
        reports.recordReport(mNowNanos, request);
        pool.updateFleetLoad(
                mNowNanos,
                LoadSum.of(
                        "c" + controller,
                        mNowNanos,
                        reports.fleetInFlight(mNowNanos),
                        own,
                        reports.gatewayCount(mNowNanos)));
        exchangeUses(gateway, controller, pool);
        schedule(
                ControllerLink.periodNanos(mPools.size()) + mRandom.nextLong(4 * MILLI),
                () -> exchange(gateway, controller));
    }

    /** All controllers receive the prompt uses of all gateways, and one of them tells them. */
    private void exchangeUses(int gateway, int controller, ServerPool pool) {
        var page = pool.localUses().readFrom(mSentUses[gateway], 64);
        mSentUses[gateway] = page.next();
        mUses.addAll(page.entries());
        if (gateway % CONTROLLERS == controller) {
            pool.recordRemoteUses(mNowNanos, mUses.subList(mReadUses[gateway], mUses.size()));
            mReadUses[gateway] = mUses.size();
        }
    }

    /**
     * Starts a stream of requests that arrive at random times at random gateways.
     *
     * @param perSecond requests per second
     * @param burst requests that arrive at once
     * @param millis time that a server takes for one
     * @param key prompt prefix, 0 for none, or -1 for one of many
     * @param forNanos duration of the stream
     */
    void startRequests(double perSecond, int burst, long millis, long key, long forNanos) {
        arrive(perSecond / burst, burst, millis, key, mNowNanos + forNanos);
    }

    private void arrive(double perSecond, int burst, long millis, long key, long endNanos) {
        double seconds = -Math.log(1 - mRandom.nextDouble()) / perSecond;
        schedule(
                (long) (seconds * SECOND),
                () -> {
                    for (int i = 0; i < burst; i++) {
                        long chosen = key >= 0 ? key : 1_000 + mRandom.nextInt(400);
                        int gateway = mRandom.nextInt(mPools.size());
                        send(new Request(gateway, chosen, millis * MILLI, new HashSet<>()));
                    }
                    if (mNowNanos < endNanos) {
                        arrive(perSecond, burst, millis, key, endNanos);
                    }
                });
    }

    private void send(Request request) {
        if (request.tried().size() == MAX_ATTEMPTS) {
            return;
        }
        SelectionCriteria criteria =
                new SelectionCriteria(SERVICE, request.key(), 0.5, request.tried());
        ServerChoice choice = mPools.get(request.gateway()).choose(mNowNanos, criteria);
        if (choice.server() != null) {
            request.tried().add(choice.server().id());
            mServers.get(choice.server().id()).receive(request);
        }
    }

    private void schedule(long delayNanos, Runnable action) {
        mEvents.add(new Event(mNowNanos + delayNanos, mSequence++, action));
    }

    /** Runs the fleet for a time. */
    void run(long nanos) {
        long endNanos = mNowNanos + nanos;
        while (mEvents.element().atNanos() <= endNanos) {
            Event event = mEvents.remove();
            mNowNanos = event.atNanos();
            event.action().run();
        }
        mNowNanos = endNanos;
    }

    /** Counts the requests from now on only. */
    void startCounting() {
        mCountFromNanos = mNowNanos;
        mBuckets.clear();
        mRejected = 0;
        mMostRequests = 0;
    }

    private void count(Server server) {
        int bucket = (int) ((mNowNanos - mCountFromNanos) / BUCKET_NANOS);
        while (mBuckets.size() <= bucket) {
            mBuckets.add(new int[2]);
        }
        int total = 0;
        for (Server each : mServers.values()) {
            total += each.requests();
        }
        double bound = FACTOR * total / mServers.size() + SLACK;
        mBuckets.get(bucket)[0] += server.requests() > bound ? 1 : 0;
        mBuckets.get(bucket)[1]++;
    }

    /**
     * Returns the share of the requests that reach a server which holds more than twice the mean of
     * all servers and three, in the worst five seconds; less than 20 requests do not count.
     */
    double worstShare() {
        double worst = 0;
        for (int first = 0; first + WINDOW_BUCKETS <= mBuckets.size(); first++) {
            int over = 0;
            int all = 0;
            for (int[] bucket : mBuckets.subList(first, first + WINDOW_BUCKETS)) {
                over += bucket[0];
                all += bucket[1];
            }
            worst = over < MIN_COUNTED ? worst : Math.max(worst, (double) over / all);
        }
        return worst;
    }

    /** Returns the most requests that one of the servers added last received in a second. */
    int mostPerSecond(int lastServers) {
        int most = 0;
        for (int i = mServers.size() - lastServers; i < mServers.size(); i++) {
            Server server = Objects.requireNonNull(mServers.get(BackendId.of("i-" + i)));
            most = Math.max(most, server.mMostPerSecond);
        }
        return most;
    }

    /** Returns figures for a failure message. */
    String describe() {
        return "share "
                + worstShare()
                + ", rejected "
                + mRejected
                + ", most requests at a server "
                + mMostRequests;
    }
}
