package org.hemlockrack.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.hemlockrack.model.InstanceId;

/**
 * One seeded history: replicas on a fake network and fake disks, clients, faults and the oracle.
 */
final class History {
    /** Kinds of faults, counted for the report. */
    enum Fault {
        LOST,
        DOUBLED,
        LATE,
        PARTITION,
        CRASH,
        CRASH_IN_STEP,
        FROZEN,
        CLOCK_STEP,
        FOLDER_LOST,
        FOLDER_DAMAGED,
        VOTER_CHANGE
    }

    private record Delivery(long atNanos, long sequence, int target, byte[] bytes) {}

    private static final long MILLIS = 1_000_000L;

    final SplittableRandom mRandom;
    final Oracle mOracle = new Oracle();
    final Map<Fault, Integer> mFaults = new EnumMap<>(Fault.class);
    final List<Instance> mInstances = new ArrayList<>();
    final List<InstanceId> mListed = new ArrayList<>();
    final Set<Mechanism> mOff;
    final Variant mVariant;
    long mNowNanos = 1;
    long mSteps;
    long mWallOffsetMillis = 1_800_000_000_000L;
    private final PriorityQueue<Delivery> mNetwork =
            new PriorityQueue<>(
                    Comparator.comparingLong(Delivery::atNanos)
                            .thenComparingLong(Delivery::sequence));
    private final int[] mLossPercent = {0, 2, 10, 25};
    private long mSequence;
    private long mNextCommand = 1;
    private boolean[][] mCut;
    private boolean mFaulty;
    private int mLoss;

    History(long seed, int voters, int spares, Variant variant, Set<Mechanism> off) {
        mRandom = new SplittableRandom(seed);
        mVariant = variant;
        mOff = off;
        for (int i = 0; i < voters; i++) {
            mListed.add(InstanceId.of("i" + i));
        }
        for (int i = 0; i < voters + spares; i++) {
            mInstances.add(new Instance(this, InstanceId.of("i" + i)));
        }
        mCut = new boolean[voters + spares][voters + spares];
        mLoss = mLossPercent[mRandom.nextInt(mLossPercent.length)];
    }

    long millis(long millis) {
        return millis * MILLIS;
    }

    void count(Fault fault) {
        mFaults.merge(fault, 1, Integer::sum);
    }

    /** Runs clients and faults for a time, then heals everything and requires convergence. */
    void run(long chaosMillis) {
        mFaulty = true;
        long end = mNowNanos + millis(chaosMillis);
        long nextClient = mNowNanos;
        long nextFault = mNowNanos + millis(1500);
        while (mNowNanos < end) {
            advance(Math.min(end, Math.min(nextClient, nextFault)));
            if (mNowNanos >= nextClient) {
                client();
                nextClient = mNowNanos + millis(5 + mRandom.nextInt(60));
            }
            if (mNowNanos >= nextFault) {
                fault();
                nextFault = mNowNanos + millis(50 + mRandom.nextInt(1200));
            }
        }
        heal();
        converge();
    }

    /** Handles deliveries and timers up to a time. */
    void advance(long untilNanos) {
        while (true) {
            long next = mNetwork.isEmpty() ? Long.MAX_VALUE : mNetwork.peek().atNanos();
            for (Instance each : mInstances) {
                next = Math.min(next, each.wakeNanos());
            }
            if (next > untilNanos) {
                mNowNanos = Math.max(mNowNanos, untilNanos);
                return;
            }
            mNowNanos = Math.max(mNowNanos, next);
            deliver();
            for (Instance each : mInstances) {
                each.stepIfDue();
            }
        }
    }

    private void deliver() {
        while (!mNetwork.isEmpty() && mNetwork.peek().atNanos() <= mNowNanos) {
            Delivery delivery = mNetwork.poll();
            mInstances.get(delivery.target()).receive(ConsensusCodec.decode(delivery.bytes()));
        }
    }

    void send(Instance from, Packet packet) {
        mOracle.sent(packet);
        int source = mInstances.indexOf(from);
        int target = Integer.parseInt(packet.to().instance().value().substring(1));
        if (mCut[source][target]) {
            return;
        }
        if (mFaulty && mRandom.nextInt(100) < mLoss) {
            count(Fault.LOST);
            return;
        }
        byte[] bytes = ConsensusCodec.encode(packet);
        schedule(target, bytes);
        if (mFaulty && mRandom.nextInt(100) < 3) {
            count(Fault.DOUBLED);
            schedule(target, bytes);
        }
    }

    private void schedule(int target, byte[] bytes) {
        long delay = millis(1) + mRandom.nextLong(millis(4));
        if (mFaulty && mRandom.nextInt(100) < 3) {
            count(Fault.LATE);
            delay += mRandom.nextLong(millis(4000));
        }
        mNetwork.add(new Delivery(mNowNanos + delay, mSequence++, target, bytes));
    }

    private Instance any() {
        return mInstances.get(mRandom.nextInt(mInstances.size()));
    }

    Instance leader() {
        Instance best = null;
        for (Instance each : mInstances) {
            boolean leads = each.running() && each.consensus().role() == Role.LEADER;
            if (leads && (best == null || each.consensus().term() > best.consensus().term())) {
                best = each;
            }
        }
        return best;
    }

