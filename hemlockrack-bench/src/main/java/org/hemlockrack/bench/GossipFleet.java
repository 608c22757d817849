package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.BackendState;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.Membership;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.MembershipOutput;
import org.hemlockrack.membership.MembershipSettings;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.membership.OwnerSelector;
import org.hemlockrack.membership.Version;
import org.hemlockrack.membership.internal.GossipRules;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;

/** A fleet of memberships in simulated time; its messages have delays and random losses. */
final class GossipFleet {
    static final long NANOS_PER_MILLI = 1_000_000L;
    static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    private static final long ANNOUNCE_INTERVAL_NANOS = 500 * NANOS_PER_MILLI;
    private static final double LOSS_PROBABILITY = 0.01;

    /** Size of a fleet, traffic budget per instance and gossip rules. */
    record Parameters(
            int regions,
            int zones,
            int instances,
            int servers,
            long budgetBytesPerSecond,
            GossipRules rules) {}

    final SplittableRandom mRandom;
    final List<Instance> mInstances = new ArrayList<>();
    final List<Server> mServers = new ArrayList<>();
    final Parameters mParameters;
    long mNowNanos = 1;
    long mCpuNanos;
    long mSentMessages;
    long mViewChanges;
    BiConsumer<Instance, Fact> mFactListener = (instance, fact) -> {};

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final int[] mZonePartitions;
    private long mNextOrder;

    GossipFleet(long seed, Parameters parameters) {
        mRandom = new SplittableRandom(seed);
        mParameters = parameters;
        mZonePartitions = new int[parameters.zones()];
        for (int i = 0; i < parameters.instances(); i++) {
            mInstances.add(new Instance(i, i % parameters.zones()));
        }
        mInstances.forEach(Instance::start);
        for (int i = 0; i < parameters.servers(); i++) {
            Server server = new Server(i, i % parameters.zones());
            mServers.add(server);
            scheduleAt(
                    5 * NANOS_PER_SECOND + mRandom.nextLong(ANNOUNCE_INTERVAL_NANOS),
                    server::announce);
        }
    }

