package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.hemlockrack.membership.BackendState;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.membership.TrafficClass;
import org.hemlockrack.membership.internal.GossipCodec;
import org.hemlockrack.membership.internal.GossipRules;

/** Measures the traffic, propagation times, CPU time and state of the membership protocol. */
public final class ControlBench {
    private static final int REPEATS = 8;
    private static final long UNLIMITED_BUDGET = 1_000_000_000L;

    private final long mSeed;

    private ControlBench(long seed) {
        mSeed = seed;
    }

    /**
     * Runs the benchmark.
     *
     * @param args {@code --seed N}, 1 if absent; {@code --small} stops after 120 instances
     */
    public static void main(String[] args) {
        long seed = BenchArgs.parseSeed(args);
        boolean smallOnly = List.of(args).contains("--small");
        ControlBench bench = new ControlBench(seed);
        System.out.println("seed=" + seed);
        long defaultBudget = ControlBudget.DEFAULT_BYTES_PER_SECOND;
        long fullSizeBudget = ControlBudget.FULL_SIZE_BYTES_PER_SECOND;
        bench.measure("n8", 1, 3, 8, 11, defaultBudget);
        bench.measure("n8_unlimited", 1, 3, 8, 11, UNLIMITED_BUDGET);
        bench.measure("n40", 1, 3, 40, 110, fullSizeBudget);
        bench.measure("n120", 2, 7, 120, 330, fullSizeBudget);
        if (!smallOnly) {
            bench.measure("n330", 2, 7, 330, 890, fullSizeBudget);
            bench.measure("n330_unlimited", 2, 7, 330, 890, UNLIMITED_BUDGET);
        }
    }

    private void measure(
            String name,
            int regions,
            int zones,
            int instances,
            int servers,
            long budgetBytesPerSecond) {
        System.out.printf("%n%s: %d instances, %d backend servers%n", name, instances, servers);
        long heapBefore = heapBytes();
        GossipFleet fleet =
                new GossipFleet(
                        mSeed,
                        new GossipFleet.Parameters(
                                regions,
                                zones,
                                instances,
                                servers,
                                budgetBytesPerSecond,
                                GossipRules.standard()));
        int joinSeconds = awaitJoin(fleet);
        printValue(name, "budget_bytes_per_s", budgetBytesPerSecond);
        printValue(name, "join_s", joinSeconds);
        fleet.runFor(30 * GossipFleet.NANOS_PER_SECOND);
        measurePhase(fleet, name, "idle", 30);
        printValue(name, "state_bytes_per_instance", (heapBytes() - heapBefore) / instances);
        fleet.mServers.forEach(server -> server.mLoadVaries = true);
        scheduleChurn(fleet, 60);
        measurePhase(fleet, name, "churn", 60);
        measureFactPropagation(fleet, name, "config_ms", i -> Fact.ofConfigVersion(10 + i));
        measureFactPropagation(
                fleet,
                name,
                "zone_out_ms",
                i -> new Fact("zone/zone-1", 1 + i, new byte[] {1}, TrafficClass.URGENT));
        measureServerStatePropagation(fleet, name);
        measureRejoin(fleet, name);
        printFullPushBaseline(fleet, name);
    }

    /** Restarts one instance and waits until its view has every member and server again. */
    private static void measureRejoin(GossipFleet fleet, String name) {
        GossipFleet.Instance instance = fleet.mInstances.get(fleet.mInstances.size() - 1);
        instance.crash();
        fleet.runFor(GossipFleet.NANOS_PER_SECOND);
        instance.start();
        long startNanos = fleet.mNowNanos;
        while (fleet.mNowNanos - startNanos < 120 * GossipFleet.NANOS_PER_SECOND) {
            fleet.runFor(100 * GossipFleet.NANOS_PER_MILLI);
            MembershipView view = instance.view();
            boolean complete = view.members().size() == fleet.mInstances.size();
            if (complete && view.backends().size() == fleet.mServers.size()) {
                break;
            }
        }
        printValue(name, "rejoin_ms", (fleet.mNowNanos - startNanos) / GossipFleet.NANOS_PER_MILLI);
    }

    /** Returns the seconds until all views are complete, or -1 if that takes over 300 s. */
    private static int awaitJoin(GossipFleet fleet) {
        for (int second = 1; second <= 300; second++) {
            fleet.runFor(GossipFleet.NANOS_PER_SECOND);
            if (second >= 6 && fleet.isComplete()) {
                return second;
            }
        }
        return -1;
    }

    /** Schedules the restart of a random instance and of a random server every 10 s. */
    private static void scheduleChurn(GossipFleet fleet, int seconds) {
        for (int i = 0; i < seconds / 10; i++) {
            int instanceIndex = fleet.mRandom.nextInt(fleet.mInstances.size());
            GossipFleet.Instance instance = fleet.mInstances.get(instanceIndex);
            long atNanos = fleet.mNowNanos + i * 10 * GossipFleet.NANOS_PER_SECOND;
            GossipFleet.Server server =
                    fleet.mServers.get(fleet.mRandom.nextInt(fleet.mServers.size()));
            fleet.scheduleAt(atNanos, instance::crash);
            fleet.scheduleAt(atNanos + 4 * GossipFleet.NANOS_PER_SECOND, instance::start);
            fleet.scheduleAt(atNanos + GossipFleet.NANOS_PER_SECOND, () -> server.mIncarnation++);
        }
    }

