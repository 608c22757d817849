package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.membership.internal.GossipCodec;
import org.hemlockrack.membership.internal.GossipRules;

/** Membership and directory against instances and workers. */
final class CapacityMembership {
    private static final int[] INSTANCES = {41, 82, 165, 330};
    private static final int[] WORKERS = {0, 110, 220, 445};
    private static final int FIXED_INSTANCES = 41;
    private static final int SETTLE_SECONDS = 40;
    private static final int IDLE_SECONDS = 20;
    private static final int CHANGES = 3;
    private static final int CHANGE_SECONDS = 30;

    private final long mSeed;

    CapacityMembership(long seed) {
        mSeed = seed;
    }

    void run() {
        LinearFit.Series state = LinearFit.points("membership_state_bytes_by_instances");
        LinearFit.Series bytes = LinearFit.points("membership_idle_bytes_per_s_by_instances");
        LinearFit.Series messages = LinearFit.points("membership_idle_messages_per_s_by_instances");
        LinearFit.Series cpu = LinearFit.points("membership_idle_cpu_us_per_s_by_instances");
        LinearFit.Series change = LinearFit.points("config_change_bytes_per_instance_by_instances");
        LinearFit.Series views = LinearFit.points("view_changes_per_config_change_by_instances");
        LinearFit.Series owned = LinearFit.points("most_workers_of_one_owner_by_instances");
        LinearFit.Series known = LinearFit.points("config_number_known_ms_by_instances");
        LinearFit.Series view = LinearFit.points("view_build_us_by_instances");
        for (int instances : INSTANCES) {
            Sample sample = measure(instances, instances * 890 / 330);
            state.add(instances, sample.mStateBytes);
            bytes.add(instances, sample.mIdleBytes);
            messages.add(instances, sample.mIdleMessages);
            cpu.add(instances, sample.mIdleCpuMicros);
            change.add(instances, sample.mChangeBytes);
            known.add(instances, sample.mKnownMillis);
            view.add(instances, sample.mViewMicros);
            views.add(instances, sample.mViewChanges);
            owned.add(instances, sample.mMostOwned);
        }
        state.print(330);
        bytes.print(330);
        messages.print(330);
        cpu.print(330);
        change.print(330);
        known.print(330);
        view.print(330);
        views.print(330);
        owned.print(330);
        workers();
    }

    private void workers() {
        LinearFit.Series state = LinearFit.points("directory_heap_bytes_by_workers");
        LinearFit.Series wire = LinearFit.points("directory_wire_bytes_by_workers");
        LinearFit.Series bytes = LinearFit.points("membership_idle_bytes_per_s_by_workers");
        for (int workers : WORKERS) {
            Sample sample = measure(FIXED_INSTANCES, workers);
            state.add(workers, sample.mStateBytes);
            wire.add(workers, sample.mWireBytes);
            bytes.add(workers, sample.mIdleBytes);
        }
        state.print(890);
        wire.print(890);
        bytes.print(890);
    }

    private Sample measure(int instances, int workers) {
        long heapBefore = CapacityBench.heapBytes();
        GossipFleet fleet =
                new GossipFleet(
                        mSeed,
                        new GossipFleet.Parameters(
                                2,
                                7,
                                instances,
                                workers,
                                ControlBudget.FULL_SIZE_BYTES_PER_SECOND,
                                GossipRules.standard()));
        Sample sample = new Sample();
        int joinSeconds = 6;
        fleet.run(6 * GossipFleet.SECOND);
        while (!fleet.isComplete() && joinSeconds < 300) {
            fleet.run(2 * GossipFleet.SECOND);
            joinSeconds += 2;
        }
        fleet.run(SETTLE_SECONDS * GossipFleet.SECOND);
        idle(fleet, sample);
        sample.mStateBytes = (CapacityBench.heapBytes() - heapBefore) / instances;
        sample.mWireBytes = GossipCodec.stateBytes(fleet.mNodes.get(0).view());
        sample.mMostOwned = mostOwned(fleet);
        changes(fleet, sample);
        view(fleet, sample);
        String prefix = "fleet_" + instances + "_" + workers + "_";
        CapacityBench.value(prefix + "join_s", joinSeconds);
        CapacityBench.value(prefix + "idle_bytes_per_s", sample.mIdleBytes);
        CapacityBench.value(prefix + "config_number_known_ms", sample.mKnownMillis);
        CapacityBench.value(prefix + "state_bytes", sample.mStateBytes);
        CapacityBench.load(prefix);
        return sample;
    }

