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
import org.hemlockrack.rollout.ControllerOutput;
import org.hemlockrack.rollout.FencingToken;
import org.hemlockrack.rollout.Order;
import org.hemlockrack.rollout.OrderKind;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutSettings;
import org.hemlockrack.rollout.RolloutStatus;
import org.hemlockrack.rollout.Stages;

/**
 * Which backend servers load and unload which version. The weight store serves a bounded number of
 * loads at a time, so loads are ordered ahead of the stages that need them. The order of servers is
 * fixed by a hash, so a new controller asks the same servers that still load for an earlier one.
 */
public final class LoadPlan {
    private static final int MAX_OPEN_UNLOADS = 8;

    /** Weight of the newest load in the smoothed load time. */
    private static final double LOAD_TIME_WEIGHT = 0.25;

    /** Loads are ordered for all stages if they may take more than this share of the time. */
    private static final double TIGHT_SHARE = 0.5;

    private final RolloutSettings mSettings;
    private final Map<BackendId, BackendStatus> mBackends = new TreeMap<>();
    private final Map<BackendId, Open> mOpen = new HashMap<>();
    private final Map<BackendId, Order> mNewest = new HashMap<>();
    private final Map<BackendId, Long> mRetryNanos = new HashMap<>();
    private final Map<Long, Long> mEndedNanos = new HashMap<>();
    private double mLoadNanos;
    private long mSequence;

    /** An order that has not been seen to take effect. */
    private record Open(Order order, long sentNanos) {}

    private LoadPlan(RolloutSettings settings) {
        mSettings = settings;
        mLoadNanos = settings.loadEstimateNanos();
    }

    /**
     * Creates a plan without servers.
     *
     * @param settings settings
     * @return the plan
     */
    public static LoadPlan of(RolloutSettings settings) {
        return new LoadPlan(settings);
    }

    /**
     * Notes the status of a server.
     *
     * @param nowNanos monotonic time
     * @param status the status
     */
    public void seen(long nowNanos, BackendStatus status) {
        mBackends.put(status.backend(), status);
        Open open = mOpen.get(status.backend());
        if (open == null || !done(open.order(), status)) {
            return;
        }
        mOpen.remove(status.backend());
        if (open.order().kind() == OrderKind.LOAD) {
            mLoadNanos += LOAD_TIME_WEIGHT * (nowNanos - open.sentNanos() - mLoadNanos);
        }
    }

    /**
     * Forgets a server.
     *
     * @param backend the server
     */
    public void gone(BackendId backend) {
        mBackends.remove(backend);
        mOpen.remove(backend);
        mNewest.remove(backend);
        mRetryNanos.remove(backend);
    }

    /**
     * Notes that an order did not take effect; the server is asked again after others.
     *
     * @param nowNanos monotonic time
     * @param order the order
     */
    public void failed(long nowNanos, Order order) {
        Open open = mOpen.get(order.backend());
        if (open != null && open.order().equals(order)) {
            mOpen.remove(order.backend());
            mRetryNanos.put(order.backend(), nowNanos + TimeUnit.SECONDS.toNanos(2));
        }
    }

    /** Forgets the orders of an earlier authority. */
    public void forgetOrders() {
        mOpen.clear();
        mNewest.clear();
        mRetryNanos.clear();
        mEndedNanos.clear();
        mSequence = 0;
    }

    /** Returns whether the authority has no sequence numbers left. */
    public boolean exhausted() {
        return mSequence >= FencingToken.MAX_SEQUENCE - 1;
    }

    /**
     * Returns whether an order is the newest for its server.
     *
     * @param order the order
     * @return true if no newer one was given
     */
    public boolean isNewest(Order order) {
        return order.equals(mNewest.get(order.backend()));
    }

    /**
     * Returns whether enough ready servers have loaded the new version for a stage.
     *
     * @param rollout the roll-out
     * @param stage number of the stage
     * @return true if they have
     */
    public boolean enough(Rollout rollout, int stage) {
        return loaded(rollout) >= needed(rollout, stage);
    }

    /**
     * Describes how far loading is.
     *
     * @param rollout the roll-out
     * @param stage number of the stage
     * @return the text
     */
    public String describe(Rollout rollout, int stage) {
        return String.format(
                "%d of %d backend servers had loaded the version",
                loaded(rollout), needed(rollout, stage));
    }

