package org.hemlockrack.admission.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.scheduling.FairTurns;
import org.jspecify.annotations.Nullable;

/**
 * The queued requests of one priority class.
 *
 * <p>Workspaces are served by deficit round robin over the cost of their requests; within a
 * workspace the earliest deadline is served first.
 */
final class ClassQueue {
    private static final int QUANTUM = 4;

    private final Map<WorkspaceId, Flow> mFlows = new HashMap<>();
    private final ArrayDeque<Flow> mRoundRobin = new ArrayDeque<>();
    private final TreeMap<Long, QueuedRequest> mByArrival = new TreeMap<>();

    private static final class Flow {
        private final TreeSet<QueuedRequest> mQueued = new TreeSet<>();
        private long mDeficit;
    }

    int size() {
        return mByArrival.size();
    }

    void add(QueuedRequest item) {
        Flow flow = mFlows.get(item.request().workspace());
        if (flow == null) {
            flow = new Flow();
            flow.mDeficit = QUANTUM;
            mFlows.put(item.request().workspace(), flow);
            mRoundRobin.add(flow);
        }
        flow.mQueued.add(item);
        mByArrival.put(item.arrivalNumber(), item);
    }

    QueuedRequest take() {
        Flow flow = mRoundRobin.getFirst();
        while (flow.mDeficit < flow.mQueued.first().cost()) {
            flow.mDeficit += QUANTUM;
            mRoundRobin.add(mRoundRobin.removeFirst());
            flow = mRoundRobin.getFirst();
        }
        QueuedRequest item = flow.mQueued.first();
        flow.mDeficit -= item.cost();
        remove(item);
        return item;
    }

    void remove(QueuedRequest item) {
        WorkspaceId workspace = item.request().workspace();
        Flow flow = mFlows.get(workspace);
        if (flow == null || !flow.mQueued.remove(item)) {
            return;
        }
        mByArrival.remove(item.arrivalNumber());
        if (flow.mQueued.isEmpty()) {
            mFlows.remove(workspace);
            mRoundRobin.remove(flow);
        }
    }

    QueuedRequest newest() {
        return mByArrival.lastEntry().getValue();
    }

    @Nullable QueuedRequest newestOf(WorkspaceId workspace) {
        Flow flow = mFlows.get(workspace);
        if (flow == null) {
            return null;
        }
        QueuedRequest newest = flow.mQueued.first();
        for (QueuedRequest item : flow.mQueued) {
            newest = item.arrivalNumber() > newest.arrivalNumber() ? item : newest;
        }
        return newest;
    }

    /**
     * Estimates how many queued requests of this class are served before a new one of a workspace,
     * as if all had the same cost.
     */
    int requestsBefore(WorkspaceId workspace) {
        List<Integer> others = new ArrayList<>(mFlows.size());
        mFlows.forEach(
                (other, flow) -> {
                    if (!other.equals(workspace)) {
                        others.add(flow.mQueued.size());
                    }
                });
        return (int) FairTurns.countBefore(sizeOf(workspace), others);
    }

    int sizeOf(WorkspaceId workspace) {
        Flow flow = mFlows.get(workspace);
        return flow == null ? 0 : flow.mQueued.size();
    }
}
