package org.hemlockrack.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.hemlockrack.membership.internal.GossipRules;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;

/** Memberships over an in-memory network with faults, and the backend servers they list. */
final class World {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;

    final SplittableRandom mRandom;
    final List<Peer> mPeers = new ArrayList<>();
    final List<Server> mServers = new ArrayList<>();
    final Map<String, Integer> mFaults = new TreeMap<>();
    final Checker mChecker = new Checker(this);
    long mNow = 1;
    double mLoss;
    double mDuplicate;
    double mLate;
    long mConfig;

    /** Pairs of peers whose link alone is cut, as "a b". */
    final List<String> mCutLinks = new ArrayList<>();

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final GossipRules mRules;
    private final long mBudget;
    private final int[] mZoneGroups;
    private long mOrder;

    World(long seed, int instances, int zones, GossipRules rules, long budget) {
        mRandom = new SplittableRandom(seed);
        mRules = rules;
        mBudget = budget;
        mZoneGroups = new int[zones];
        for (int i = 0; i < instances; i++) {
            Peer peer = new Peer(i, i % zones);
            mPeers.add(peer);
            peer.start();
        }
        for (int i = 0; i < 2 * zones; i++) {
            Server server = new Server(i, i % zones);
            mServers.add(server);
            at(mNow + mRandom.nextLong(500 * MILLI), server::announce);
        }
        at(mNow + 250 * MILLI, this::check);
    }

