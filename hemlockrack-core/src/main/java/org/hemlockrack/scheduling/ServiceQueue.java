package org.hemlockrack.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The requests that wait at one gateway for a free slot of one service. Not thread-safe.
 *
 * <p>The most urgent rank is served first. Within a rank, workspaces above their share are served
 * after the others; then retries precede first attempts, then the workspace that uses least in
 * relation to its weight is next, then the oldest request.
 */
public final class ServiceQueue {
    private final QueueBounds mBounds;
    private final DeadlineIndex<QueuedCall> mIndex = DeadlineIndex.create();
    private final TreeMap<Integer, Map<String, Flow>> mRanks = new TreeMap<>();
    private long mBytes;

    /** The waiting requests of one rank and workspace. */
    private static final class Flow {
        private final TreeMap<Long, QueuedCall> mRetries = new TreeMap<>();
        private final TreeMap<Long, QueuedCall> mFirstAttempts = new TreeMap<>();

        private TreeMap<Long, QueuedCall> listOf(QueuedCall call) {
            return call.isRetry() ? mRetries : mFirstAttempts;
        }

        private int size() {
            return mRetries.size() + mFirstAttempts.size();
        }

        private QueuedCall first() {
            return (mRetries.isEmpty() ? mFirstAttempts : mRetries).firstEntry().getValue();
        }

        private QueuedCall last() {
            return (mFirstAttempts.isEmpty() ? mRetries : mFirstAttempts).lastEntry().getValue();
        }

        private List<QueuedCall> inOrder() {
            List<QueuedCall> calls = new ArrayList<>(mRetries.values());
            calls.addAll(mFirstAttempts.values());
            return calls;
        }
    }

    private ServiceQueue(QueueBounds bounds) {
        mBounds = bounds;
    }

    /**
     * Creates an empty queue.
     *
     * @param bounds its bounds
     */
    public static ServiceQueue create(QueueBounds bounds) {
        return new ServiceQueue(bounds);
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mIndex.size();
    }

    /** Returns the memory that the waiting requests hold. */
    public long bytes() {
        return mBytes;
    }

    /** Returns the waiting requests, earliest deadline first. */
    public List<QueuedCall> waiting() {
        return mIndex.all();
    }

    /**
     * Returns how many requests of the same or a more urgent rank wait.
     *
     * @param rank the rank
     */
    public int sizeUpTo(int rank) {
        int size = 0;
        for (Map<String, Flow> flows : mRanks.headMap(rank, true).values()) {
            size += sizeOf(flows.values());
        }
        return size;
    }

    /**
     * Returns the number of waiting requests by turn class.
     *
     * @param view who uses how much of the service
     */
    public Map<Integer, Integer> sizeByTurnClass(ShareView view) {
        Map<Integer, Integer> sizes = new HashMap<>();
        mRanks.forEach(
                (rank, flows) ->
                        flows.forEach(
                                (workspace, flow) ->
                                        sizes.merge(
                                                view.turnClass(rank, workspace),
                                                flow.size(),
                                                Integer::sum)));
        return sizes;
    }

    private static int sizeOf(Collection<Flow> flows) {
        int size = 0;
        for (Flow flow : flows) {
            size += flow.size();
        }
        return size;
    }

    /**
     * Adds a request, and removes those that would be served last if a bound is exceeded.
     *
     * @param call the request, which must not wait yet
     * @param view who uses how much of the service
     * @return the removed requests, possibly the added one
     */
    public List<Removal> add(QueuedCall call, ShareView view) {
        mIndex.add(call);
        mBytes += call.bytes();
        Flow flow =
                mRanks.computeIfAbsent(call.rank(), key -> new HashMap<>())
                        .computeIfAbsent(call.workspace(), key -> new Flow());
        flow.listOf(call).put(call.arrivalNumber(), call);
        List<Removal> removed = new ArrayList<>();
        while (size() > mBounds.maxRequests() || mBytes > mBounds.maxBytes()) {
            QueuedCall last = lastInOrder(view);
            remove(last.id());
            removed.add(new Removal(last, Removal.Reason.QUEUE_FULL));
        }
        return removed;
    }

    /** Returns the newest request of the workspace that uses and demands most in the last rank. */
    private QueuedCall lastInOrder(ShareView view) {
        Flow last = null;
        double mostDemand = 0;
        for (Map.Entry<String, Flow> each : mRanks.lastEntry().getValue().entrySet()) {
            double demand = view.usagePerWeight(each.getKey()) + each.getValue().size();
            if (last == null || demand > mostDemand) {
                last = each.getValue();
                mostDemand = demand;
            }
        }
        return last.last();
    }

    /**
     * Returns the request to serve next, which keeps waiting.
     *
     * @param view who uses how much of the service
     * @return the request, or null if none waits
     */
    public @Nullable QueuedCall next(ShareView view) {
        if (mRanks.isEmpty()) {
            return null;
        }
        QueuedCall next = null;
        for (Flow flow : mRanks.firstEntry().getValue().values()) {
            QueuedCall call = flow.first();
            if (next == null || precedes(call, next, view)) {
                next = call;
            }
        }
        return next;
    }

