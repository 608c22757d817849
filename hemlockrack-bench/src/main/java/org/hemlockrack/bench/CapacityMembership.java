package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.membership.internal.GossipCodec;
import org.hemlockrack.membership.internal.GossipRules;

/** Measures membership and the server directory by the number of instances and servers. */
final class CapacityMembership {
    private static final int[] INSTANCE_COUNTS = {41, 82, 165, 330};
    private static final int[] SERVER_COUNTS = {0, 110, 220, 445};
    private static final int FIXED_INSTANCES = 41;
    private static final int SETTLE_SECONDS = 40;
    private static final int IDLE_SECONDS = 20;
    private static final int CHANGE_COUNT = 3;
    private static final int CHANGE_SECONDS = 30;

    private final long mSeed;

    CapacityMembership(long seed) {
        mSeed = seed;
    }

    void run() {
        LinearFit.Series state = LinearFit.series("membership_state_bytes_by_instances");
        LinearFit.Series bytes = LinearFit.series("membership_idle_bytes_per_s_by_instances");
        LinearFit.Series messages = LinearFit.series("membership_idle_messages_per_s_by_instances");
        LinearFit.Series cpu = LinearFit.series("membership_idle_cpu_us_per_s_by_instances");
        LinearFit.Series change = LinearFit.series("config_change_bytes_per_instance_by_instances");
        LinearFit.Series viewChanges =
                LinearFit.series("view_changes_per_config_change_by_instances");
        LinearFit.Series owned = LinearFit.series("most_workers_of_one_owner_by_instances");
        LinearFit.Series propagation = LinearFit.series("config_number_known_ms_by_instances");
        LinearFit.Series view = LinearFit.series("view_build_us_by_instances");
        for (int instances : INSTANCE_COUNTS) {
            Sample sample = measure(instances, instances * 890 / 330);
            state.add(instances, sample.mStateBytes);
            bytes.add(instances, sample.mIdleBytes);
            messages.add(instances, sample.mIdleMessages);
            cpu.add(instances, sample.mIdleCpuMicros);
            change.add(instances, sample.mChangeBytes);
            propagation.add(instances, sample.mPropagationMillis);
            view.add(instances, sample.mViewMicros);
            viewChanges.add(instances, sample.mViewChanges);
            owned.add(instances, sample.mMaxOwnedServers);
        }
        state.fitAndPrint(330);
        bytes.fitAndPrint(330);
        messages.fitAndPrint(330);
        cpu.fitAndPrint(330);
        change.fitAndPrint(330);
        propagation.fitAndPrint(330);
        view.fitAndPrint(330);
        viewChanges.fitAndPrint(330);
        owned.fitAndPrint(330);
        measureByServers();
    }

    private void measureByServers() {
        LinearFit.Series state = LinearFit.series("directory_heap_bytes_by_workers");
        LinearFit.Series wire = LinearFit.series("directory_wire_bytes_by_workers");
        LinearFit.Series bytes = LinearFit.series("membership_idle_bytes_per_s_by_workers");
        for (int servers : SERVER_COUNTS) {
            Sample sample = measure(FIXED_INSTANCES, servers);
            state.add(servers, sample.mStateBytes);
            wire.add(servers, sample.mWireBytes);
            bytes.add(servers, sample.mIdleBytes);
        }
        state.fitAndPrint(890);
        wire.fitAndPrint(890);
        bytes.fitAndPrint(890);
    }

    private Sample measure(int instances, int servers) {
        long heapBefore = CapacityBench.heapBytes();
        GossipFleet fleet =
                new GossipFleet(
                        mSeed,
                        new GossipFleet.Parameters(
                                2,
                                7,
                                instances,
                                servers,
                                ControlBudget.FULL_SIZE_BYTES_PER_SECOND,
                                GossipRules.standard()));
        Sample sample = new Sample();
        int joinSeconds = 6;
        fleet.runFor(6 * GossipFleet.NANOS_PER_SECOND);
        while (!fleet.isComplete() && joinSeconds < 300) {
            fleet.runFor(2 * GossipFleet.NANOS_PER_SECOND);
            joinSeconds += 2;
        }
        fleet.runFor(SETTLE_SECONDS * GossipFleet.NANOS_PER_SECOND);
        measureIdle(fleet, sample);
        sample.mStateBytes = (CapacityBench.heapBytes() - heapBefore) / instances;
        sample.mWireBytes = GossipCodec.stateBytes(fleet.mInstances.get(0).view());
        sample.mMaxOwnedServers = maxOwnedServers(fleet);
        measureConfigChanges(fleet, sample);
        measureViewBuild(fleet, sample);
        String prefix = "fleet_" + instances + "_" + servers + "_";
        CapacityBench.printValue(prefix + "join_s", joinSeconds);
        CapacityBench.printValue(prefix + "idle_bytes_per_s", sample.mIdleBytes);
        CapacityBench.printValue(prefix + "config_number_known_ms", sample.mPropagationMillis);
        CapacityBench.printValue(prefix + "state_bytes", sample.mStateBytes);
        CapacityBench.printLoadAverage(prefix);
        return sample;
    }

