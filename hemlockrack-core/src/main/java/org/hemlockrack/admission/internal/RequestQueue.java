package org.hemlockrack.admission.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.hemlockrack.admission.AdmissionEvent.Arrived;
import org.hemlockrack.admission.AdmissionSettings;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * The bounded queue of one backend server.
 *
 * <p>The highest waiting class is served first, except that each lower class that waits is served
 * at least its weight out of every {@link #totalWeight()} takes. So a class is delayed by lower
 * classes by no more than their weights, however many of their requests wait.
 */
public final class RequestQueue {
    private static final Priority[] CLASSES = Priority.values();

    private final ClassQueue[] mClasses = new ClassQueue[CLASSES.length];
    private final int[] mCredit = new int[CLASSES.length];
    private final Map<String, Queued> mById = new HashMap<>();
    private final TreeSet<Queued> mByDeadline = new TreeSet<>();
    private AdmissionSettings.Queue mSettings;
    private long mNextOrder;

    private RequestQueue(AdmissionSettings.Queue settings) {
        mSettings = settings;
        for (int i = 0; i < mClasses.length; i++) {
            mClasses[i] = new ClassQueue();
        }
    }

    /**
     * Creates an empty queue.
     *
     * @param settings the bounds
     * @return the queue
     */
    public static RequestQueue create(AdmissionSettings.Queue settings) {
        return new RequestQueue(settings);
    }

    /** Returns the sum of the weights of all classes. */
    public static int totalWeight() {
        int total = 0;
        for (Priority priority : CLASSES) {
            total += priority.shareWeight();
        }
        return total;
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mById.size();
    }

    /**
     * Returns whether a request waits.
     *
     * @param requestId its id
     * @return true if it waits
     */
    public boolean contains(String requestId) {
        return mById.containsKey(requestId);
    }

    /**
     * Adds a request; when a bound is reached, the newest request of the lowest class leaves.
     *
     * @param request the request
     * @return the request that has no place, possibly the added one, or null
     */
    public @Nullable Arrived add(Arrived request) {
        Queued item = new Queued(request, mNextOrder++);
        insert(item);
        Queued excess = null;
        if (sizeOf(request.workspace()) > mSettings.maxPerWorkspace()) {
            excess = lowestNewestOf(request.workspace());
        } else if (size() > mSettings.maxLength()) {
            excess = lowestNewest();
        }
        if (excess == null) {
            return null;
        }
        remove(excess);
        return excess.request();
    }

    /** Returns the next request and removes it, or null if none waits. */
    public @Nullable Arrived take() {
        int chosen = chooseClass();
        if (chosen < 0) {
            return null;
        }
        Queued item = mClasses[chosen].take();
        forget(item);
        clearIdleCredit();
        return item.request();
    }

    /**
     * Removes a request.
     *
     * @param requestId its id
     * @return true if it was waiting
     */
    public boolean remove(String requestId) {
        Queued item = mById.get(requestId);
        if (item == null) {
            return false;
        }
        remove(item);
        return true;
    }

    /** Removes and returns all requests, oldest deadline first. */
    public List<Arrived> removeAll() {
        List<Arrived> all = new ArrayList<>(mByDeadline.size());
        while (!mByDeadline.isEmpty()) {
            Queued item = mByDeadline.first();
            remove(item);
            all.add(item.request());
        }
        return all;
    }

    /**
     * Removes and returns the requests whose deadline is at or before a time.
     *
     * @param timeNanos the time
     * @return the requests
     */
    public List<Arrived> removeDue(long timeNanos) {
        List<Arrived> due = new ArrayList<>();
        while (!mByDeadline.isEmpty()
                && mByDeadline.first().request().deadlineNanos() <= timeNanos) {
            Queued item = mByDeadline.first();
            remove(item);
            due.add(item.request());
        }
        return due;
    }

    /** Returns the earliest deadline, or {@link Long#MAX_VALUE}. */
    public long earliestDeadlineNanos() {
        return mByDeadline.isEmpty()
                ? Long.MAX_VALUE
                : mByDeadline.first().request().deadlineNanos();
    }

    /**
     * Returns how many waiting requests are served before a new one: its own class and above, and
     * the share of lower classes, as if each workspace of its class had as many requests as it.
     *
     * @param priority class of the new request
     * @param workspace its workspace
     * @return the number
     */
    public int ahead(Priority priority, WorkspaceId workspace) {
        ClassQueue own = mClasses[priority.ordinal()];
        int ahead = Math.min(own.size(), own.turnsBefore(workspace));
        int lower = 0;
        int lowerWeight = 0;
        for (Priority other : CLASSES) {
            int waiting = mClasses[other.ordinal()].size();
            if (other.isHigherThan(priority)) {
                ahead += waiting;
            } else if (other != priority && waiting > 0) {
                lower += waiting;
                lowerWeight += other.shareWeight();
            }
        }
        int total = totalWeight();
        return ahead + Math.min(lower, (ahead + 1) * lowerWeight / (total - lowerWeight));
    }

    /**
     * Replaces the bounds.
     *
     * @param settings the bounds
     * @return the requests that have no place any more
     */
    public List<Arrived> settings(AdmissionSettings.Queue settings) {
        mSettings = settings;
        List<Arrived> excess = new ArrayList<>();
        while (size() > mSettings.maxLength()) {
            Queued item = lowestNewest();
            remove(item);
            excess.add(item.request());
        }
        for (Queued item : new ArrayList<>(mByDeadline.descendingSet())) {
            if (sizeOf(item.request().workspace()) > mSettings.maxPerWorkspace()) {
                remove(item);
                excess.add(item.request());
            }
        }
        return excess;
    }

    private int chooseClass() {
        int highest = -1;
        int due = -1;
        for (int i = 0; i < mClasses.length; i++) {
            if (mClasses[i].size() == 0) {
                continue;
            }
            if (highest < 0) {
                highest = i;
                continue;
            }
            mCredit[i] += CLASSES[i].shareWeight();
            if (mCredit[i] >= totalWeight() && (due < 0 || mCredit[i] > mCredit[due])) {
                due = i;
            }
        }
        if (due < 0) {
            return highest;
        }
        mCredit[due] -= totalWeight();
        return due;
    }

    private void clearIdleCredit() {
        for (int i = 0; i < mClasses.length; i++) {
            mCredit[i] = mClasses[i].size() == 0 ? 0 : mCredit[i];
        }
    }

    private void insert(Queued item) {
        mClasses[item.request().priority().ordinal()].add(item);
        mById.put(item.request().requestId(), item);
        mByDeadline.add(item);
    }

    private void remove(Queued item) {
        mClasses[item.request().priority().ordinal()].remove(item);
        forget(item);
        clearIdleCredit();
    }

    private void forget(Queued item) {
        mById.remove(item.request().requestId());
        mByDeadline.remove(item);
    }

    private int sizeOf(WorkspaceId workspace) {
        int size = 0;
        for (ClassQueue queue : mClasses) {
            size += queue.sizeOf(workspace);
        }
        return size;
    }

    private Queued lowestNewest() {
        int lowest = mClasses.length - 1;
        while (mClasses[lowest].size() == 0) {
            lowest--;
        }
        return mClasses[lowest].newest();
    }

    private @Nullable Queued lowestNewestOf(WorkspaceId workspace) {
        for (int i = mClasses.length - 1; i >= 0; i--) {
            Queued newest = mClasses[i].newestOf(workspace);
            if (newest != null) {
                return newest;
            }
        }
        return null;
    }
}