    void scheduleAt(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, mNextOrder++, action));
    }

    void runFor(long nanos) {
        long endNanos = mNowNanos + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().atNanos <= endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos;
            event.action.run();
        }
        mNowNanos = endNanos;
    }

    /** Partitions a zone from all others, or ends the partition. */
    void setZonePartitioned(int zone, boolean partitioned) {
        mZonePartitions[zone] = partitioned ? zone + 1 : 0;
    }

    List<Instance> liveInstances() {
        return mInstances.stream().filter(instance -> instance.mLive).toList();
    }

    /** Returns whether the view of every live instance has all live instances and servers. */
    boolean isComplete() {
        int liveCount = liveInstances().size();
        for (Instance instance : liveInstances()) {
            MembershipView view = instance.view();
            long alive =
                    view.members().values().stream()
                            .filter(member -> member.status().isReachable())
                            .count();
            if (alive < liveCount || view.backends().size() < mServers.size()) {
                return false;
            }
        }
        return true;
    }

    long sentBytes() {
        return mInstances.stream().mapToLong(instance -> instance.mSentBytes).sum();
    }

    private int regionOf(int zone) {
        return zone * mParameters.regions() / mParameters.zones();
    }

    private void transmit(Instance from, MembershipOutput.Send send) {
        from.mSentBytes += send.wireBytes();
        mSentMessages++;
        if (mRandom.nextDouble() < LOSS_PROBABILITY) {
            return;
        }
        int targetIndex =
                Integer.parseInt(send.address().substring(1, send.address().indexOf(':')));
        Instance to = mInstances.get(targetIndex);
        long delayNanos = 250_000;
        if (regionOf(from.mZone) != regionOf(to.mZone)) {
            delayNanos = 40 * NANOS_PER_MILLI;
        } else if (from.mZone != to.mZone) {
            delayNanos = NANOS_PER_MILLI;
        }
        scheduleAt(mNowNanos + delayNanos, () -> deliver(from, to, send));
    }

    private void deliver(Instance from, Instance to, MembershipOutput.Send send) {
        if (to.mLive && mZonePartitions[from.mZone] == mZonePartitions[to.mZone]) {
            to.handleEvent(new MembershipInput.Received(from.mInfo.id(), send.payload()));
        }
    }

    /** One instance, which may crash and start again. */
    final class Instance {
        final int mZone;
        final InstanceInfo mInfo;
        Membership mMembership;
        ControlBudget mBudget;
        boolean mLive;
        long mSentBytes;
        private long mStartMillis = 1_796_342_400_000L;
        private int mRunNumber;
        private long mTimerNanos;

        Instance(int index, int zone) {
            mZone = zone;
            mInfo =
                    new InstanceInfo(
                            InstanceId.of("router-" + index),
                            ZoneId.of("zone-" + zone),
                            "region-" + regionOf(zone),
                            "h" + index + ":9000",
                            "h" + index + ":9001");
        }

        void start() {
            mStartMillis += 1_000;
            mRunNumber++;
            mLive = true;
            mTimerNanos = Long.MAX_VALUE;
            mBudget = ControlBudget.of(mParameters.budgetBytesPerSecond(), mNowNanos);
            List<String> seeds = new ArrayList<>();
            for (int i = 0; i < mParameters.zones(); i++) {
                seeds.add("h" + i + ":9000");
            }
            MembershipSettings settings = new MembershipSettings(mInfo, mStartMillis, seeds);
            mMembership =
                    Membership.create(
                            settings, mBudget, mRandom.split(), mParameters.rules(), mNowNanos);
            handleEvent(new MembershipInput.SelfChanged(true, false, 1));
        }

        void crash() {
            mLive = false;
        }

        MembershipView view() {
            return mMembership.view(mNowNanos);
        }

        void handleEvent(MembershipInput input) {
            long startNanos = System.nanoTime();
            mMembership.onEvent(mNowNanos, input, this::handleOutput);
            mCpuNanos += System.nanoTime() - startNanos;
            scheduleTimer();
        }

        private void handleOutput(MembershipOutput output) {
            if (output instanceof MembershipOutput.Send send) {
                transmit(this, send);
            } else if (output instanceof MembershipOutput.FactLearned learned) {
                mFactListener.accept(this, learned.fact());
            } else if (output instanceof MembershipOutput.ViewChanged) {
                mViewChanges++;
            }
        }

        private void scheduleTimer() {
            long nextNanos = mMembership.nextTimerNanos();
            if (nextNanos < mTimerNanos) {
                mTimerNanos = nextNanos;
                int runNumber = mRunNumber;
                scheduleAt(Math.max(nextNanos, mNowNanos), () -> runTimer(runNumber));
            }
        }

        private void runTimer(int runNumber) {
            if (runNumber != mRunNumber || !mLive) {
                return;
            }
            mTimerNanos = Long.MAX_VALUE;
            long startNanos = System.nanoTime();
            mMembership.onTimer(mNowNanos, this::handleOutput);
            mCpuNanos += System.nanoTime() - startNanos;
            scheduleTimer();
        }
    }

    /** One backend server, which announces itself to its owner every 500 ms. */
    final class Server {
        final BackendId mId;
        final int mZone;
        BackendState mState = BackendState.READY;
        long mIncarnation = 1;
        Instance mOwner;
        boolean mLoadVaries;
        private int mInFlight = 4;
        private long mNextOwnerLookupNanos;

        Server(int index, int zone) {
            mId = BackendId.of("worker-" + index);
            mZone = zone;
        }

        ZoneId zone() {
            return ZoneId.of("zone-" + mZone);
        }

        private void announce() {
            scheduleAt(mNowNanos + ANNOUNCE_INTERVAL_NANOS, this::announce);
            if (mOwner == null || !canReach(mOwner) || mNowNanos > mNextOwnerLookupNanos) {
                findOwner();
            }
            if (mOwner != null) {
                announceToOwner();
            }
        }

        /** Announces the current state to the owner. */
        void announceToOwner() {
            int step = mLoadVaries ? mRandom.nextInt(5) - 2 : 0;
            mInFlight = Math.max(0, Math.min(32, mInFlight + step));
            Backend announced =
                    new Backend(
                            mId,
                            ServiceId.of("chat"),
                            List.of(ModelVersion.of("large", "v1"), ModelVersion.of("small", "v7")),
                            zone(),
                            "10.0.0.1:8000",
                            mState,
                            32,
                            true,
                            InstanceId.of("none"),
                            Version.of(mIncarnation, 0));
            mOwner.handleEvent(new MembershipInput.BackendAnnounced(announced, mInFlight));
        }

        private void findOwner() {
            mNextOwnerLookupNanos = mNowNanos + 5 * NANOS_PER_SECOND;
            Instance contact = mOwner;
            if (contact == null || !canReach(contact)) {
                List<Instance> reachable = mInstances.stream().filter(this::canReach).toList();
                contact =
                        reachable.isEmpty()
                                ? null
                                : reachable.get(mRandom.nextInt(reachable.size()));
            }
            mOwner = null;
            if (contact == null) {
                return;
            }
            InstanceId owner = OwnerSelector.selectOwner(contact.view(), mId, zone()).orElse(null);
            for (Instance instance : mInstances) {
                if (instance.mInfo.id().equals(owner) && canReach(instance)) {
                    mOwner = instance;
                }
            }
        }

        private boolean canReach(Instance instance) {
            return instance.mLive && mZonePartitions[instance.mZone] == mZonePartitions[mZone];
        }
    }

    private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
