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

/** Memberships that exchange messages in memory, with delay and loss; simulated time. */
final class GossipFleet {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;
    private static final long ANNOUNCE_NANOS = 500 * MILLI;
    private static final double LOSS = 0.01;

    /** Size and rules of a fleet. */
    record Parameters(
            int regions, int zones, int instances, int workers, long budget, GossipRules rules) {}

    final SplittableRandom mRandom;
    final List<Instance> mNodes = new ArrayList<>();
    final List<Server> mWorkers = new ArrayList<>();
    final Parameters mShape;
    long mNowNanos = 1;
    long mCpuNanos;
    long mSentMessages;
    long mViewChanges;
    BiConsumer<Instance, Fact> mOnFact = (node, fact) -> {};

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final int[] mZoneGroups;
    private long mOrder;

    GossipFleet(long seed, Parameters shape) {
        mRandom = new SplittableRandom(seed);
        mShape = shape;
        mZoneGroups = new int[shape.zones()];
        for (int i = 0; i < shape.instances(); i++) {
            mNodes.add(new Instance(i, i % shape.zones()));
        }
        mNodes.forEach(Instance::start);
        for (int i = 0; i < shape.workers(); i++) {
            Server worker = new Server(i, i % shape.zones());
            mWorkers.add(worker);
            at(5 * SECOND + mRandom.nextLong(ANNOUNCE_NANOS), worker::announce);
        }
    }

