package org.hemlockrack.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.platform.TestFleet;
import org.jspecify.annotations.Nullable;

/**
 * Checks that planned stops lose no request: what a gateway has taken in ends with a complete
 * answer. Thread-safe.
 */
final class StopChecker {
    /** Time from SIGTERM to SIGKILL. */
    static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(8);

    /**
     * A request that was sent up to this time after SIGTERM may be cut if its server is still at
     * work in the last sixth of the grace period.
     */
    private static final long EARLY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long LAST_SIXTH_NANOS = GRACE_NANOS * 5 / 6;

    /**
     * Time after its last byte in which a request that is not passed on may lose its connection.
     */
    private static final long LOSS_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final long TIME_LIMIT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(StopRequest.TIME_LIMIT_MILLIS);

    /** Statuses that say that a request has not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final TestFleet mFleet;
    private final List<Stop> mStops = new ArrayList<>();
    private final List<StopRequest> mRequests = new ArrayList<>();

    /** The planned stop of a gateway, which begins with SIGTERM. */
    record Stop(int gateway, long startNanos) {}

    StopChecker(TestFleet fleet) {
        mFleet = fleet;
    }

    synchronized void addStop(Stop stop) {
        mStops.add(stop);
    }

    synchronized void addRequest(StopRequest request) {
        mRequests.add(request);
    }

    synchronized SortedMap<Integer, Integer> statusCounts() {
        SortedMap<Integer, Integer> counts = new TreeMap<>();
        for (StopRequest request : mRequests) {
            counts.merge(request.isComplete() ? request.status() : 0, 1, Integer::sum);
        }
        return counts;
    }

    /** Returns one line for each request. */
    synchronized List<String> describeRequests() {
        return mRequests.stream().map(this::describe).toList();
    }

    /** Returns all violations; call this after all requests and servers have ended. */
    synchronized List<String> violations() {
        List<String> violations = new ArrayList<>();
        for (StopRequest request : mRequests) {
            String violation = findViolation(request);
            if (violation != null) {
                violations.add(describe(request) + ": " + violation);
            }
        }
        return violations;
    }

    private @Nullable String findViolation(StopRequest request) {
        int runs = mFleet.executionCount(request.id());
        if (runs > request.plan().kind().maxExecutions()) {
            return "ran too often";
        }
        if (!request.isComplete()) {
            return isLossAllowed(request, runs) ? null : "lost";
        }
        if (runs > 0 && NOT_RUN_STATUSES.contains(request.status())) {
            return "was refused but ran";
        }
        if (request.status() == 200 && !request.body().equals(request.plan().expectedBody())) {
            return "ended as complete with a wrong body: " + request.body();
        }
        return null;
    }

    private boolean isLossAllowed(StopRequest request, int runs) {
        if (!request.isSentWhole()) {
            return true;
        }
        long elapsedNanos = request.endNanos() - request.sentNanos();
        if (runs == 0) {
            return elapsedNanos <= LOSS_SLACK_NANOS;
        }
        Stop stop = lastStop(request);
        boolean servedToTheEnd =
                stop != null
                        && request.sentNanos() - stop.startNanos() <= EARLY_NANOS
                        && mFleet.wasAtWork(request.id(), stop.startNanos() + LAST_SIXTH_NANOS);
        return servedToTheEnd || request.endNanos() - request.lastChunkNanos() >= TIME_LIMIT_NANOS;
    }

    /** Returns the last stop of its gateway that began before a request ended. */
    private @Nullable Stop lastStop(StopRequest request) {
        Stop last = null;
        for (Stop stop : mStops) {
            if (stop.gateway() == request.gateway()
                    && stop.startNanos() - request.endNanos() <= 0) {
                last = stop;
            }
        }
        return last;
    }

    private String describe(StopRequest request) {
        Stop stop = lastStop(request);
        String times =
                stop == null
                        ? "before any stop"
                        : "sent %d ms and ended %d ms after SIGTERM"
                                .formatted(
                                        millisSince(stop, request.sentNanos()),
                                        millisSince(stop, request.endNanos()));
        return "%s at gateway %d, %s, status %d, ran %d times, %s, %s"
                .formatted(
                        request.id(),
                        request.gateway(),
                        times,
                        request.status(),
                        mFleet.executionCount(request.id()),
                        request.plan(),
                        request.failure());
    }

    private static long millisSince(Stop stop, long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - stop.startNanos());
    }
}