    /**
     * Returns whether one request is served before another.
     *
     * @param a the one
     * @param b the other
     * @param view who uses how much of the service
     */
    public static boolean precedes(QueuedCall a, QueuedCall b, ShareView view) {
        if (a.rank() != b.rank()) {
            return a.rank() < b.rank();
        }
        boolean isAAbove = view.isAboveShare(a.workspace());
        if (isAAbove != view.isAboveShare(b.workspace())) {
            return !isAAbove;
        }
        if (a.isRetry() != b.isRetry()) {
            return a.isRetry();
        }
        int byUsage =
                Double.compare(
                        view.usagePerWeight(a.workspace()), view.usagePerWeight(b.workspace()));
        return byUsage != 0 ? byUsage < 0 : a.arrivalNumber() < b.arrivalNumber();
    }

    /**
     * Removes a request that is served now, or whose caller has left.
     *
     * @param id its id
     * @return the request, or null if it did not wait
     */
    public @Nullable QueuedCall remove(String id) {
        QueuedCall call = mIndex.get(id);
        if (call == null) {
            return null;
        }
        mIndex.remove(call);
        mBytes -= call.bytes();
        Map<String, Flow> flows = mRanks.get(call.rank());
        Flow flow = flows.get(call.workspace());
        flow.listOf(call).remove(call.arrivalNumber());
        if (flow.size() == 0) {
            flows.remove(call.workspace());
        }
        if (flows.isEmpty()) {
            mRanks.remove(call.rank());
        }
        return call;
    }

    /**
     * Removes the requests that should not wait any longer.
     *
     * @param nowNanos monotonic time
     * @param view who uses how much of the service
     * @param rate how fast this queue is served
     * @return the removed requests
     */
    public List<Removal> removeUnservable(long nowNanos, ShareView view, DrainRate rate) {
        List<Removal> removed = new ArrayList<>();
        for (QueuedCall call : mIndex.expired(nowNanos)) {
            removed.add(new Removal(call, Removal.Reason.DEADLINE));
            remove(call.id());
        }
        int moreUrgent = 0;
        for (int rank : List.copyOf(mRanks.keySet())) {
            for (String workspace : List.copyOf(mRanks.get(rank).keySet())) {
                removeUnservableOf(nowNanos, rank, workspace, moreUrgent, view, rate, removed);
            }
            moreUrgent += sizeOf(mRanks.getOrDefault(rank, Map.of()).values());
        }
        return removed;
    }

    private void removeUnservableOf(
            long nowNanos,
            int rank,
            String workspace,
            int moreUrgent,
            ShareView view,
            DrainRate rate,
            List<Removal> removed) {
        boolean isAbove = view.isClearlyAboveShare(workspace);
        int before = 0;
        List<Integer> others = new ArrayList<>();
        for (Map.Entry<String, Flow> each : mRanks.get(rank).entrySet()) {
            if (each.getKey().equals(workspace)) {
                continue;
            }
            boolean isOtherAbove = view.isClearlyAboveShare(each.getKey());
            if (isOtherAbove == isAbove) {
                others.add(each.getValue().size());
            } else if (isAbove) {
                before += each.getValue().size();
            }
        }
        int ownBefore = 0;
        for (QueuedCall call : mRanks.get(rank).get(workspace).inOrder()) {
            int ahead = (int) FairTurns.countBefore(ownBefore, others);
            long waitNanos = rate.estimateNanos(call, moreUrgent + before, ahead, view);
            Removal.Reason reason = unservableReason(nowNanos, call, waitNanos);
            if (reason == null) {
                ownBefore++;
                continue;
            }
            remove(call.id());
            removed.add(new Removal(call, reason));
        }
    }

    private Removal.@Nullable Reason unservableReason(
            long nowNanos, QueuedCall call, long waitNanos) {
        long waitedNanos = nowNanos - call.arrivalNanos();
        if (waitedNanos >= mBounds.maxWaitNanos()) {
            return Removal.Reason.MAX_WAIT;
        }
        if (waitNanos == DrainRate.UNKNOWN) {
            return waitedNanos >= call.holdLimitNanos() ? Removal.Reason.NO_ESTIMATE : null;
        }
        boolean isExpected =
                waitNanos <= call.deadlineNanos() - nowNanos
                        && waitNanos <= mBounds.maxWaitNanos() - waitedNanos;
        return isExpected ? null : Removal.Reason.NOT_EXPECTED;
    }

    /** Removes and returns all requests, earliest deadline first. */
    public List<QueuedCall> removeAll() {
        List<QueuedCall> all = waiting();
        all.forEach(call -> remove(call.id()));
        return all;
    }
}