    void at(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, mOrder++, action));
    }

    void run(long nanos) {
        long end = mNow + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().mNanos <= end) {
            Event event = mEvents.poll();
            mNow = event.mNanos;
            event.mAction.run();
        }
        mNow = end;
    }

    void fault(String kind) {
        mFaults.merge(kind, 1, Integer::sum);
    }

    void cutZone(int zone, boolean cut) {
        mZoneGroups[zone] = cut ? zone + 1 : 0;
        for (Peer peer : mPeers) {
            if (peer.mZone == zone) {
                peer.mGroup = mZoneGroups[zone];
                peer.mStableSince = mNow;
            }
        }
    }

    void heal() {
        for (int zone = 0; zone < mZoneGroups.length; zone++) {
            mZoneGroups[zone] = 0;
        }
        mCutLinks.clear();
        mLoss = 0;
        mDuplicate = 0;
        mLate = 0;
        for (Peer peer : mPeers) {
            if (peer.mGroup != 0) {
                peer.mGroup = 0;
                peer.mStableSince = mNow;
            }
            peer.thaw();
        }
    }

    boolean linked(Peer a, Peer b) {
        return a.mGroup == b.mGroup
                && !mCutLinks.contains(a.mIndex + " " + b.mIndex)
                && !mCutLinks.contains(b.mIndex + " " + a.mIndex);
    }

    void publish(Peer peer, Fact fact) {
        peer.event(new MembershipInput.PublishFact(fact));
    }

    private void check() {
        mChecker.check();
        at(mNow + 250 * MILLI, this::check);
    }

    private void transmit(Peer from, MembershipOutput.Send send) {
        from.record(send.wireBytes());
        if (mRandom.nextDouble() < mLoss) {
            fault("lost");
            return;
        }
        boolean twice = mRandom.nextDouble() < mDuplicate;
        if (twice) {
            fault("doubled");
        }
        for (int i = 0; i < (twice ? 2 : 1); i++) {
            long delay = MILLI + mRandom.nextLong(15 * MILLI);
            if (mRandom.nextDouble() < mLate) {
                delay += mRandom.nextLong(3 * SECOND);
                fault("late");
            }
            at(mNow + delay, () -> deliver(from, send));
        }
    }

    private void deliver(Peer from, MembershipOutput.Send send) {
        for (Peer peer : mPeers) {
            if (peer.mInfo.peerAddress().equals(send.address()) && linked(from, peer)) {
                peer.receive(new MembershipInput.Received(from.mInfo.id(), send.payload()));
            }
        }
    }

    /** One instance; a crash loses its membership, a restart makes a new one. */
    final class Peer {
        final int mIndex;
        final int mZone;
        final InstanceInfo mInfo;
        Membership mMembership;
        boolean mLive;
        boolean mFrozen;
        int mGroup;

        /** Since when the peer runs and is not cut off. */
        long mStableSince;

        final ArrayDeque<long[]> mSent = new ArrayDeque<>();
        long mWindowBytes;
        private long mStart = 1_000;
        private int mRun;
        private long mTimer = Long.MAX_VALUE;
        private final List<MembershipInput> mHeld = new ArrayList<>();

        Peer(int index, int zone) {
            mIndex = index;
            mZone = zone;
            mInfo =
                    new InstanceInfo(
                            InstanceId.of("i" + index),
                            ZoneId.of("z" + zone),
                            "r",
                            "10.0.0." + index + ":9000",
                            "10.0.0." + index + ":9001");
        }

        void start() {
            mStart += 1_000;
            mRun++;
            mLive = true;
            mStableSince = mNow;
            mSent.clear();
            mWindowBytes = 0;
            mHeld.clear();
            mTimer = Long.MAX_VALUE;
            mChecker.forget(this);
            List<String> seeds = List.of("10.0.0.0:9000", "10.0.0.1:9000", "10.0.0.2:9000");
            MembershipSettings settings = new MembershipSettings(mInfo, mStart, seeds);
            ControlBudget budget = ControlBudget.of(mBudget, mNow);
            mMembership = Membership.create(settings, budget, mRandom.split(), mRules, mNow);
            event(new MembershipInput.SelfChanged(true, false, 0));
        }

        void crash() {
            mLive = false;
            mFrozen = false;
            mStableSince = Long.MAX_VALUE;
        }

        void freeze() {
            mFrozen = true;
            mStableSince = Long.MAX_VALUE;
        }

        void thaw() {
            if (!mFrozen) {
                return;
            }
            mFrozen = false;
            mStableSince = mNow;
            timer(mRun);
            List<MembershipInput> held = new ArrayList<>(mHeld);
            mHeld.clear();
            held.forEach(this::event);
        }

        boolean runs() {
            return mLive && !mFrozen;
        }

        MembershipView view() {
            return mMembership.view(mNow);
        }

        void receive(MembershipInput input) {
            if (mLive && mFrozen && mHeld.size() < 200) {
                mHeld.add(input);
            } else if (runs()) {
                event(input);
            }
        }

        void event(MembershipInput input) {
            mMembership.onEvent(mNow, input, this::output);
            arm();
        }

        void record(int bytes) {
            mSent.add(new long[] {mNow, bytes});
            mWindowBytes += bytes;
            while (mSent.peek()[0] <= mNow - SECOND) {
                mWindowBytes -= mSent.poll()[1];
            }
            mChecker.bytes(this, mWindowBytes);
        }

        private void output(MembershipOutput output) {
            if (output instanceof MembershipOutput.Send send) {
                transmit(this, send);
            }
        }

        private void arm() {
            long next = mMembership.nextTimerNanos();
            if (next < mTimer) {
                mTimer = next;
                int run = mRun;
                at(Math.max(next, mNow), () -> timer(run));
            }
        }

        private void timer(int run) {
            if (run != mRun || !runs()) {
                return;
            }
            mTimer = Long.MAX_VALUE;
            mMembership.onTimer(mNow, this::output);
            arm();
        }
    }

    /** One backend server, which announces itself every 500 ms to the owner it is told. */
    final class Server {
        final BackendId mId;
        final int mZone;
        long mIncarnation = 1;
        BackendState mState = BackendState.READY;
        long mAnnouncedAt = Long.MIN_VALUE;
        private Peer mContact;

        Server(int index, int zone) {
            mId = BackendId.of("b" + index);
            mZone = zone;
        }

        void announce() {
            at(mNow + 500 * MILLI, this::announce);
            if (mContact == null || !reaches(mContact)) {
                List<Peer> found = mPeers.stream().filter(this::reaches).toList();
                if (found.isEmpty()) {
                    return;
                }
                mContact = found.get(mRandom.nextInt(found.size()));
            }
            Optional<InstanceId> owner =
                    OwnerSelector.selectOwner(mContact.view(), mId, ZoneId.of("z" + mZone));
            for (Peer peer : mPeers) {
                if (owner.isPresent() && peer.mInfo.id().equals(owner.get()) && reaches(peer)) {
                    peer.event(new MembershipInput.BackendAnnounced(entry(), 1));
                    mContact = peer;
                    mAnnouncedAt = mNow;
                    mChecker.announced(this, peer);
                    return;
                }
            }
            mContact = null;
        }

        private boolean reaches(Peer peer) {
            return peer.runs() && peer.mGroup == mZoneGroups[mZone];
        }

        private Backend entry() {
            return new Backend(
                    mId,
                    ServiceId.of("chat"),
                    List.of(ModelVersion.of("m", "v1")),
                    ZoneId.of("z" + mZone),
                    "10.1.0.1:80",
                    mState,
                    8,
                    true,
                    InstanceId.of("none"),
                    Version.of(mIncarnation, 0));
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