    /**
     * Gives the orders that are due.
     *
     * @param nowNanos monotonic time
     * @param nowMillis leader time
     * @param authority authority of the controller
     * @param rollouts the roll-outs
     * @param out receives the orders
     */
    public void order(
            long nowNanos,
            long nowMillis,
            long authority,
            List<Rollout> rollouts,
            Consumer<? super ControllerOutput> out) {
        mOpen.values()
                .removeIf(open -> nowNanos >= open.sentNanos() + mSettings.loadTimeoutNanos());
        for (Rollout rollout : rollouts) {
            int wanted = wanted(rollout, nowMillis);
            int missing = wanted - loaded(rollout) - open(rollout.to());
            for (BackendStatus server : loadCandidates(nowNanos, rollout)) {
                if (missing <= 0 || openCount(OrderKind.LOAD) >= mSettings.maxConcurrentLoads()) {
                    break;
                }
                missing--;
                send(nowNanos, authority, OrderKind.LOAD, server, rollout.to(), out);
            }
            if (!rollout.isRunning() && drained(nowNanos, rollout)) {
                unload(nowNanos, authority, rollout, out);
            }
        }
    }

    private int wanted(Rollout rollout, long nowMillis) {
        if (rollout.status() == RolloutStatus.COMPLETED) {
            return needed(rollout, Stages.last());
        }
        if (!rollout.isRunning()) {
            return 0;
        }
        int all = needed(rollout, Stages.last());
        double waves = Math.ceil((double) (all - loaded(rollout)) / mSettings.maxConcurrentLoads());
        double remainingMillis = rollout.deadlineMillis() - nowMillis;
        boolean tight = waves * mLoadNanos / 1e6 > TIGHT_SHARE * remainingMillis;
        return tight ? all : needed(rollout, Math.min(rollout.stage() + 1, Stages.last()));
    }

    private int needed(Rollout rollout, int stage) {
        int servers = 0;
        for (BackendStatus server : mBackends.values()) {
            if (server.ready() && server.service().equals(rollout.service())) {
                servers++;
            }
        }
        double share = Stages.share(stage, rollout.firstShare());
        return Math.max(1, (int) Math.ceil(share * servers));
    }

    private int loaded(Rollout rollout) {
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
            if (usable && free(nowNanos, server.backend())) {
                candidates.add(server);
            }
        }
        candidates.sort(
                Comparator.comparingLong((BackendStatus each) -> rank(rollout.id(), each.backend()))
                        .thenComparing(BackendStatus::backend));
        return candidates;
    }

    private boolean free(long nowNanos, BackendId backend) {
        return !mOpen.containsKey(backend)
                && nowNanos >= mRetryNanos.getOrDefault(backend, Long.MIN_VALUE);
    }

    private boolean drained(long nowNanos, Rollout rollout) {
        long ended = mEndedNanos.computeIfAbsent(rollout.id(), id -> nowNanos);
        return nowNanos >= ended + mSettings.drainNanos();
    }

    /** A version is unloaded only where the other one is loaded. */
    private void unload(
            long nowNanos,
            long authority,
            Rollout rollout,
            Consumer<? super ControllerOutput> out) {
        boolean completed = rollout.status() == RolloutStatus.COMPLETED;
        ModelVersion keep = completed ? rollout.to() : rollout.from();
        ModelVersion drop = completed ? rollout.from() : rollout.to();
        for (BackendStatus server : mBackends.values()) {
            boolean both = server.versions().contains(keep) && server.versions().contains(drop);
            if (openCount(OrderKind.UNLOAD) >= MAX_OPEN_UNLOADS) {
                return;
            }
            if (both
                    && server.service().equals(rollout.service())
                    && free(nowNanos, server.backend())) {
                send(nowNanos, authority, OrderKind.UNLOAD, server, drop, out);
            }
        }
    }

    private void send(
            long nowNanos,
            long authority,
            OrderKind kind,
            BackendStatus server,
            ModelVersion version,
            Consumer<? super ControllerOutput> out) {
        if (exhausted()) {
            return;
        }
        FencingToken fence = new FencingToken(authority, ++mSequence);
        Order order = new Order(fence, kind, server.backend(), version);
        mOpen.put(server.backend(), new Open(order, nowNanos));
        mNewest.put(server.backend(), order);
        out.accept(new ControllerOutput.SendOrder(server.owner(), order));
    }

    private int open(ModelVersion version) {
        int count = 0;
        for (Open open : mOpen.values()) {
            boolean load = open.order().kind() == OrderKind.LOAD;
            if (load && open.order().version().equals(version)) {
                count++;
            }
        }
        return count;
    }

    private int openCount(OrderKind kind) {
        int count = 0;
        for (Open open : mOpen.values()) {
            if (open.order().kind() == kind) {
                count++;
            }
        }
        return count;
    }

    private static boolean done(Order order, BackendStatus status) {
        boolean has = status.versions().contains(order.version());
        return has == (order.kind() == OrderKind.LOAD);
    }

    private static long rank(long rolloutId, BackendId backend) {
        return Hashing.murmur3_128((int) rolloutId)
                .hashString(backend.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
