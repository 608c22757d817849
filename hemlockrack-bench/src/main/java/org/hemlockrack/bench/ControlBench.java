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

/** Measures control bytes, spreading times, processor time and state of the membership. */
public final class ControlBench {
    private static final int REPEATS = 8;
    private static final long NO_BUDGET = 1_000_000_000L;

    private final long mSeed;

    private ControlBench(long seed) {
        mSeed = seed;
    }

    /**
     * Runs the bench.
     *
     * @param args {@code --seed N}, 1 if absent; {@code --small} stops after 120 instances
     */
    public static void main(String[] args) {
        long seed = BenchArgs.seed(args);
        boolean small = List.of(args).contains("--small");
        ControlBench bench = new ControlBench(seed);
        System.out.println("seed=" + seed);
        long today = ControlBudget.DEFAULT_BYTES_PER_SECOND;
        long full = ControlBudget.FULL_SIZE_BYTES_PER_SECOND;
        bench.measure("n8", 1, 3, 8, 11, today);
        bench.measure("n8_unlimited", 1, 3, 8, 11, NO_BUDGET);
        bench.measure("n40", 1, 3, 40, 110, full);
        bench.measure("n120", 2, 7, 120, 330, full);
        if (!small) {
            bench.measure("n330", 2, 7, 330, 890, full);
            bench.measure("n330_unlimited", 2, 7, 330, 890, NO_BUDGET);
        }
    }

    private void measure(
            String name, int regions, int zones, int instances, int workers, long budget) {
        System.out.printf("%n%s: %d instances, %d workers%n", name, instances, workers);
        long heapBefore = heapBytes();
        GossipFleet fleet =
                new GossipFleet(
                        mSeed,
                        new GossipFleet.Parameters(
                                regions,
                                zones,
                                instances,
                                workers,
                                budget,
                                GossipRules.standard()));
        int joinSeconds = join(fleet);
        print(name, "budget_bytes_per_s", budget);
        print(name, "join_s", joinSeconds);
        fleet.run(30 * GossipFleet.SECOND);
        phase(fleet, name, "idle", 30);
        print(name, "state_bytes_per_instance", (heapBytes() - heapBefore) / instances);
        fleet.mWorkers.forEach(worker -> worker.mVaries = true);
        churn(fleet, 60);
        phase(fleet, name, "churn", 60);
        spread(fleet, name, "config_ms", i -> Fact.ofConfigVersion(10 + i));
        spread(
                fleet,
                name,
                "zone_out_ms",
                i -> new Fact("zone/zone-1", 1 + i, new byte[] {1}, TrafficClass.URGENT));
        backendStates(fleet, name);
        rejoin(fleet, name);
        baseline(fleet, name);
    }

    /** Restarts one instance and waits until it knows every member and worker again. */
    private static void rejoin(GossipFleet fleet, String name) {
        GossipFleet.Instance node = fleet.mNodes.get(fleet.mNodes.size() - 1);
        node.crash();
        fleet.run(GossipFleet.SECOND);
        node.start();
        long start = fleet.mNowNanos;
        while (fleet.mNowNanos - start < 120 * GossipFleet.SECOND) {
            fleet.run(100 * GossipFleet.MILLI);
            MembershipView view = node.view();
            boolean complete = view.members().size() == fleet.mNodes.size();
            if (complete && view.backends().size() == fleet.mWorkers.size()) {
                break;
            }
        }
        print(name, "rejoin_ms", (fleet.mNowNanos - start) / GossipFleet.MILLI);
    }

    private static int join(GossipFleet fleet) {
        for (int second = 1; second <= 300; second++) {
            fleet.run(GossipFleet.SECOND);
            if (second >= 6 && fleet.isComplete()) {
                return second;
            }
        }
        return -1;
    }

    /** Restarts an instance and a worker every 10 s; every worker's load changes. */
    private static void churn(GossipFleet fleet, int seconds) {
        for (int i = 0; i < seconds / 10; i++) {
            int pick = fleet.mRandom.nextInt(fleet.mNodes.size());
            GossipFleet.Instance node = fleet.mNodes.get(pick);
            long atNanos = fleet.mNowNanos + i * 10 * GossipFleet.SECOND;
            GossipFleet.Server worker =
                    fleet.mWorkers.get(fleet.mRandom.nextInt(fleet.mWorkers.size()));
            fleet.at(atNanos, node::crash);
            fleet.at(atNanos + 4 * GossipFleet.SECOND, node::start);
            fleet.at(atNanos + GossipFleet.SECOND, () -> worker.mIncarnation++);
        }
    }

