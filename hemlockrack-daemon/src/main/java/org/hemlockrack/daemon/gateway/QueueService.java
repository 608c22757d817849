package org.hemlockrack.daemon.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.routing.Route;
import org.hemlockrack.scheduling.DrainRate;
import org.hemlockrack.scheduling.QueueBounds;
import org.hemlockrack.scheduling.QueuedCall;
import org.hemlockrack.scheduling.Removal;
import org.hemlockrack.scheduling.ReserveRule;
import org.hemlockrack.scheduling.RetryAdvice;
import org.hemlockrack.scheduling.ServiceQueue;
import org.hemlockrack.scheduling.ServiceTime;
import org.hemlockrack.scheduling.ShareView;
import org.hemlockrack.scheduling.WorkspaceShares;
import org.hemlockrack.scheduling.WorkspaceUsage;
import org.hemlockrack.wire.ServiceUsageData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.WorkspaceUsageData;
import org.jspecify.annotations.Nullable;

/**
 * The requests of a gateway that wait for a free slot of a service.
 *
 * <p>Thread-safe. Exchanges call in with their own lock held; they are called back on the event
 * loop, without the lock of this object.
 */
final class QueueService {
    /** Usages in one report; a gateway has a few dozen requests in progress. */
    private static final int MAX_REPORTED_USAGES = 64;

    private static final int MAX_REQUESTS = 256;

    /** Deadlines of callers are shorter; this bounds the wait on routes with long ones. */
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Part of the heap for the bodies of waiting requests of one service. */
    private static final int HEAP_DIVISOR = 16;

    /**
     * Slots that other gateways have freed are not announced, so a waiting queue looks for them.
     */
    private static final long CHECK_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** A refusal after a longer wait, as a part of the latency objective, is charged. */
    private static final long HOLD_DIVISOR = 8;

    /** Memory of a waiting request besides its body. */
    private static final long REQUEST_BYTES = 2_048;

    private final EventLoop mLoop;
    private final GatewayState mState;
    private final Metrics mMetrics;
    private final RandomGenerator mRandom;
    private final Map<ServiceId, Service> mServices = new HashMap<>();
    private final Map<String, Map<ServiceId, List<WorkspaceUsage>>> mSentUsages = new HashMap<>();
    private final Map<String, ServiceTime> mRouteTimes = new HashMap<>();
    private long mNextNumber;
    private boolean mCheckScheduled;

    /** What is known of one service. */
    private static final class Service {
        private final ServiceQueue mQueue =
                ServiceQueue.create(
                        new QueueBounds(
                                MAX_REQUESTS,
                                Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
                                MAX_WAIT_NANOS));
        private final WorkspaceShares mShares = WorkspaceShares.create();
        private final DrainRate mRate = DrainRate.create();
        private final RetryAdvice mAdvice;
        private final Map<String, Entry> mWaiting = new HashMap<>();

        /** Requests taken from the queue since the start, by rank. */
        private final TreeMap<Integer, Long> mTaken = new TreeMap<>();

        /** Turn class of the request for which a slot is looked for. */
        private int mNextClass;

        /** Requests in progress in the whole fleet when this gateway last found no free slot. */
        private double mRunningWhenFull = Double.MAX_VALUE;

        private Service(RandomGenerator random) {
            mAdvice = RetryAdvice.create(random);
        }
    }

    private record Entry(
            QueuedCall call,
            GatewayExchange exchange,
            long callerDeadlineNanos,
            WaitReport.Cause cause,
            Map<Integer, Long> takenAtArrival) {}

    /**
     * Why a request has left the queue without being served.
     *
     * @param reason the reason
     * @param report its wait
     * @param waiting requests that still wait
     * @param retryNanos time after which the caller should retry
     */
    record Refusal(Removal.Reason reason, WaitReport report, int waiting, long retryNanos) {
        ErrorKind kind() {
            return reason == Removal.Reason.DEADLINE
                    ? ErrorKind.DEADLINE_UNREACHABLE
                    : ErrorKind.OVERLOADED;
        }

        String cause() {
            return String.format(ErrorText.QUEUE_REFUSED, reason);
        }

        long retryMillis() {
            return Math.max(1, TimeUnit.NANOSECONDS.toMillis(retryNanos));
        }
    }

    private record Refused(GatewayExchange exchange, Refusal refusal) {}

    private QueueService(
            EventLoop loop, GatewayState state, Metrics metrics, RandomGenerator random) {
        mLoop = loop;
        mState = state;
        mMetrics = metrics;
        mRandom = random;
    }

