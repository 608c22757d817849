package org.hemlockrack.rollout.internal;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.rollout.BackendStatus;
import org.hemlockrack.rollout.FencingToken;
import org.hemlockrack.rollout.ModelOrder;
import org.hemlockrack.rollout.OrderKind;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutControllerOutput;
import org.hemlockrack.rollout.RolloutSettings;
import org.hemlockrack.rollout.RolloutStatus;
import org.hemlockrack.rollout.Stages;

/**
 * Schedules which backend servers load and unload which model version. The weight store serves a
 * limited number of loads at a time, so loads are ordered ahead of the stages that need them.
 * Servers are ranked by a hash, so a new controller chooses the servers that may still be loading
 * for its predecessor.
 */
public final class LoadScheduler {
    private static final int MAX_OPEN_UNLOADS = 8;

    /** Weight of the newest load in the moving average of load times. */
    private static final double LOAD_TIME_WEIGHT = 0.25;

    /**
     * The loads for all stages are ordered at once if they are expected to take more than this
     * share of the time until the deadline.
     */
    private static final double MAX_LOAD_TIME_SHARE = 0.5;

    private final RolloutSettings mSettings;
    private final Map<BackendId, BackendStatus> mBackends = new TreeMap<>();
    private final Map<BackendId, OpenOrder> mOpenOrders = new HashMap<>();
    private final Map<BackendId, ModelOrder> mNewestOrders = new HashMap<>();
    private final Map<BackendId, Long> mRetryAtNanos = new HashMap<>();
    private final Map<Long, Long> mEndSeenNanos = new HashMap<>();
    private double mSmoothedLoadNanos;
    private long mSequence;

    /** An order whose effect has not been announced yet. */
    private record OpenOrder(ModelOrder order, long sentNanos) {}

    private LoadScheduler(RolloutSettings settings) {
        mSettings = settings;
        mSmoothedLoadNanos = settings.loadEstimateNanos();
    }

    /**
     * Creates a scheduler without servers.
     *
     * @param settings settings
     * @return the scheduler
     */
    public static LoadScheduler of(RolloutSettings settings) {
        return new LoadScheduler(settings);
    }

    /**
     * Updates the status of a server, and closes its open order if the order has taken effect.
     *
     * @param nowNanos monotonic time
     * @param status the status
     */
    public void onBackendUpdated(long nowNanos, BackendStatus status) {
        mBackends.put(status.backend(), status);
        OpenOrder open = mOpenOrders.get(status.backend());
        if (open == null || !isDone(open.order(), status)) {
            return;
        }
        mOpenOrders.remove(status.backend());
        if (open.order().kind() == OrderKind.LOAD) {
            mSmoothedLoadNanos +=
                    LOAD_TIME_WEIGHT * (nowNanos - open.sentNanos() - mSmoothedLoadNanos);
        }
    }

    /**
     * Removes a server and its orders.
     *
     * @param backend the server
     */
    public void onBackendGone(BackendId backend) {
        mBackends.remove(backend);
        mOpenOrders.remove(backend);
        mNewestOrders.remove(backend);
        mRetryAtNanos.remove(backend);
    }

    /**
     * Closes an order that did not take effect. The server gets no order for 2 s, so that other
     * servers are tried first.
     *
     * @param nowNanos monotonic time
     * @param order the order
     */
    public void onOrderFailed(long nowNanos, ModelOrder order) {
        OpenOrder open = mOpenOrders.get(order.backend());
        if (open != null && open.order().equals(order)) {
            mOpenOrders.remove(order.backend());
            mRetryAtNanos.put(order.backend(), nowNanos + TimeUnit.SECONDS.toNanos(2));
        }
    }

    /** Discards the orders that were issued under an earlier authority number. */
    public void forgetOrders() {
        mOpenOrders.clear();
        mNewestOrders.clear();
        mRetryAtNanos.clear();
        mEndSeenNanos.clear();
        mSequence = 0;
    }