    void at(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, mOrder++, action));
    }

    void run(long nanos) {
        long end = mNowNanos + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().mNanos <= end) {
            Event event = mEvents.poll();
            mNowNanos = event.mNanos;
            event.mAction.run();
        }
        mNowNanos = end;
    }

    void cutZone(int zone, boolean cut) {
        mZoneGroups[zone] = cut ? zone + 1 : 0;
    }

    List<Instance> live() {
        return mNodes.stream().filter(node -> node.mLive).toList();
    }

    /** Returns whether every live instance knows every live instance and every worker. */
    boolean isComplete() {
        int members = live().size();
        for (Instance node : live()) {
            MembershipView view = node.view();
            long alive =
                    view.members().values().stream()
                            .filter(member -> member.status().isReachable())
                            .count();
            if (alive < members || view.backends().size() < mWorkers.size()) {
                return false;
            }
        }
        return true;
    }

    long sentBytes() {
        return mNodes.stream().mapToLong(node -> node.mSentBytes).sum();
    }

    private int region(int zone) {
        return zone * mShape.regions() / mShape.zones();
    }

    private void transmit(Instance from, MembershipOutput.Send send) {
        from.mSentBytes += send.wireBytes();
        mSentMessages++;
        if (mRandom.nextDouble() < LOSS) {
            return;
        }
        int target = Integer.parseInt(send.address().substring(1, send.address().indexOf(':')));
        Instance to = mNodes.get(target);
        long delay = 250_000;
        if (region(from.mZone) != region(to.mZone)) {
            delay = 40 * MILLI;
        } else if (from.mZone != to.mZone) {
            delay = MILLI;
        }
        at(mNowNanos + delay, () -> deliver(from, to, send));
    }

    private void deliver(Instance from, Instance to, MembershipOutput.Send send) {
        if (to.mLive && mZoneGroups[from.mZone] == mZoneGroups[to.mZone]) {
            to.event(new MembershipInput.Received(from.mInfo.id(), send.payload()));
        }
    }

    /** One instance. */
    final class Instance {
        final int mZone;
        final InstanceInfo mInfo;
        Membership mMembership;
        ControlBudget mBudget;
        boolean mLive;
        long mSentBytes;
        private long mStart = 1_796_342_400_000L;
        private int mRun;
        private long mTimerNanos;

        Instance(int index, int zone) {
            mZone = zone;
            mInfo =
                    new InstanceInfo(
                            InstanceId.of("router-" + index),
                            ZoneId.of("zone-" + zone),
                            "region-" + region(zone),
                            "h" + index + ":9000",
                            "h" + index + ":9001");
        }

        void start() {
            mStart += 1_000;
            mRun++;
            mLive = true;
            mTimerNanos = Long.MAX_VALUE;
            mBudget = ControlBudget.of(mShape.budget(), mNowNanos);
            List<String> seeds = new ArrayList<>();
            for (int i = 0; i < mShape.zones(); i++) {
                seeds.add("h" + i + ":9000");
            }
            MembershipSettings settings = new MembershipSettings(mInfo, mStart, seeds);
            mMembership =
                    Membership.create(
                            settings, mBudget, mRandom.split(), mShape.rules(), mNowNanos);
            event(new MembershipInput.SelfChanged(true, false, 1));
        }

        void crash() {
            mLive = false;
        }

        MembershipView view() {
            return mMembership.view(mNowNanos);
        }

        void event(MembershipInput input) {
            long before = System.nanoTime();
            mMembership.onEvent(mNowNanos, input, this::output);
            mCpuNanos += System.nanoTime() - before;
            arm();
        }

        private void output(MembershipOutput output) {
            if (output instanceof MembershipOutput.Send send) {
                transmit(this, send);
            } else if (output instanceof MembershipOutput.FactLearned learned) {
                mOnFact.accept(this, learned.fact());
            } else if (output instanceof MembershipOutput.ViewChanged) {
                mViewChanges++;
            }
        }

        private void arm() {
            long next = mMembership.nextTimerNanos();
            if (next < mTimerNanos) {
                mTimerNanos = next;
                int run = mRun;
                at(Math.max(next, mNowNanos), () -> timer(run));
            }
        }

        private void timer(int run) {
            if (run != mRun || !mLive) {
                return;
            }
            mTimerNanos = Long.MAX_VALUE;
            long before = System.nanoTime();
            mMembership.onTimer(mNowNanos, this::output);
            mCpuNanos += System.nanoTime() - before;
            arm();
        }
    }

    /** One backend server, announced to its owner every 500 ms. */
    final class Server {
        final BackendId mId;
        final int mZone;
        BackendState mState = BackendState.READY;
        long mIncarnation = 1;
        Instance mOwner;
        boolean mVaries;
        private int mInFlight = 4;
        private long mOwnerUntilNanos;

        Server(int index, int zone) {
            mId = BackendId.of("worker-" + index);
            mZone = zone;
        }

        ZoneId zone() {
            return ZoneId.of("zone-" + mZone);
        }

        private void announce() {
            at(mNowNanos + ANNOUNCE_NANOS, this::announce);
            if (mOwner == null || !reaches(mOwner) || mNowNanos > mOwnerUntilNanos) {
                findOwner();
            }
            if (mOwner != null) {
                tell();
            }
        }

        /** Announces the current state to the owner. */
        void tell() {
            int step = mVaries ? mRandom.nextInt(5) - 2 : 0;
            mInFlight = Math.max(0, Math.min(32, mInFlight + step));
            Backend entry =
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
            mOwner.event(new MembershipInput.BackendAnnounced(entry, mInFlight));
        }

        private void findOwner() {
            mOwnerUntilNanos = mNowNanos + 5 * SECOND;
            Instance contact = mOwner;
            if (contact == null || !reaches(contact)) {
                List<Instance> reachable = mNodes.stream().filter(this::reaches).toList();
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
            for (Instance node : mNodes) {
                if (node.mInfo.id().equals(owner) && reaches(node)) {
                    mOwner = node;
                }
            }
        }

        private boolean reaches(Instance node) {
            return node.mLive && mZoneGroups[node.mZone] == mZoneGroups[mZone];
        }
    }

    private record Event(long mNanos, long mOrder, Runnable mAction) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(mNanos, other.mNanos);
            return byTime != 0 ? byTime : Long.compare(mOrder, other.mOrder);
        }
    }
}