    static QueueService create(
            EventLoop loop, GatewayState state, Metrics metrics, RandomGenerator random) {
        return new QueueService(loop, state, metrics, random);
    }

    /**
     * Returns whether a new request may ask for a server now: no request waits here, and none that
     * precedes it waits at another gateway for the last free slots.
     */
    boolean mayStart(ServiceId serviceId, int rank, String workspace) {
        return waitCause(serviceId, rank, workspace) == null;
    }

    /** Returns why a new request must wait before it may ask for a server, or null if it may. */
    synchronized WaitReport.@Nullable Cause waitCause(
            ServiceId serviceId, int rank, String workspace) {
        Service service = mServices.get(serviceId);
        if (service == null) {
            return null;
        }
        if (service.mQueue.size() > 0) {
            return WaitReport.Cause.OTHERS_WAIT;
        }
        return isHeldBack(service, rank, workspace, service.mShares.view(mLoop.nowNanos()))
                ? WaitReport.Cause.RESERVED
                : null;
    }

    private static boolean isHeldBack(Service service, int rank, String workspace, ShareView view) {
        int slots = (int) Math.min(Integer.MAX_VALUE, service.mRunningWhenFull);
        int reserved = ReserveRule.reservedSlots(rank, workspace, view, slots);
        return reserved > 0 && view.running() + reserved >= slots;
    }

    /**
     * Adds a request. Whether it waits or is refused is decided on the event loop.
     *
     * @param exchange the request
     * @param isRetry whether a server has refused it before
     * @param callerDeadlineNanos time at which its answer must be complete
     * @param wasFull whether it has just found no free slot
     * @return the id of the waiting request
     */
    synchronized String enqueue(
            GatewayExchange exchange, boolean isRetry, long callerDeadlineNanos, boolean wasFull) {
        long nowNanos = mLoop.nowNanos();
        Service service = service(exchange.service());
        WaitReport.Cause cause = WaitReport.Cause.NO_FREE_SLOT;
        if (wasFull) {
            recordFull(service, nowNanos);
        } else {
            cause =
                    service.mQueue.size() > 0
                            ? WaitReport.Cause.OTHERS_WAIT
                            : WaitReport.Cause.RESERVED;
        }
        long number = mNextNumber++;
        Route route = exchange.route();
        ServiceTime time = mRouteTimes.get(route.name());
        QueuedCall call =
                new QueuedCall(
                        Long.toString(number),
                        number,
                        exchange.rank(),
                        isRetry,
                        workspaceOf(exchange),
                        nowNanos,
                        callerDeadlineNanos - (time == null ? 0 : time.smoothedNanos()),
                        holdLimitNanos(route),
                        REQUEST_BYTES + exchange.call().body().length);
        service.mWaiting.put(
                call.id(),
                new Entry(call, exchange, callerDeadlineNanos, cause, Map.copyOf(service.mTaken)));
        service.mShares.addWaiting(call.rank(), call.workspace(), 1);
        ShareView view = service.mShares.view(nowNanos);
        List<Refused> refused = refuse(service, nowNanos, service.mQueue.add(call, view));
        mMetrics.increment(MetricName.REQUESTS_QUEUED, "rank", Integer.toString(call.rank()));
        mLoop.execute(
                () -> {
                    refused.forEach(each -> each.exchange().onQueueRefused(each.refusal()));
                    serve(exchange.service());
                });
        return call.id();
    }

