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

/**
 * Simulates instances that exchange gossip over an in-memory network with faults, and the backend
 * servers that announce themselves to them.
 */
final class Simulation {
    static final long MILLI_NANOS = 1_000_000L;
    static final long SECOND_NANOS = 1_000 * MILLI_NANOS;

    final SplittableRandom mRandom;
    final List<Peer> mPeers = new ArrayList<>();
    final List<Server> mServers = new ArrayList<>();
    final Map<String, Integer> mFaults = new TreeMap<>();
    final InvariantChecker mChecker = new InvariantChecker(this);
    long mNowNanos = 1;
    double mLossRate;
    double mDuplicateRate;
    double mLateRate;
    long mConfigVersion;

    /** Pairs of peers whose link is broken, as "a b". */
    final List<String> mBrokenLinks = new ArrayList<>();

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final GossipRules mRules;
    private final long mBudget;
    private final int[] mZoneGroups;
    private long mOrder;

    Simulation(long seed, int instances, int zones, GossipRules rules, long budget) {
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
            schedule(mNowNanos + mRandom.nextLong(500 * MILLI_NANOS), server::announce);
        }
        schedule(mNowNanos + 250 * MILLI_NANOS, this::check);
    }

    void schedule(long nanos, Runnable action) {
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

    void countFault(String kind) {
        mFaults.merge(kind, 1, Integer::sum);
    }

    void setZonePartitioned(int zone, boolean isPartitioned) {
        mZoneGroups[zone] = isPartitioned ? zone + 1 : 0;
        for (Peer peer : mPeers) {
            if (peer.mZone == zone) {
                peer.mGroup = mZoneGroups[zone];
                peer.mStableSinceNanos = mNowNanos;
            }
        }
    }

    void heal() {
        for (int zone = 0; zone < mZoneGroups.length; zone++) {
            mZoneGroups[zone] = 0;
        }
        mBrokenLinks.clear();
        mLossRate = 0;
        mDuplicateRate = 0;
        mLateRate = 0;
        for (Peer peer : mPeers) {
            if (peer.mGroup != 0) {
                peer.mGroup = 0;
                peer.mStableSinceNanos = mNowNanos;
            }
            peer.resume();
        }
    }

    boolean areLinked(Peer a, Peer b) {
        return a.mGroup == b.mGroup
                && !mBrokenLinks.contains(a.mIndex + " " + b.mIndex)
                && !mBrokenLinks.contains(b.mIndex + " " + a.mIndex);
    }

    void publish(Peer peer, Fact fact) {
        peer.sendEvent(new MembershipInput.PublishFact(fact));
    }

    private void check() {
        mChecker.check();
        schedule(mNowNanos + 250 * MILLI_NANOS, this::check);
    }

    private void transmit(Peer from, MembershipOutput.Send send) {
        from.record(send.wireBytes());
        if (mRandom.nextDouble() < mLossRate) {
            countFault("lost");
            return;
        }
        boolean isDuplicated = mRandom.nextDouble() < mDuplicateRate;
        if (isDuplicated) {
            countFault("doubled");
        }
        for (int i = 0; i < (isDuplicated ? 2 : 1); i++) {
            long delay = MILLI_NANOS + mRandom.nextLong(15 * MILLI_NANOS);
            if (mRandom.nextDouble() < mLateRate) {
                delay += mRandom.nextLong(3 * SECOND_NANOS);
                countFault("late");
            }
            schedule(mNowNanos + delay, () -> deliver(from, send));
        }
    }

    private void deliver(Peer from, MembershipOutput.Send send) {
        for (Peer peer : mPeers) {
            if (peer.mInfo.peerAddress().equals(send.address()) && areLinked(from, peer)) {
                peer.receive(new MembershipInput.Received(from.mInfo.id(), send.payload()));
            }
        }
    }

    /** One instance; a crash loses its membership state, a restart creates a new one. */
    final class Peer {
        final int mIndex;
        final int mZone;
        final InstanceInfo mInfo;
        Membership mMembership;
        boolean mLive;
        boolean mPaused;
        int mGroup;

        /** Time since which the peer has been running and connected. */
        long mStableSinceNanos;

        final ArrayDeque<long[]> mSent = new ArrayDeque<>();
        long mWindowBytes;
        private long mStartIncarnation = 1_000;
        private int mRunNumber;
        private long mTimerNanos = Long.MAX_VALUE;
        private final List<MembershipInput> mHeldInputs = new ArrayList<>();

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
            mStartIncarnation += 1_000;
            mRunNumber++;
            mLive = true;
            mStableSinceNanos = mNowNanos;
            mSent.clear();
            mWindowBytes = 0;
            mHeldInputs.clear();
            mTimerNanos = Long.MAX_VALUE;
            mChecker.forget(this);
            List<String> seeds = List.of("10.0.0.0:9000", "10.0.0.1:9000", "10.0.0.2:9000");
            MembershipSettings settings = new MembershipSettings(mInfo, mStartIncarnation, seeds);
            ControlBudget budget = ControlBudget.of(mBudget, mNowNanos);
            mMembership = Membership.create(settings, budget, mRandom.split(), mRules, mNowNanos);
            sendEvent(new MembershipInput.SelfChanged(true, false, 0));
        }

        void crash() {
            mLive = false;
            mPaused = false;
            mStableSinceNanos = Long.MAX_VALUE;
        }

        void pause() {
            mPaused = true;
            mStableSinceNanos = Long.MAX_VALUE;
        }

        void resume() {
            if (!mPaused) {
                return;
            }
            mPaused = false;
            mStableSinceNanos = mNowNanos;
            onTimer(mRunNumber);
            List<MembershipInput> heldInputs = new ArrayList<>(mHeldInputs);
            mHeldInputs.clear();
            heldInputs.forEach(this::sendEvent);
        }

        boolean isRunning() {
            return mLive && !mPaused;
        }

        MembershipView view() {
            return mMembership.view(mNowNanos);
        }

        void receive(MembershipInput input) {
            if (mLive && mPaused && mHeldInputs.size() < 200) {
                mHeldInputs.add(input);
            } else if (isRunning()) {
                sendEvent(input);
            }
        }

        void sendEvent(MembershipInput input) {
            mMembership.onEvent(mNowNanos, input, this::handleOutput);
            armTimer();
        }

        void record(int bytes) {
            mSent.add(new long[] {mNowNanos, bytes});
            mWindowBytes += bytes;
            while (mSent.peek()[0] <= mNowNanos - SECOND_NANOS) {
                mWindowBytes -= mSent.poll()[1];
            }
            mChecker.checkWindowBytes(this, mWindowBytes);
        }

        private void handleOutput(MembershipOutput output) {
            if (output instanceof MembershipOutput.Send send) {
                transmit(this, send);
            }
        }

        private void armTimer() {
            long next = mMembership.nextTimerNanos();
            if (next < mTimerNanos) {
                mTimerNanos = next;
                int runNumber = mRunNumber;
                schedule(Math.max(next, mNowNanos), () -> onTimer(runNumber));
            }
        }

        private void onTimer(int runNumber) {
            if (runNumber != mRunNumber || !isRunning()) {
                return;
            }
            mTimerNanos = Long.MAX_VALUE;
            mMembership.onTimer(mNowNanos, this::handleOutput);
            armTimer();
        }
    }

    /**
     * One backend server, which announces itself every 500 ms to the owner that its contact
     * instance names.
     */
    final class Server {
        final BackendId mId;
        final int mZone;
        long mIncarnation = 1;
        BackendState mState = BackendState.READY;
        long mAnnouncedAtNanos = Long.MIN_VALUE;
        private Peer mContact;

        Server(int index, int zone) {
            mId = BackendId.of("b" + index);
            mZone = zone;
        }

        void announce() {
            schedule(mNowNanos + 500 * MILLI_NANOS, this::announce);
            if (mContact == null || !canReach(mContact)) {
                List<Peer> reachable = mPeers.stream().filter(this::canReach).toList();
                if (reachable.isEmpty()) {
                    return;
                }
                mContact = reachable.get(mRandom.nextInt(reachable.size()));
            }
            Optional<InstanceId> owner =
                    OwnerSelector.selectOwner(mContact.view(), mId, ZoneId.of("z" + mZone));
            for (Peer peer : mPeers) {
                if (owner.isPresent() && peer.mInfo.id().equals(owner.get()) && canReach(peer)) {
                    peer.sendEvent(new MembershipInput.BackendAnnounced(toBackend(), 1));
                    mContact = peer;
                    mAnnouncedAtNanos = mNowNanos;
                    mChecker.onAnnounced(this, peer);
                    return;
                }
            }
            mContact = null;
        }

        private boolean canReach(Peer peer) {
            return peer.isRunning() && peer.mGroup == mZoneGroups[mZone];
        }

        private Backend toBackend() {
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