    /** Returns whether the current authority number has no sequence numbers left. */
    public boolean isSequenceExhausted() {
        return mSequence >= FencingToken.MAX_SEQUENCE - 1;
    }

    /**
     * Returns whether an order is the newest for its server.
     *
     * @param order the order
     * @return true if no newer one was issued
     */
    public boolean isNewest(ModelOrder order) {
        return order.equals(mNewestOrders.get(order.backend()));
    }

    /**
     * Returns whether the number of ready servers that have loaded the new version is sufficient
     * for a stage.
     *
     * @param rollout the roll-out
     * @param stage number of the stage
     * @return true if it is
     */
    public boolean hasEnoughLoaded(Rollout rollout, int stage) {
        return loadedServers(rollout) >= requiredServers(rollout, stage);
    }

    /**
     * Describes how many servers have loaded the new version.
     *
     * @param rollout the roll-out
     * @param stage number of the stage
     * @return a text for operators
     */
    public String describeProgress(Rollout rollout, int stage) {
        return String.format(
                "%d of %d backend servers had loaded the version",
                loadedServers(rollout), requiredServers(rollout, stage));
    }

    /**
     * Issues the orders that are due.
     *
     * @param nowNanos monotonic time
     * @param nowMillis leader time
     * @param authority authority number of the controller
     * @param rollouts running and ended roll-outs
     * @param out receives the orders
     */
    public void issueOrders(
            long nowNanos,
            long nowMillis,
            long authority,
            List<Rollout> rollouts,
            Consumer<? super RolloutControllerOutput> out) {
        mOpenOrders
                .values()
                .removeIf(open -> nowNanos >= open.sentNanos() + mSettings.loadTimeoutNanos());
        for (Rollout rollout : rollouts) {
            int wantedServers = wantedServers(rollout, nowMillis);
            int missing = wantedServers - loadedServers(rollout) - countOpenLoads(rollout.to());
            for (BackendStatus server : loadCandidates(nowNanos, rollout)) {
                if (missing <= 0
                        || countOpenOrders(OrderKind.LOAD) >= mSettings.maxConcurrentLoads()) {
                    break;
                }
                missing--;
                issueOrder(nowNanos, authority, OrderKind.LOAD, server, rollout.to(), out);
            }
            if (!rollout.isRunning() && isDrained(nowNanos, rollout)) {
                issueUnloads(nowNanos, authority, rollout, out);
            }
        }
    }

    /** Returns how many servers should have the new version loaded by now. */
    private int wantedServers(Rollout rollout, long nowMillis) {
        if (rollout.status() == RolloutStatus.COMPLETED) {
            return requiredServers(rollout, Stages.last());
        }
        if (!rollout.isRunning()) {
            return 0;
        }
        int requiredAtEnd = requiredServers(rollout, Stages.last());
        double loadRounds =
                Math.ceil(
                        (double) (requiredAtEnd - loadedServers(rollout))
                                / mSettings.maxConcurrentLoads());
        double remainingMillis = rollout.deadlineMillis() - nowMillis;
        boolean orderAll =
                loadRounds * mSmoothedLoadNanos / 1e6 > MAX_LOAD_TIME_SHARE * remainingMillis;
        return orderAll
                ? requiredAtEnd
                : requiredServers(rollout, Math.min(rollout.stage() + 1, Stages.last()));
    }

    /** Returns how many servers must have loaded the new version for a stage. */
    private int requiredServers(Rollout rollout, int stage) {
        int servers = 0;
        for (BackendStatus server : mBackends.values()) {
            if (server.ready() && server.service().equals(rollout.service())) {
                servers++;
            }
        }
        double share = Stages.share(stage, rollout.firstShare());
        return Math.max(1, (int) Math.ceil(share * servers));
    }

