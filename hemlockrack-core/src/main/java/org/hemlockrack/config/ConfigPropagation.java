package org.hemlockrack.config;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.model.InstanceId;

/**
 * Tracks whether a version is in force on every reachable instance, from the versions that the
 * instances report. Unreachable instances do not count; one that becomes reachable again counts as
 * lagging until its next report.
 */
public final class ConfigPropagation
        implements Decider<ConfigPropagation.Event, ConfigPropagation.Output> {
    /** Most open waits; bounds their memory. */
    public static final int MAX_WAITS = 1000;

    private final Map<InstanceId, Long> mReportedVersions = new TreeMap<>();
    private final Map<Long, Wait> mWaits = new LinkedHashMap<>();
    private Set<InstanceId> mReachable = new TreeSet<>();

    /** Input events. */
    public sealed interface Event {}

    /**
     * An instance reported its version of the configuration.
     *
     * @param instance the instance
     * @param version the version
     */
    public record VersionReported(InstanceId instance, long version) implements Event {}

    /**
     * The set of reachable instances changed.
     *
     * @param instances all reachable instances, this one included
     */
    public record ReachableChanged(Set<InstanceId> instances) implements Event {}

    /**
     * An operator starts to wait until a version is in force.
     *
     * @param waitId identifies the wait
     * @param version the version
     * @param deadlineNanos monotonic time at which the wait ends
     */
    public record WaitStarted(long waitId, long version, long deadlineNanos) implements Event {}

    /**
     * An operator no longer waits.
     *
     * @param waitId identifies the wait
     */
    public record WaitCancelled(long waitId) implements Event {}

    /** Outputs. */
    public sealed interface Output {}

    /**
     * A wait ended.
     *
     * @param waitId identifies the wait
     * @param status propagation of the version at the end of the wait
     */
    public record WaitEnded(long waitId, Status status) implements Output {}

    /**
     * A wait was refused because {@link #MAX_WAITS} are open.
     *
     * @param waitId identifies the wait
     */
    public record WaitRefused(long waitId) implements Output {}

    /**
     * Propagation of a version.
     *
     * @param version the version
     * @param reachable number of reachable instances
     * @param lagging reachable instances that have a lower version or reported none
     */
    public record Status(long version, int reachable, List<InstanceId> lagging) {
        /** Copies the list. */
        public Status {
            lagging = List.copyOf(lagging);
        }

        /** Returns whether every reachable instance holds the version or a higher one. */
        public boolean inForce() {
            return reachable > 0 && lagging.isEmpty();
        }
    }

    private record Wait(long version, long deadlineNanos) {}

    private ConfigPropagation() {}

    /** Returns a tracker without any instance. */
    public static ConfigPropagation create() {
        return new ConfigPropagation();
    }

    /**
     * Returns the propagation of a version.
     *
     * @param version the version
     * @return the status
     */
    public Status status(long version) {
        List<InstanceId> lagging = new ArrayList<>();
        for (InstanceId instance : mReachable) {
            if (mReportedVersions.getOrDefault(instance, 0L) < version) {
                lagging.add(instance);
            }
        }
        return new Status(version, mReachable.size(), lagging);
    }

    @Override
    public void onEvent(long nowNanos, Event event, Consumer<? super Output> out) {
        if (event instanceof VersionReported report) {
            if (mReachable.contains(report.instance())) {
                mReportedVersions.put(report.instance(), report.version());
            }
        } else if (event instanceof ReachableChanged change) {
            mReachable = new TreeSet<>(change.instances());
            mReportedVersions.keySet().retainAll(mReachable);
        } else if (event instanceof WaitCancelled cancelled) {
            mWaits.remove(cancelled.waitId());
        } else if (event instanceof WaitStarted started) {
            startWait(started, out);
        }
        endFinishedWaits(nowNanos, out);
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super Output> out) {
        endFinishedWaits(nowNanos, out);
    }

    @Override
    public long nextTimerNanos() {
        long next = NO_TIMER;
        for (Wait wait : mWaits.values()) {
            next = Math.min(next, wait.deadlineNanos());
        }
        return next;
    }

    private void startWait(WaitStarted started, Consumer<? super Output> out) {
        if (mWaits.size() >= MAX_WAITS) {
            out.accept(new WaitRefused(started.waitId()));
            return;
        }
        mWaits.put(started.waitId(), new Wait(started.version(), started.deadlineNanos()));
    }

    private void endFinishedWaits(long nowNanos, Consumer<? super Output> out) {
        Iterator<Map.Entry<Long, Wait>> waits = mWaits.entrySet().iterator();
        while (waits.hasNext()) {
            Map.Entry<Long, Wait> entry = waits.next();
            Status status = status(entry.getValue().version());
            if (status.inForce() || entry.getValue().deadlineNanos() <= nowNanos) {
                waits.remove();
                out.accept(new WaitEnded(entry.getKey(), status));
            }
        }
    }
}