    private static void phase(GossipFleet fleet, String name, String phase, int seconds) {
        long sentBefore = fleet.sentBytes();
        long cpuBefore = fleet.mCpuNanos;
        long deferredBefore = deferred(fleet);
        List<Long> before = fleet.mNodes.stream().map(node -> node.mSentBytes).toList();
        fleet.run(seconds * GossipFleet.SECOND);
        int instances = fleet.mNodes.size();
        long most = 0;
        for (int i = 0; i < instances; i++) {
            most = Math.max(most, fleet.mNodes.get(i).mSentBytes - before.get(i));
        }
        long mean = (fleet.sentBytes() - sentBefore) / seconds / instances;
        print(name, phase + "_bytes_per_s_mean", mean);
        print(name, phase + "_bytes_per_s_max", most / seconds);
        print(
                name,
                phase + "_cpu_us_per_instance_s",
                (fleet.mCpuNanos - cpuBefore) / 1_000 / seconds / instances);
        print(name, phase + "_deferred", Math.max(0, deferred(fleet) - deferredBefore));
    }

    private static long deferred(GossipFleet fleet) {
        long sum = 0;
        for (GossipFleet.Instance node : fleet.mNodes) {
            for (TrafficClass trafficClass : TrafficClass.values()) {
                sum += node.mBudget.deferredCount(trafficClass);
            }
        }
        return sum;
    }

    private static void spread(
            GossipFleet fleet, String name, String what, java.util.function.IntFunction<Fact> of) {
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < REPEATS; i++) {
            Fact fact = of.apply(i);
            long start = fleet.mNowNanos;
            fleet.mOnFact =
                    (node, learned) -> {
                        if (learned.equals(fact)) {
                            times.add(fleet.mNowNanos - start);
                        }
                    };
            List<GossipFleet.Instance> live = fleet.live();
            live.get(fleet.mRandom.nextInt(live.size()))
                    .event(new MembershipInput.PublishFact(fact));
            fleet.run(20 * GossipFleet.SECOND);
        }
        fleet.mOnFact = (node, fact) -> {};
        printTimes(name, what, times, REPEATS * fleet.mNodes.size());
    }

    private static void backendStates(GossipFleet fleet, String name) {
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < REPEATS; i++) {
            GossipFleet.Server worker =
                    fleet.mWorkers.get(fleet.mRandom.nextInt(fleet.mWorkers.size()));
            if (worker.mOwner == null || !worker.mOwner.mLive) {
                continue;
            }
            boolean leaving = worker.mState == BackendState.READY;
            worker.mState = leaving ? BackendState.LEAVING : BackendState.READY;
            worker.mIncarnation += leaving ? 0 : 1;
            long start = fleet.mNowNanos;
            worker.tell();
            List<GossipFleet.Instance> waiting = new ArrayList<>(fleet.live());
            while (!waiting.isEmpty() && fleet.mNowNanos - start < 20 * GossipFleet.SECOND) {
                fleet.run(50 * GossipFleet.MILLI);
                waiting.removeIf(node -> knows(fleet, node, worker, times, start));
            }
        }
        printTimes(name, "backend_state_ms", times, REPEATS * fleet.mNodes.size());
    }

    private static boolean knows(
            GossipFleet fleet,
            GossipFleet.Instance node,
            GossipFleet.Server worker,
            List<Long> times,
            long start) {
        MembershipView view = node.view();
        boolean known =
                view.backend(worker.mId)
                        .filter(backend -> backend.state() == worker.mState)
                        .isPresent();
        if (known) {
            times.add(fleet.mNowNanos - start);
        }
        return known;
    }

    /** Computes what a push of the whole state every 500 ms takes, from names as they are. */
    private static void baseline(GossipFleet fleet, String name) {
        MembershipView view = fleet.live().get(0).view();
        long bytes = GossipCodec.stateBytes(view);
        long segments = (bytes + 1_099) / 1_100;
        long perPush = bytes + segments * ControlBudget.MESSAGE_OVERHEAD_BYTES;
        print(name, "full_push_bytes_per_s_computed", 2 * perPush);
    }

    private static long heapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void print(String name, String what, long value) {
        System.out.println(name + "_" + what + "=" + value);
    }

    private static void printTimes(String name, String what, List<Long> times, int expected) {
        Collections.sort(times);
        double milli = GossipFleet.MILLI;
        System.out.printf(
                Locale.ROOT,
                "%s_%s_p50=%.0f%n%s_%s_p99=%.0f%n%s_%s_max=%.0f%n%s_%s_reached=%d of %d%n",
                name,
                what,
                times.get(times.size() / 2) / milli,
                name,
                what,
                times.get(Math.max(0, times.size() * 99 / 100 - 1)) / milli,
                name,
                what,
                times.get(times.size() - 1) / milli,
                name,
                what,
                times.size(),
                expected);
    }
}
