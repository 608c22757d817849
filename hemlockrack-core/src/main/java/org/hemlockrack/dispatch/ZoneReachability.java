package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.Registration;

/**
 * Availability zones that this gateway cannot reach. When several servers of a zone in a row do not
 * answer, the whole zone is suspended for a short time, as most likely the link to it is cut; a
 * gateway that learns that server by server makes each request wait for several connection
 * timeouts. Any answer from the zone ends the suspension. Not thread-safe; time is monotonic and
 * passed in.
 */
final class ZoneReachability {
    /** Different servers without an answer between them; fewer may have crashed on their own. */
    private static final int MIN_UNANSWERED_SERVERS = 3;

    /** Failures further apart than this are not taken for one cut. */
    private static final long MAX_GAP_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time after which requests try the zone again. */
    private static final long SUSPENSION_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Suspensions kept until they are taken; the oldest ones are dropped first. */
    private static final int MAX_CHANGES = 64;

    private final Map<ZoneId, Failures> mFailures = new HashMap<>();
    private final List<ZoneSuspension> mChanges = new ArrayList<>();

    /** Servers of one zone that did not answer, since the last answer from the zone. */
    private static final class Failures {
        private final Set<BackendId> mServers = new HashSet<>();
        private long mLastNanos;
        private boolean mSuspended;
        private long mSuspendedSinceNanos;
        private long mSuspendedUntilNanos;
    }

    private ZoneReachability() {}

    static ZoneReachability create() {
        return new ZoneReachability();
    }

    /**
     * Records how an attempt at a server ended.
     *
     * @param nowNanos monotonic time
     * @param server the server
     * @param outcome the outcome
     */
    void recordOutcome(long nowNanos, Registration server, AttemptOutcome outcome) {
        if (outcome.isAnswer()) {
            Failures ended = mFailures.remove(server.zone());
            if (ended != null && ended.mSuspended) {
                addEnd(server.zone(), ended, Math.min(nowNanos, ended.mSuspendedUntilNanos));
            }
            return;
        }
        if (!outcome.isUnanswered()) {
            return;
        }
        Failures failures = mFailures.computeIfAbsent(server.zone(), zone -> new Failures());
        if (nowNanos - failures.mLastNanos > MAX_GAP_NANOS) {
            failures.mServers.clear();
        }
        failures.mLastNanos = nowNanos;
        failures.mServers.add(server.id());
        if (failures.mServers.size() >= MIN_UNANSWERED_SERVERS) {
            if (failures.mSuspended && failures.mSuspendedUntilNanos - nowNanos <= 0) {
                addEnd(server.zone(), failures, failures.mSuspendedUntilNanos);
            }
            if (!failures.mSuspended) {
                failures.mSuspended = true;
                failures.mSuspendedSinceNanos = nowNanos;
                addChange(ZoneSuspension.begun(server.zone(), failures.mServers.size()));
            }
            failures.mSuspendedUntilNanos = nowNanos + SUSPENSION_NANOS;
        }
    }

    private void addEnd(ZoneId zone, Failures failures, long endNanos) {
        failures.mSuspended = false;
        addChange(ZoneSuspension.ended(zone, endNanos - failures.mSuspendedSinceNanos));
    }

    private void addChange(ZoneSuspension change) {
        if (mChanges.size() == MAX_CHANGES) {
            mChanges.remove(0);
        }
        mChanges.add(change);
    }

    /** Returns the suspensions that have begun or ended since the last call, in their order. */
    List<ZoneSuspension> takeChanges(long nowNanos) {
        mFailures.forEach(
                (zone, failures) -> {
                    if (failures.mSuspended && failures.mSuspendedUntilNanos - nowNanos <= 0) {
                        addEnd(zone, failures, failures.mSuspendedUntilNanos);
                    }
                });
        List<ZoneSuspension> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    /** Returns the number of suspended zones. */
    int suspendedCount(long nowNanos) {
        return (int)
                mFailures.keySet().stream().filter(zone -> isSuspended(nowNanos, zone)).count();
    }

    /** Returns whether requests should avoid the servers of a zone. */
    boolean isSuspended(long nowNanos, ZoneId zone) {
        Failures failures = mFailures.get(zone);
        return failures != null
                && failures.mSuspended
                && failures.mSuspendedUntilNanos - nowNanos > 0;
    }
}