    /** The check that ends a wait may come one period late. */
    private static long holdLimitNanos(Route route) {
        long targetNanos = TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMillis());
        return Math.max(0, targetNanos / HOLD_DIVISOR - CHECK_PERIOD_NANOS);
    }

    private static String workspaceOf(GatewayExchange exchange) {
        String workspace = exchange.workspace();
        return workspace == null ? "" : workspace;
    }

    /** Records that no server of a service has a free slot. */
    synchronized void recordFull(ServiceId serviceId) {
        recordFull(service(serviceId), mLoop.nowNanos());
    }

    private void recordFull(Service service, long nowNanos) {
        service.mRunningWhenFull = service.mShares.view(nowNanos).running();
    }

    private Service service(ServiceId id) {
        return mServices.computeIfAbsent(id, key -> new Service(mRandom));
    }

    /**
     * Describes the wait of a request for the log.
     *
     * @param id its id
     * @return the description, or null if it no longer waits
     */
    synchronized @Nullable WaitReport describe(ServiceId serviceId, String id) {
        Service service = service(serviceId);
        Entry entry = service.mWaiting.get(id);
        return entry == null ? null : describe(service, mLoop.nowNanos(), entry);
    }

    private static WaitReport describe(Service service, long nowNanos, Entry entry) {
        StringJoiner before = new StringJoiner(" ");
        service.mTaken.forEach(
                (rank, taken) -> {
                    long meanwhile = taken - entry.takenAtArrival().getOrDefault(rank, 0L);
                    if (meanwhile > 0) {
                        before.add(rank + ":" + meanwhile);
                    }
                });
        ShareView view = service.mShares.view(nowNanos);
        QueuedCall call = entry.call();
        return new WaitReport(
                entry.cause(),
                nowNanos - call.arrivalNanos(),
                before.toString(),
                view.usagePerWeight(call.workspace()),
                view.share(call.workspace()));
    }

    /** Removes a request that has ended while it waited. */
    synchronized void leave(ServiceId serviceId, String id) {
        remove(service(serviceId), id);
    }

    private @Nullable Entry remove(Service service, String id) {
        Entry entry = service.mWaiting.remove(id);
        if (entry == null) {
            return null;
        }
        service.mQueue.remove(id);
        service.mShares.addWaiting(entry.call().rank(), entry.call().workspace(), -1);
        long nowNanos = mLoop.nowNanos();
        ShareView view = service.mShares.view(nowNanos);
        service.mRate.recordBacklog(nowNanos, service.mQueue.sizeByTurnClass(view));
        return entry;
    }

    /**
     * Records that an attempt of a request begins.
     *
     * @return whether it is counted, because queueing applies to the service
     */
    boolean recordStart(ServiceId serviceId, int rank, String workspace) {
        if (!mState.isManaged(serviceId)) {
            return false;
        }
        synchronized (this) {
            service(serviceId).mShares.addRunning(rank, workspace, 1);
        }
        return true;
    }

    /**
     * Records that an attempt has ended, and lets waiting requests use its slot.
     *
     * @param servedNanos time that a whole answer took at its server, or 0 without one
     */
    void recordEnd(
            ServiceId serviceId, int rank, String workspace, String route, long servedNanos) {
        synchronized (this) {
            Service service = service(serviceId);
            service.mShares.addRunning(rank, workspace, -1);
            if (servedNanos > 0) {
                service.mRate.recordServiceTime(servedNanos);
                mRouteTimes.computeIfAbsent(route, key -> new ServiceTime()).add(servedNanos);
            }
            if (service.mQueue.size() == 0) {
                return;
            }
        }
        mLoop.execute(() -> serve(serviceId));
    }

    /** Serves and refuses waiting requests of a service. Called on the event loop. */
    private void serve(ServiceId serviceId) {
        Entry entry = nextEntry(serviceId);
        while (entry != null) {
            QueueWait.Result result = entry.exchange().startFromQueue();
            synchronized (this) {
                Service service = service(serviceId);
                long nowNanos = mLoop.nowNanos();
                if (result == QueueWait.Result.WAITING) {
                    recordFull(service, nowNanos);
                    break;
                }
                if (result == QueueWait.Result.STARTED) {
                    service.mRate.recordTaken(nowNanos, service.mNextClass);
                    service.mTaken.merge(entry.call().rank(), 1L, Long::sum);
                }
                remove(service, entry.call().id());
            }
            entry = nextEntry(serviceId);
        }
        refuseUnservable(serviceId);
    }

    private synchronized @Nullable Entry nextEntry(ServiceId serviceId) {
        Service service = service(serviceId);
        ShareView view = service.mShares.view(mLoop.nowNanos());
        QueuedCall next = service.mQueue.next(view);
        if (next != null) {
            service.mNextClass = view.turnClass(next.rank(), next.workspace());
        }
        boolean mayStart =
                next != null && !isHeldBack(service, next.rank(), next.workspace(), view);
        return mayStart ? service.mWaiting.get(next.id()) : null;
    }

    private void refuseUnservable(ServiceId serviceId) {
        List<Refused> refused;
        synchronized (this) {
            Service service = service(serviceId);
            long nowNanos = mLoop.nowNanos();
            ShareView view = service.mShares.view(nowNanos);
            refused =
                    refuse(
                            service,
                            nowNanos,
                            service.mQueue.removeUnservable(nowNanos, view, service.mRate));
            service.mRate.recordBacklog(nowNanos, service.mQueue.sizeByTurnClass(view));
            scheduleCheck(service.mQueue.size());
        }
        refused.forEach(each -> each.exchange().onQueueRefused(each.refusal()));
    }

    /** Called with the lock held. */
    private void scheduleCheck(int waiting) {
        if (waiting == 0 || mCheckScheduled) {
            return;
        }
        mCheckScheduled = true;
        mLoop.scheduleAt(
                mLoop.nowNanos() + CHECK_PERIOD_NANOS,
                () -> {
                    synchronized (this) {
                        mCheckScheduled = false;
                    }
                    serveAll();
                });
    }

    /** Looks for free slots after news of the servers' load. Called on the event loop. */
    void serveAll() {
        List<ServiceId> waiting = new ArrayList<>();
        synchronized (this) {
            mServices.forEach(
                    (id, service) -> {
                        if (service.mQueue.size() > 0) {
                            waiting.add(id);
                        }
                    });
        }
        waiting.forEach(this::serve);
    }

    private List<Refused> refuse(Service service, long nowNanos, List<Removal> removals) {
        List<Refused> refused = new ArrayList<>(removals.size());
        for (Removal removal : removals) {
            QueuedCall call = removal.call();
            Entry entry = remove(service, call.id());
            if (entry == null) {
                continue;
            }
            ShareView view = service.mShares.view(nowNanos);
            long retryNanos =
                    service.mAdvice.delayNanos(
                            nowNanos,
                            call,
                            service.mQueue.sizeUpTo(call.rank()),
                            service.mRate,
                            view,
                            entry.callerDeadlineNanos() - nowNanos);
            mMetrics.increment(MetricName.QUEUE_REFUSALS, "reason", removal.reason().name());
            refused.add(
                    new Refused(
                            entry.exchange(),
                            new Refusal(
                                    removal.reason(),
                                    describe(service, nowNanos, entry),
                                    service.mQueue.size(),
                                    retryNanos)));
        }
        return refused;
    }

    /** Returns the number of waiting requests. */
    synchronized int waiting() {
        return mServices.values().stream().mapToInt(service -> service.mQueue.size()).sum();
    }

    /** Returns the memory that waiting requests hold. */
    synchronized long waitingBytes() {
        return mServices.values().stream().mapToLong(service -> service.mQueue.bytes()).sum();
    }

    /**
     * Returns the requests of this gateway at managed services for a report to a controller, or
     * null if no service is managed.
     *
     * @param address the controller
     */
    @Nullable List<ServiceUsageData> report(String address) {
        Map<ServiceId, List<WorkspaceUsage>> usages = new HashMap<>();
        synchronized (this) {
            mServices.forEach(
                    (id, service) -> {
                        if (mState.isManaged(id)) {
                            usages.put(id, mostUsed(service.mShares.own()));
                        }
                    });
            mSentUsages.put(address, usages);
        }
        if (usages.isEmpty()) {
            return null;
        }
        List<ServiceUsageData> data = new ArrayList<>(usages.size());
        usages.forEach((id, each) -> data.add(toData(id, each)));
        return data;
    }

    private static List<WorkspaceUsage> mostUsed(List<WorkspaceUsage> usages) {
        return usages.stream()
                .sorted(Comparator.comparingInt(each -> -each.running() - each.waiting()))
                .limit(MAX_REPORTED_USAGES)
                .toList();
    }

    private static ServiceUsageData toData(ServiceId id, List<WorkspaceUsage> usages) {
        List<WorkspaceUsageData> data = new ArrayList<>(usages.size());
        for (WorkspaceUsage each : usages) {
            data.add(
                    new WorkspaceUsageData(
                            each.rank(), each.workspace(), each.running(), each.waiting()));
        }
        return new ServiceUsageData(id.value(), data);
    }

    /** Adopts the sums of a controller. Called on the event loop. */
    void adopt(String address, SyncReply reply) {
        if (!reply.isSetFleetUsages()) {
            return;
        }
        synchronized (this) {
            Map<String, List<WorkspaceUsage>> sums = new HashMap<>();
            for (ServiceUsageData each : reply.getFleetUsages()) {
                sums.put(each.getServiceName(), fromData(each.getUsages()));
            }
            Map<ServiceId, List<WorkspaceUsage>> own = mSentUsages.getOrDefault(address, Map.of());
            own.forEach(
                    (id, ownUsages) ->
                            service(id)
                                    .mShares
                                    .adoptSums(
                                            mLoop.nowNanos(),
                                            sums.getOrDefault(id.value(), List.of()),
                                            ownUsages,
                                            reply.getUsageGateways()));
        }
    }

    private static List<WorkspaceUsage> fromData(List<WorkspaceUsageData> data) {
        List<WorkspaceUsage> usages = new ArrayList<>(data.size());
        for (WorkspaceUsageData each : data) {
            usages.add(
                    new WorkspaceUsage(
                            each.getRank(),
                            each.getWorkspace(),
                            Math.max(0, each.getRunning()),
                            Math.max(0, each.getWaiting())));
        }
        return usages;
    }
}
