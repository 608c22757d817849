package org.hemlockrack.admission.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.hemlockrack.admission.AdmissionEvent.Arrived;
import org.hemlockrack.admission.AdmissionSettings;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.scheduling.DeadlineIndex;
import org.jspecify.annotations.Nullable;

/**
 * The bounded request queue of one backend server.
 *
 * <p>The highest priority class with queued requests is served first, except that each lower class
 * with queued requests gets at least its weight out of every {@link #totalWeight()} requests taken.
 * Lower classes thus delay a class by no more than their weights, however long their queues are.
 */
public final class RequestQueue {
    private static final Priority[] CLASSES = Priority.values();

    private final ClassQueue[] mClasses = new ClassQueue[CLASSES.length];
    private final int[] mCredit = new int[CLASSES.length];
    private final DeadlineIndex<QueuedRequest> mIndex = DeadlineIndex.create();
    private AdmissionSettings.Queue mSettings;
    private long mNextArrivalNumber;

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

    /** Returns the number of queued requests. */
    public int size() {
        return mIndex.size();
    }

    /**
     * Returns whether a request is queued.
     *
     * @param requestId its id
     * @return true if it is queued
     */
    public boolean contains(String requestId) {
        return mIndex.get(requestId) != null;
    }

    /**
     * Adds a request; if a bound is exceeded, the newest request of the lowest class is removed.
     * For the bound of a workspace only its own requests are considered.
     *
     * @param request the request
     * @return the removed request, possibly the added one, or null
     */
    public @Nullable Arrived add(Arrived request) {
        QueuedRequest item = new QueuedRequest(request, mNextArrivalNumber++);
        insert(item);
        QueuedRequest excess = null;
        if (sizeOf(request.workspace()) > mSettings.maxPerWorkspace()) {
            excess = newestOfLowestClassOf(request.workspace());
        } else if (size() > mSettings.maxLength()) {
            excess = newestOfLowestClass();
        }
        if (excess == null) {
            return null;
        }
        remove(excess);
        return excess.request();
    }

    /** Removes and returns the next request to serve, or null if the queue is empty. */
    public @Nullable Arrived take() {
        int chosen = chooseClass();
        if (chosen < 0) {
            return null;
        }
        QueuedRequest item = mClasses[chosen].take();
        mIndex.remove(item);
        clearIdleCredit();
        return item.request();
    }

    /**
     * Removes a request.
     *
     * @param requestId its id
     * @return true if it was queued
     */
    public boolean remove(String requestId) {
        QueuedRequest item = mIndex.get(requestId);
        if (item == null) {
            return false;
        }
        remove(item);
        return true;
    }

    /** Removes and returns all requests, earliest deadline first. */
    public List<Arrived> removeAll() {
        return removeItems(mIndex.all());
    }

    /**
     * Removes and returns the requests whose deadline is at or before a time.
     *
     * @param timeNanos the time
     * @return the requests
     */
    public List<Arrived> removeExpired(long timeNanos) {
        return removeItems(mIndex.expired(timeNanos));
    }

    private List<Arrived> removeItems(List<QueuedRequest> items) {
        List<Arrived> removed = new ArrayList<>(items.size());
        for (QueuedRequest item : items) {
            remove(item);
            removed.add(item.request());
        }
        return removed;
    }

    /** Returns the earliest deadline, or {@link Long#MAX_VALUE}. */
    public long earliestDeadlineNanos() {
        return mIndex.earliestDeadlineNanos();
    }

    /**
     * Estimates how many queued requests are served before a new one: those of higher classes,
     * those of its own class under fair queueing between workspaces, and the share of lower
     * classes.
     *
     * @param priority class of the new request
     * @param workspace its workspace
     * @return the number
     */
    public int countAhead(Priority priority, WorkspaceId workspace) {
        ClassQueue own = mClasses[priority.ordinal()];
        int ahead = Math.min(own.size(), own.requestsBefore(workspace));
        int lower = 0;
        int lowerWeight = 0;
        for (Priority other : CLASSES) {
            int queued = mClasses[other.ordinal()].size();
            if (other.isHigherThan(priority)) {
                ahead += queued;
            } else if (other != priority && queued > 0) {
                lower += queued;
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
     * @return the requests removed because they exceed the new bounds
     */
    public List<Arrived> updateSettings(AdmissionSettings.Queue settings) {
        mSettings = settings;
        List<Arrived> excess = new ArrayList<>();
        while (size() > mSettings.maxLength()) {
            QueuedRequest item = newestOfLowestClass();
            remove(item);
            excess.add(item.request());
        }
        List<QueuedRequest> latestFirst = mIndex.all();
        Collections.reverse(latestFirst);
        for (QueuedRequest item : latestFirst) {
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

    private void insert(QueuedRequest item) {
        mClasses[item.request().priority().ordinal()].add(item);
        mIndex.add(item);
    }

    private void remove(QueuedRequest item) {
        mClasses[item.request().priority().ordinal()].remove(item);
        mIndex.remove(item);
        clearIdleCredit();
    }

    private int sizeOf(WorkspaceId workspace) {
        int size = 0;
        for (ClassQueue queue : mClasses) {
            size += queue.sizeOf(workspace);
        }
        return size;
    }

    private QueuedRequest newestOfLowestClass() {
        int lowest = mClasses.length - 1;
        while (mClasses[lowest].size() == 0) {
            lowest--;
        }
        return mClasses[lowest].newest();
    }

    private @Nullable QueuedRequest newestOfLowestClassOf(WorkspaceId workspace) {
        for (int i = mClasses.length - 1; i >= 0; i--) {
            QueuedRequest newest = mClasses[i].newestOf(workspace);
            if (newest != null) {
                return newest;
            }
        }
        return null;
    }
}