    private static long maxOwnedServers(GossipFleet fleet) {
        return fleet.mInstances.stream()
                .mapToLong(
                        instance ->
                                fleet.mServers.stream()
                                        .filter(server -> server.mOwner == instance)
                                        .count())
                .max()
                .orElse(0);
    }

    private static void measureIdle(GossipFleet fleet, Sample sample) {
        int instances = fleet.mInstances.size();
        long bytes = fleet.sentBytes();
        long messages = fleet.mSentMessages;
        long cpu = fleet.mCpuNanos;
        fleet.runFor(IDLE_SECONDS * GossipFleet.NANOS_PER_SECOND);
        double scale = 1.0 / IDLE_SECONDS / instances;
        sample.mIdleBytes = (fleet.sentBytes() - bytes) * scale;
        sample.mIdleMessages = (fleet.mSentMessages - messages) * scale;
        sample.mIdleCpuMicros = (fleet.mCpuNanos - cpu) * scale / 1e3;
    }

    /**
     * Publishes configuration versions. As in the daemon, each instance announces the version that
     * it has.
     */
    private static void measureConfigChanges(GossipFleet fleet, Sample sample) {
        int instances = fleet.mInstances.size();
        long bytesBefore = fleet.sentBytes();
        long viewsBefore = fleet.mViewChanges;
        for (int i = 0; i < CHANGE_COUNT; i++) {
            long version = 10 + i;
            long startNanos = fleet.mNowNanos;
            List<Long> times = new ArrayList<>();
            fleet.mFactListener =
                    (instance, fact) -> {
                        times.add(fleet.mNowNanos - startNanos);
                        fleet.scheduleAt(
                                fleet.mNowNanos,
                                () ->
                                        instance.handleEvent(
                                                new MembershipInput.SelfChanged(
                                                        true, false, version)));
                    };
            fleet.mInstances
                    .get(i)
                    .handleEvent(new MembershipInput.PublishFact(Fact.ofConfigVersion(version)));
            fleet.runFor(CHANGE_SECONDS * GossipFleet.NANOS_PER_SECOND);
            if (times.size() != instances) {
                throw new IllegalStateException(
                        times.size()
                                + " of "
                                + instances
                                + " instances learned the configuration version");
            }
            double lastNanos = times.stream().mapToLong(time -> time).max().orElseThrow();
            sample.mPropagationMillis =
                    Math.max(sample.mPropagationMillis, lastNanos / GossipFleet.NANOS_PER_MILLI);
        }
        double totalBytes = (fleet.sentBytes() - bytesBefore) / (double) instances;
        sample.mViewChanges =
                (fleet.mViewChanges - viewsBefore) / (double) instances / CHANGE_COUNT;
        sample.mChangeBytes = totalBytes / CHANGE_COUNT - sample.mIdleBytes * CHANGE_SECONDS;
    }

    /** Measures the time to build a view, which the daemon does after each change. */
    private static void measureViewBuild(GossipFleet fleet, Sample sample) {
        int runs = 2_000;
        long takenNanos = 0;
        for (int i = 0; i < 2 * runs; i++) {
            GossipFleet.Instance instance = fleet.mInstances.get(i % fleet.mInstances.size());
            instance.handleEvent(new MembershipInput.PublishFact(Fact.ofConfigVersion(100 + i)));
            long startNanos = System.nanoTime();
            MembershipView view = instance.view();
            long endNanos = System.nanoTime();
            if (view.members().isEmpty()) {
                throw new IllegalStateException("the membership view has no members");
            }
            takenNanos += i >= runs ? endNanos - startNanos : 0;
        }
        sample.mViewMicros = takenNanos / 1e3 / runs;
    }

    private static final class Sample {
        private double mStateBytes;
        private double mWireBytes;
        private double mIdleBytes;
        private double mIdleMessages;
        private double mIdleCpuMicros;
        private double mChangeBytes;
        private double mPropagationMillis;
        private double mViewMicros;
        private double mViewChanges;
        private double mMaxOwnedServers;
    }
}