    void client() {
        Instance leader = leader();
        Instance target = leader == null || mRandom.nextInt(4) == 0 ? any() : leader;
        if (!target.running()) {
            return;
        }
        int count = 1 + mRandom.nextInt(4);
        for (int i = 0; i < count; i++) {
            if (mRandom.nextInt(3) == 0) {
                target.read(mNextCommand++, mOracle.mAcknowledgedIndex);
            } else {
                target.receive(propose(mNextCommand++));
            }
        }
    }

    ConsensusEvent propose(long command) {
        byte[] bytes = ByteBuffer.allocate(8).putLong(command).array();
        long wall = mWallOffsetMillis + mNowNanos / MILLIS;
        return new ConsensusEvent.Propose(command, bytes, wall);
    }

    private void fault() {
        Fault fault = Fault.values()[mRandom.nextInt(Fault.values().length)];
        Instance victim = any();
        switch (fault) {
            case PARTITION -> partition();
            case CRASH -> victim.crash(mRandom.nextInt(2000));
            case CRASH_IN_STEP -> victim.crashAfter(1 + mRandom.nextInt(4));
            case FROZEN -> victim.freeze(mRandom.nextInt(5000));
            case CLOCK_STEP -> mWallOffsetMillis += mRandom.nextInt(7_200_000) - 3_600_000;
            case FOLDER_LOST, FOLDER_DAMAGED -> {
                if (!repaired()) {
                    return;
                }
                victim.loseFolder(fault == Fault.FOLDER_DAMAGED);
            }
            case VOTER_CHANGE -> changeVoters();
            default -> mLoss = mLossPercent[mRandom.nextInt(mLossPercent.length)];
        }
        if (fault.ordinal() >= Fault.PARTITION.ordinal()) {
            count(fault);
        }
    }

    /** A second folder may only be lost once no replacement is pending. */
    private boolean repaired() {
        Instance leader = leader();
        if (leader == null || !leader.stable()) {
            return false;
        }
        Membership members = leader.consensus().membership();
        for (Member member : members.members()) {
            Instance owner =
                    mInstances.stream()
                            .filter(i -> i.mId.equals(member.replica().instance()))
                            .findFirst()
                            .orElseThrow();
            boolean replacing = member.kind() == MemberKind.REPLACEMENT;
            if (replacing || owner.replicaId() != member.replica().replicaId()) {
                return false;
            }
        }
        return members.voters().size() >= mListed.size();
    }

    private void changeVoters() {
        Instance leader = leader();
        if (leader != null && mInstances.size() > mListed.size()) {
            VoterChange.Action[] actions = VoterChange.Action.values();
            VoterChange.Action action = actions[mRandom.nextInt(actions.length)];
            InstanceId spare = mInstances.get(mInstances.size() - 1).mId;
            long ticket = -mNextCommand++;
            leader.receive(new ConsensusEvent.ChangeVoters(ticket, new VoterChange(action, spare)));
        }
    }

    /** Cuts the instances into two sides, or heals the cut. */
    private void partition() {
        boolean heal = mRandom.nextInt(3) == 0;
        boolean oneWay = mRandom.nextInt(4) == 0;
        boolean[] side = new boolean[mInstances.size()];
        for (int i = 0; i < side.length; i++) {
            side[i] = mRandom.nextBoolean();
        }
        for (int i = 0; i < side.length; i++) {
            for (int j = 0; j < side.length; j++) {
                mCut[i][j] = !heal && side[i] != side[j] && (!oneWay || side[i]);
            }
        }
    }

    /** Cuts one instance off, or connects it again. */
    void isolate(int index, boolean cut) {
        for (int i = 0; i < mInstances.size(); i++) {
            mCut[index][i] = cut;
            mCut[i][index] = cut;
        }
    }

    void heal() {
        mFaulty = false;
        mCut = new boolean[mInstances.size()][mInstances.size()];
        for (Instance each : mInstances) {
            each.heal();
        }
    }

    /** Requires that a healed cluster accepts a command and that all listed instances apply it. */
    void converge() {
        for (int i = 0; i < 60 && mOracle.mViolations.isEmpty(); i++) {
            advance(mNowNanos + millis(1000));
            Instance leader = leader();
            if (leader == null || !repaired()) {
                continue;
            }
            long command = mNextCommand++;
            leader.receive(propose(command));
            advance(mNowNanos + millis(1000));
            if (mOracle.mAcknowledged.containsKey(command) && allHold(command)) {
                return;
            }
        }
        if (mOracle.mViolations.isEmpty()) {
            mOracle.mViolations.add("no convergence within 60 s after healing");
        }
    }

    private boolean allHold(long command) {
        for (int i = 0; i < mListed.size(); i++) {
            ListState state = mInstances.get(i).mState;
            if (!state.mCommands.contains(command)) {
                return false;
            }
        }
        for (int i = 0; i < mListed.size(); i++) {
            mOracle.holds(mInstances.get(i).mState);
        }
        return true;
    }
}
