package org.hemlockrack.admission.internal;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hemlockrack.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * The waiting requests of one priority class.
 *
 * <p>Workspaces take turns by deficit round robin over the cost of their requests; within a
 * workspace the earliest deadline is first.
 */
final class ClassQueue {
    private static final int QUANTUM = 4;

    private final Map<WorkspaceId, Flow> mFlows = new HashMap<>();
    private final ArrayDeque<Flow> mTurns = new ArrayDeque<>();
    private final TreeMap<Long, Queued> mByOrder = new TreeMap<>();

    private static final class Flow {
        private final TreeSet<Queued> mWaiting = new TreeSet<>();
        private long mDeficit;
    }

    int size() {
        return mByOrder.size();
    }

    void add(Queued item) {
        Flow flow = mFlows.get(item.request().workspace());
        if (flow == null) {
            flow = new Flow();
            flow.mDeficit = QUANTUM;
            mFlows.put(item.request().workspace(), flow);
            mTurns.add(flow);
        }
        flow.mWaiting.add(item);
        mByOrder.put(item.order(), item);
    }

    Queued take() {
        Flow flow = mTurns.getFirst();
        while (flow.mDeficit < flow.mWaiting.first().cost()) {
            flow.mDeficit += QUANTUM;
            mTurns.add(mTurns.removeFirst());
            flow = mTurns.getFirst();
        }
        Queued item = flow.mWaiting.first();
        flow.mDeficit -= item.cost();
        remove(item);
        return item;
    }

    void remove(Queued item) {
        WorkspaceId workspace = item.request().workspace();
        Flow flow = mFlows.get(workspace);
        if (flow == null || !flow.mWaiting.remove(item)) {
            return;
        }
        mByOrder.remove(item.order());
        if (flow.mWaiting.isEmpty()) {
            mFlows.remove(workspace);
            mTurns.remove(flow);
        }
    }

    Queued newest() {
        return mByOrder.lastEntry().getValue();
    }

    @Nullable Queued newestOf(WorkspaceId workspace) {
        Flow flow = mFlows.get(workspace);
        if (flow == null) {
            return null;
        }
        Queued newest = flow.mWaiting.first();
        for (Queued item : flow.mWaiting) {
            newest = item.order() > newest.order() ? item : newest;
        }
        return newest;
    }

    /** Returns how many requests a new last one of a workspace waits for under fair turns. */
    int turnsBefore(WorkspaceId workspace) {
        int own = sizeOf(workspace);
        int before = own;
        for (Map.Entry<WorkspaceId, Flow> entry : mFlows.entrySet()) {
            if (!entry.getKey().equals(workspace)) {
                before += Math.min(own + 1, entry.getValue().mWaiting.size());
            }
        }
        return before;
    }

    int sizeOf(WorkspaceId workspace) {
        Flow flow = mFlows.get(workspace);
        return flow == null ? 0 : flow.mWaiting.size();
    }
}