    private int loadedServers(Rollout rollout) {
        int loaded = 0;
        for (BackendStatus server : mBackends.values()) {
            if (server.ready()
                    && server.service().equals(rollout.service())
                    && server.versions().contains(rollout.to())) {
                loaded++;
            }
        }
        return loaded;
    }

    private List<BackendStatus> loadCandidates(long nowNanos, Rollout rollout) {
        List<BackendStatus> candidates = new ArrayList<>();
        for (BackendStatus server : mBackends.values()) {
            boolean usable =
                    server.ready()
                            && server.service().equals(rollout.service())
                            && !server.versions().contains(rollout.to());
            if (usable && isAvailable(nowNanos, server.backend())) {
                candidates.add(server);
            }
        }
        candidates.sort(
                Comparator.comparingLong((BackendStatus each) -> rank(rollout.id(), each.backend()))
                        .thenComparing(BackendStatus::backend));
        return candidates;
    }

    private boolean isAvailable(long nowNanos, BackendId backend) {
        return !mOpenOrders.containsKey(backend)
                && nowNanos >= mRetryAtNanos.getOrDefault(backend, Long.MIN_VALUE);
    }

    /** Returns whether the drain time after the end of a roll-out has passed. */
    private boolean isDrained(long nowNanos, Rollout rollout) {
        long endSeenNanos = mEndSeenNanos.computeIfAbsent(rollout.id(), id -> nowNanos);
        return nowNanos >= endSeenNanos + mSettings.drainNanos();
    }

    /**
     * Unloads the version that is no longer used, only from servers that have the other one loaded.
     */
    private void issueUnloads(
            long nowNanos,
            long authority,
            Rollout rollout,
            Consumer<? super RolloutControllerOutput> out) {
        boolean completed = rollout.status() == RolloutStatus.COMPLETED;
        ModelVersion keep = completed ? rollout.to() : rollout.from();
        ModelVersion drop = completed ? rollout.from() : rollout.to();
        for (BackendStatus server : mBackends.values()) {
            boolean hasBoth = server.versions().contains(keep) && server.versions().contains(drop);
            if (countOpenOrders(OrderKind.UNLOAD) >= MAX_OPEN_UNLOADS) {
                return;
            }
            if (hasBoth
                    && server.service().equals(rollout.service())
                    && isAvailable(nowNanos, server.backend())) {
                issueOrder(nowNanos, authority, OrderKind.UNLOAD, server, drop, out);
            }
        }
    }

    private void issueOrder(
            long nowNanos,
            long authority,
            OrderKind kind,
            BackendStatus server,
            ModelVersion version,
            Consumer<? super RolloutControllerOutput> out) {
        if (isSequenceExhausted()) {
            return;
        }
        FencingToken fencingToken = new FencingToken(authority, ++mSequence);
        ModelOrder order = new ModelOrder(fencingToken, kind, server.backend(), version);
        mOpenOrders.put(server.backend(), new OpenOrder(order, nowNanos));
        mNewestOrders.put(server.backend(), order);
        out.accept(new RolloutControllerOutput.SendOrder(server.owner(), order));
    }

    private int countOpenLoads(ModelVersion version) {
        int count = 0;
        for (OpenOrder open : mOpenOrders.values()) {
            boolean isLoad = open.order().kind() == OrderKind.LOAD;
            if (isLoad && open.order().version().equals(version)) {
                count++;
            }
        }
        return count;
    }

    private int countOpenOrders(OrderKind kind) {
        int count = 0;
        for (OpenOrder open : mOpenOrders.values()) {
            if (open.order().kind() == kind) {
                count++;
            }
        }
        return count;
    }

    private static boolean isDone(ModelOrder order, BackendStatus status) {
        boolean isLoaded = status.versions().contains(order.version());
        return isLoaded == (order.kind() == OrderKind.LOAD);
    }

    /** Returns the rank of a server in the order of loading, the same for all controllers. */
    private static long rank(long rolloutId, BackendId backend) {
        return Hashing.murmur3_128((int) rolloutId)
                .hashString(backend.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