    private static long mostOwned(GossipFleet fleet) {
        return fleet.mNodes.stream()
                .mapToLong(node -> fleet.mWorkers.stream().filter(w -> w.mOwner == node).count())
                .max()
                .orElse(0);
    }

    private static void idle(GossipFleet fleet, Sample sample) {
        int instances = fleet.mNodes.size();
        long bytes = fleet.sentBytes();
        long messages = fleet.mSentMessages;
        long cpu = fleet.mCpuNanos;
        fleet.run(IDLE_SECONDS * GossipFleet.SECOND);
        double scale = 1.0 / IDLE_SECONDS / instances;
        sample.mIdleBytes = (fleet.sentBytes() - bytes) * scale;
        sample.mIdleMessages = (fleet.mSentMessages - messages) * scale;
        sample.mIdleCpuMicros = (fleet.mCpuNanos - cpu) * scale / 1e3;
    }

    /** Publishes configuration numbers; every instance tells the number it holds, as daemons do. */
    private static void changes(GossipFleet fleet, Sample sample) {
        int instances = fleet.mNodes.size();
        long before = fleet.sentBytes();
        long viewsBefore = fleet.mViewChanges;
        for (int i = 0; i < CHANGES; i++) {
            long version = 10 + i;
            long start = fleet.mNowNanos;
            List<Long> times = new ArrayList<>();
            fleet.mOnFact =
                    (node, fact) -> {
                        times.add(fleet.mNowNanos - start);
                        fleet.at(
                                fleet.mNowNanos,
                                () ->
                                        node.event(
                                                new MembershipInput.SelfChanged(
                                                        true, false, version)));
                    };
            fleet.mNodes
                    .get(i)
                    .event(new MembershipInput.PublishFact(Fact.ofConfigVersion(version)));
            fleet.run(CHANGE_SECONDS * GossipFleet.SECOND);
            if (times.size() != instances) {
                throw new IllegalStateException(times.size() + " of " + instances + " learned it");
            }
            double last = times.stream().mapToLong(time -> time).max().orElseThrow();
            sample.mKnownMillis = Math.max(sample.mKnownMillis, last / GossipFleet.MILLI);
        }
        double all = (fleet.sentBytes() - before) / (double) instances;
        sample.mViewChanges = (fleet.mViewChanges - viewsBefore) / (double) instances / CHANGES;
        sample.mChangeBytes = all / CHANGES - sample.mIdleBytes * CHANGE_SECONDS;
    }

    /** Times the snapshot of the view that the daemon takes after each change. */
    private static void view(GossipFleet fleet, Sample sample) {
        int runs = 2_000;
        long taken = 0;
        for (int i = 0; i < 2 * runs; i++) {
            GossipFleet.Instance node = fleet.mNodes.get(i % fleet.mNodes.size());
            node.event(new MembershipInput.PublishFact(Fact.ofConfigVersion(100 + i)));
            long start = System.nanoTime();
            MembershipView view = node.view();
            long end = System.nanoTime();
            if (view.members().isEmpty()) {
                throw new IllegalStateException("empty view");
            }
            taken += i >= runs ? end - start : 0;
        }
        sample.mViewMicros = taken / 1e3 / runs;
    }

    private static final class Sample {
        private double mStateBytes;
        private double mWireBytes;
        private double mIdleBytes;
        private double mIdleMessages;
        private double mIdleCpuMicros;
        private double mChangeBytes;
        private double mKnownMillis;
        private double mViewMicros;
        private double mViewChanges;
        private double mMostOwned;
    }
}