    private static void measurePhase(GossipFleet fleet, String name, String phase, int seconds) {
        long sentBefore = fleet.sentBytes();
        long cpuBefore = fleet.mCpuNanos;
        long deferredBefore = countDeferred(fleet);
        List<Long> before = fleet.mInstances.stream().map(instance -> instance.mSentBytes).toList();
        fleet.runFor(seconds * GossipFleet.NANOS_PER_SECOND);
        int instances = fleet.mInstances.size();
        long maxBytes = 0;
        for (int i = 0; i < instances; i++) {
            maxBytes = Math.max(maxBytes, fleet.mInstances.get(i).mSentBytes - before.get(i));
        }
        long meanBytesPerSecond = (fleet.sentBytes() - sentBefore) / seconds / instances;
        printValue(name, phase + "_bytes_per_s_mean", meanBytesPerSecond);
        printValue(name, phase + "_bytes_per_s_max", maxBytes / seconds);
        printValue(
                name,
                phase + "_cpu_us_per_instance_s",
                (fleet.mCpuNanos - cpuBefore) / 1_000 / seconds / instances);
        printValue(name, phase + "_deferred", Math.max(0, countDeferred(fleet) - deferredBefore));
    }

    private static long countDeferred(GossipFleet fleet) {
        long sum = 0;
        for (GossipFleet.Instance instance : fleet.mInstances) {
            for (TrafficClass trafficClass : TrafficClass.values()) {
                sum += instance.mBudget.deferredCount(trafficClass);
            }
        }
        return sum;
    }

    private static void measureFactPropagation(
            GossipFleet fleet,
            String name,
            String figure,
            java.util.function.IntFunction<Fact> factOf) {
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < REPEATS; i++) {
            Fact fact = factOf.apply(i);
            long startNanos = fleet.mNowNanos;
            fleet.mFactListener =
                    (instance, learned) -> {
                        if (learned.equals(fact)) {
                            times.add(fleet.mNowNanos - startNanos);
                        }
                    };
            List<GossipFleet.Instance> live = fleet.liveInstances();
            live.get(fleet.mRandom.nextInt(live.size()))
                    .handleEvent(new MembershipInput.PublishFact(fact));
            fleet.runFor(20 * GossipFleet.NANOS_PER_SECOND);
        }
        fleet.mFactListener = (instance, fact) -> {};
        printTimes(name, figure, times, REPEATS * fleet.mInstances.size());
    }

    private static void measureServerStatePropagation(GossipFleet fleet, String name) {
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < REPEATS; i++) {
            GossipFleet.Server server =
                    fleet.mServers.get(fleet.mRandom.nextInt(fleet.mServers.size()));
            if (server.mOwner == null || !server.mOwner.mLive) {
                continue;
            }
            boolean leaving = server.mState == BackendState.READY;
            server.mState = leaving ? BackendState.LEAVING : BackendState.READY;
            server.mIncarnation += leaving ? 0 : 1;
            long startNanos = fleet.mNowNanos;
            server.announceToOwner();
            List<GossipFleet.Instance> waiting = new ArrayList<>(fleet.liveInstances());
            while (!waiting.isEmpty()
                    && fleet.mNowNanos - startNanos < 20 * GossipFleet.NANOS_PER_SECOND) {
                fleet.runFor(50 * GossipFleet.NANOS_PER_MILLI);
                waiting.removeIf(
                        instance -> recordIfLearned(fleet, instance, server, times, startNanos));
            }
        }
        printTimes(name, "backend_state_ms", times, REPEATS * fleet.mInstances.size());
    }

    private static boolean recordIfLearned(
            GossipFleet fleet,
            GossipFleet.Instance instance,
            GossipFleet.Server server,
            List<Long> times,
            long startNanos) {
        MembershipView view = instance.view();
        boolean learned =
                view.backend(server.mId)
                        .filter(backend -> backend.state() == server.mState)
                        .isPresent();
        if (learned) {
            times.add(fleet.mNowNanos - startNanos);
        }
        return learned;
    }

    /** Computes the traffic of pushing the full state every 500 ms, with the names in use. */
    private static void printFullPushBaseline(GossipFleet fleet, String name) {
        MembershipView view = fleet.liveInstances().get(0).view();
        long bytes = GossipCodec.stateBytes(view);
        long messages = (bytes + 1_099) / 1_100;
        long bytesPerPush = bytes + messages * ControlBudget.MESSAGE_OVERHEAD_BYTES;
        printValue(name, "full_push_bytes_per_s_computed", 2 * bytesPerPush);
    }

    private static long heapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void printValue(String name, String figure, long value) {
        System.out.println(name + "_" + figure + "=" + value);
    }

    private static void printTimes(String name, String figure, List<Long> times, int expected) {
        Collections.sort(times);
        double nanosPerMilli = GossipFleet.NANOS_PER_MILLI;
        System.out.printf(
                Locale.ROOT,
                "%s_%s_p50=%.0f%n%s_%s_p99=%.0f%n%s_%s_max=%.0f%n%s_%s_reached=%d of %d%n",
                name,
                figure,
                times.get(times.size() / 2) / nanosPerMilli,
                name,
                figure,
                times.get(Math.max(0, times.size() * 99 / 100 - 1)) / nanosPerMilli,
                name,
                figure,
                times.get(times.size() - 1) / nanosPerMilli,
                name,
                figure,
                times.size(),
                expected);
    }
}
