package org.hemlockrack.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Waiting requests by id and by deadline. Not thread-safe.
 *
 * @param <T> type of the requests
 */
public final class DeadlineIndex<T extends Waiting> {
    private final Map<String, T> mById = new HashMap<>();
    private final TreeSet<T> mByDeadline = new TreeSet<>(Waiting.BY_DEADLINE);

    private DeadlineIndex() {}

    /**
     * Creates an empty index.
     *
     * @param <T> type of the requests
     */
    public static <T extends Waiting> DeadlineIndex<T> create() {
        return new DeadlineIndex<>();
    }

    /** Returns the number of requests. */
    public int size() {
        return mById.size();
    }

    /**
     * Returns a request.
     *
     * @param id its id
     * @return the request, or null if it does not wait
     */
    public @Nullable T get(String id) {
        return mById.get(id);
    }

    /**
     * Adds a request.
     *
     * @param request a request whose id does not wait yet
     */
    public void add(T request) {
        mById.put(request.id(), request);
        mByDeadline.add(request);
    }

    /**
     * Removes a request.
     *
     * @param request the request
     */
    public void remove(T request) {
        mById.remove(request.id());
        mByDeadline.remove(request);
    }

    /** Returns all requests, earliest deadline first. */
    public List<T> all() {
        return new ArrayList<>(mByDeadline);
    }

    /**
     * Returns the requests whose deadline is at or before a time.
     *
     * @param timeNanos the time
     * @return the requests, earliest deadline first
     */
    public List<T> expired(long timeNanos) {
        List<T> due = new ArrayList<>();
        for (T request : mByDeadline) {
            if (request.deadlineNanos() > timeNanos) {
                break;
            }
            due.add(request);
        }
        return due;
    }

    /** Returns the earliest deadline, or {@link Long#MAX_VALUE}. */
    public long earliestDeadlineNanos() {
        return mByDeadline.isEmpty() ? Long.MAX_VALUE : mByDeadline.first().deadlineNanos();
    }
}
