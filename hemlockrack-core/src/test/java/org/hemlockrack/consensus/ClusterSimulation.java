package org.hemlockrack.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Deterministic simulation of a cluster from a seed: replicas on a simulated network and simulated
 * disks, clients, injected faults and an oracle that checks safety.
 */
final class ClusterSimulation {
    /** Kinds of faults, counted for the test's summary. */
    enum InjectedFault {
        LOST,
        DOUBLED,
        LATE,
        PARTITION,
        CRASH,
        CRASH_IN_STEP,
        FROZEN,
        CLOCK_STEP,
        DISK_FULL,
        DISKS_FULL,
        DISK_STALLED,
        FOLDER_LOST,
        FOLDER_DAMAGED,
        VOTER_CHANGE
    }

    /** The faults of histories in which disks refuse writes or stall. */
    static final List<InjectedFault> DISK_FAULTS =
            List.of(
                    InjectedFault.DISK_FULL,
                    InjectedFault.DISK_FULL,
                    InjectedFault.DISKS_FULL,
                    InjectedFault.DISK_STALLED,
                    InjectedFault.CRASH,
                    InjectedFault.CRASH_IN_STEP,
                    InjectedFault.PARTITION);

    private record Delivery(long atNanos, long sequence, int target, byte[] bytes) {}

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** One way between two zones. */
    private static final long LINK_DELAY_NANOS = 1_400_000L;

    final SplittableRandom mRandom;
    final Oracle mOracle = new Oracle();
    final Map<InjectedFault, Integer> mFaultCounts = new EnumMap<>(InjectedFault.class);
    final List<SimulatedInstance> mInstances = new ArrayList<>();
    final List<InstanceId> mBootstrapVoters = new ArrayList<>();
    final Set<ProtocolFeature> mDisabledFeatures;
    final Variant mVariant;
    LogFormation mFormation = LogFormation.WITH_ALL;

    /** The faults to inject. */
    List<InjectedFault> mFaults = List.of(InjectedFault.values());

    /** Whether no part of a snapshot arrives. */
    boolean mDropsSnapshotChunks;

    /** Whether no folder is lost and no voter changed. */
    boolean mKeepsReplicas;

    /** Whether the replicas have the settings of a deployment instead of ones for short logs. */
    boolean mUsesDefaultSettings;

    /** Bytes a second that each instance can send, to all others together; 0 for no limit. */
    long mLinkBytesPerSecond;

    /** For how long each sync of a disk blocks the process. */
    long mSyncNanos;

    /** When each instance will have sent what is queued on its link. */
    private final Map<Integer, Long> mLinkFreeNanos = new HashMap<>();

    @Nullable SettledReports mSettled;

    /** Called with the leader when a requested change of its voters is committed. */
    Consumer<SimulatedInstance> mVoterChangeListener = leader -> {};

    long mNowNanos = 1;
    long mSteps;
    long mWallOffsetMillis = 1_800_000_000_000L;
    private final @Nullable Supplier<SimulatedDisk> mDisks;
    private final PriorityQueue<Delivery> mNetwork =
            new PriorityQueue<>(
                    Comparator.comparingLong(Delivery::atNanos)
                            .thenComparingLong(Delivery::sequence));
    private final int[] mLossPercentChoices = {0, 2, 10, 25};

    /** Bytes of packets by the index of the receiver. */
    private final Map<Integer, Long> mSentBytes = new HashMap<>();

    private long mNextSequence;
    private long mNextCommand = 1;
    private boolean[][] mBlockedLinks;
    private boolean mFaultsEnabled;
    private int mCurrentLossPercent;

    ClusterSimulation(
            long seed,
            int voters,
            int spares,
            Variant variant,
            Set<ProtocolFeature> disabledFeatures) {
        this(seed, voters, spares, variant, disabledFeatures, null);
    }

    /**
     * Creates a simulation.
     *
     * @param disks creates the disks; they are simulated in memory if null
     */
    ClusterSimulation(
            long seed,
            int voters,
            int spares,
            Variant variant,
            Set<ProtocolFeature> disabledFeatures,
            @Nullable Supplier<SimulatedDisk> disks) {
        mDisks = disks;
        mRandom = new SplittableRandom(seed);
        mVariant = variant;
        mDisabledFeatures = disabledFeatures;
        for (int i = 0; i < voters; i++) {
            mBootstrapVoters.add(InstanceId.of("i" + i));
        }
        for (int i = 0; i < voters + spares; i++) {
            mInstances.add(new SimulatedInstance(this, InstanceId.of("i" + i)));
        }
        mBlockedLinks = new boolean[voters + spares][voters + spares];
        mCurrentLossPercent = mLossPercentChoices[mRandom.nextInt(mLossPercentChoices.length)];
    }

    /** Returns an empty disk. */
    SimulatedDisk newDisk(long replicaId) {
        return mDisks == null ? new InMemoryLogStore.Disk(mVariant, replicaId) : mDisks.get();
    }

    long millisToNanos(long millis) {
        return millis * NANOS_PER_MILLI;
    }

    void countFault(InjectedFault fault) {
        mFaultCounts.merge(fault, 1, Integer::sum);
    }

    /** Runs clients and faults for a time, then ends all faults and requires convergence. */
    void run(long chaosMillis) {
        mFaultsEnabled = true;
        long end = mNowNanos + millisToNanos(chaosMillis);
        long nextClient = mNowNanos;
        long nextFault = mNowNanos + millisToNanos(1500);
        while (mNowNanos < end) {
            advance(Math.min(end, Math.min(nextClient, nextFault)));
            if (mNowNanos >= nextClient) {
                sendClientRequests();
                nextClient = mNowNanos + millisToNanos(5 + mRandom.nextInt(60));
            }
            if (mNowNanos >= nextFault) {
                injectFault();
                nextFault = mNowNanos + millisToNanos(50 + mRandom.nextInt(1200));
            }
        }
        endFaults();
        requireConvergence();
    }

    /** Handles deliveries and timers up to a time. */
    void advance(long untilNanos) {
        while (true) {
            long next = mNetwork.isEmpty() ? Long.MAX_VALUE : mNetwork.peek().atNanos();
            for (SimulatedInstance each : mInstances) {
                next = Math.min(next, each.nextWakeNanos());
            }
            if (next > untilNanos) {
                mNowNanos = Math.max(mNowNanos, untilNanos);
                return;
            }
            mNowNanos = Math.max(mNowNanos, next);
            deliver();
            for (SimulatedInstance each : mInstances) {
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

    void send(SimulatedInstance from, Packet packet) {
        mOracle.onPacketSent(packet);
        int source = mInstances.indexOf(from);
        int target = Integer.parseInt(packet.to().instance().value().substring(1));
        boolean isDroppedChunk =
                mDropsSnapshotChunks && packet.body() instanceof Message.SnapshotChunk;
        if (mBlockedLinks[source][target] || isDroppedChunk) {
            return;
        }
        if (mFaultsEnabled && mRandom.nextInt(100) < mCurrentLossPercent) {
            countFault(InjectedFault.LOST);
            return;
        }
        byte[] bytes = ConsensusCodec.encode(packet);
        mSentBytes.merge(target, (long) bytes.length, Long::sum);
        if (mLinkBytesPerSecond > 0) {
            long arrivalNanos = occupyLink(source, bytes.length) + LINK_DELAY_NANOS;
            mNetwork.add(new Delivery(arrivalNanos, mNextSequence++, target, bytes));
            return;
        }
        long delayNanos = from.blockedNanos();
        schedule(target, bytes, delayNanos);
        if (mFaultsEnabled && mRandom.nextInt(100) < 3) {
            countFault(InjectedFault.DOUBLED);
            schedule(target, bytes, delayNanos);
        }
    }

    /**
     * Queues bytes on the link of an instance.
     *
     * @return when they are sent
     */
    long occupyLink(int source, long bytes) {
        long freeNanos = Math.max(mNowNanos, mLinkFreeNanos.getOrDefault(source, 0L));
        long sentNanos = freeNanos + bytes * TimeUnit.SECONDS.toNanos(1) / mLinkBytesPerSecond;
        mLinkFreeNanos.put(source, sentNanos);
        return sentNanos;
    }

    /** Cuts the power of all machines; what is on the network is lost. */
    void losePower(int maxDownMillis) {
        mNetwork.clear();
        mLinkFreeNanos.clear();
        for (SimulatedInstance each : mInstances) {
            each.crash(mRandom.nextInt(maxDownMillis));
        }
    }

    private void schedule(int target, byte[] bytes, long delayNanos) {
        long delay = delayNanos + millisToNanos(1) + mRandom.nextLong(millisToNanos(4));
        if (mFaultsEnabled && mRandom.nextInt(100) < 3) {
            countFault(InjectedFault.LATE);
            delay += mRandom.nextLong(millisToNanos(4000));
        }
        mNetwork.add(new Delivery(mNowNanos + delay, mNextSequence++, target, bytes));
    }

    /** Returns how many bytes of packets were sent to an instance. */
    long sentBytes(SimulatedInstance instance) {
        return mSentBytes.getOrDefault(mInstances.indexOf(instance), 0L);
    }

    private SimulatedInstance randomInstance() {
        return mInstances.get(mRandom.nextInt(mInstances.size()));
    }

    SimulatedInstance leader() {
        SimulatedInstance best = null;
        for (SimulatedInstance each : mInstances) {
            boolean leads = each.isRunning() && each.consensus().role() == Role.LEADER;
            if (leads && (best == null || each.consensus().term() > best.consensus().term())) {
                best = each;
            }
        }
        return best;
    }

    void sendClientRequests() {
        SimulatedInstance leader = leader();
        SimulatedInstance target =
                leader == null || mRandom.nextInt(4) == 0 ? randomInstance() : leader;
        if (!target.isRunning()) {
            return;
        }
        int count = 1 + mRandom.nextInt(4);
        for (int i = 0; i < count; i++) {
            if (mRandom.nextInt(3) == 0) {
                target.read(mNextCommand++, mOracle.mAcknowledgedIndex);
            } else {
                target.receive(proposal(mNextCommand++));
            }
        }
    }

    ConsensusEvent proposal(long command) {
        return proposal(command, Long.BYTES);
    }

    private ConsensusEvent proposal(long command, int sizeBytes) {
        byte[] bytes = ByteBuffer.allocate(sizeBytes).putLong(command).array();
        long wall = mWallOffsetMillis + mNowNanos / NANOS_PER_MILLI;
        return new ConsensusEvent.Propose(command, bytes, wall);
    }

    /** Returns a proposal of a command that no other has. */
    ConsensusEvent nextProposal() {
        return proposal(mNextCommand++);
    }

    /** Returns a proposal of a command of a size that no other proposal has. */
    ConsensusEvent.Propose nextProposal(int sizeBytes) {
        return (ConsensusEvent.Propose) proposal(mNextCommand++, sizeBytes);
    }

    /** Returns the ticket of a new read. */
    long nextReadTicket() {
        return mNextCommand++;
    }

    private void injectFault() {
        InjectedFault fault = mFaults.get(mRandom.nextInt(mFaults.size()));
        SimulatedInstance victim = randomInstance();
        boolean changesReplicas = fault.ordinal() >= InjectedFault.FOLDER_LOST.ordinal();
        if (mKeepsReplicas && changesReplicas) {
            return;
        }
        switch (fault) {
            case PARTITION -> changePartition();
            case CRASH -> victim.crash(mRandom.nextInt(2000));
            case CRASH_IN_STEP -> victim.crashAfter(1 + mRandom.nextInt(4));
            case FROZEN -> victim.pause(mRandom.nextInt(5000));
            case CLOCK_STEP -> mWallOffsetMillis += mRandom.nextInt(7_200_000) - 3_600_000;
            case DISK_FULL -> victim.setDiskFull(mRandom.nextInt(3) > 0);
            case DISKS_FULL -> {
                boolean full = mRandom.nextInt(3) == 0;
                mInstances.forEach(instance -> instance.setDiskFull(full));
            }
            case DISK_STALLED -> victim.stallDisk(1 + mRandom.nextInt(5000));
            case FOLDER_LOST, FOLDER_DAMAGED -> {
                if (!isRepaired()) {
                    return;
                }
                victim.loseFolder(fault == InjectedFault.FOLDER_DAMAGED);
            }
            case VOTER_CHANGE -> changeVoters();
            default ->
                    mCurrentLossPercent =
                            mLossPercentChoices[mRandom.nextInt(mLossPercentChoices.length)];
        }
        if (fault.ordinal() >= InjectedFault.PARTITION.ordinal()) {
            countFault(fault);
        }
    }

    /**
     * Returns whether no member waits for a repair after the loss of a data folder, so that another
     * one may be lost.
     */
    private boolean isRepaired() {
        SimulatedInstance leader = leader();
        if (leader == null || !leader.isMembershipCommitted()) {
            return false;
        }
        Membership members = leader.consensus().membership();
        for (Member member : members.members()) {
            SimulatedInstance owner =
                    mInstances.stream()
                            .filter(i -> i.mId.equals(member.replica().instance()))
                            .findFirst()
                            .orElseThrow();
            boolean replacing = member.kind() == MemberKind.REPLACEMENT;
            if (replacing || owner.replicaId() != member.replica().replicaId()) {
                return false;
            }
        }
        return members.voters().size() >= mBootstrapVoters.size();
    }

    private void changeVoters() {
        SimulatedInstance leader = leader();
        if (leader != null && mInstances.size() > mBootstrapVoters.size()) {
            VoterChange.Action[] actions = VoterChange.Action.values();
            VoterChange.Action action = actions[mRandom.nextInt(actions.length)];
            InstanceId spare = mInstances.get(mInstances.size() - 1).mId;
            long ticket = -mNextCommand++;
            leader.receive(new ConsensusEvent.ChangeVoters(ticket, new VoterChange(action, spare)));
        }
    }

    /** Partitions the network into two random sides, or ends the partition. */
    private void changePartition() {
        boolean heal = mRandom.nextInt(3) == 0;
        boolean oneWay = mRandom.nextInt(4) == 0;
        boolean[] side = new boolean[mInstances.size()];
        for (int i = 0; i < side.length; i++) {
            side[i] = mRandom.nextBoolean();
        }
        for (int i = 0; i < side.length; i++) {
            for (int j = 0; j < side.length; j++) {
                mBlockedLinks[i][j] = !heal && side[i] != side[j] && (!oneWay || side[i]);
            }
        }
    }

    /** Isolates one instance from all others, or connects it again. */
    void setIsolated(int index, boolean isolated) {
        for (int i = 0; i < mInstances.size(); i++) {
            mBlockedLinks[index][i] = isolated;
            mBlockedLinks[i][index] = isolated;
        }
    }

    /** Returns the running instances that exchange packets with one, itself included. */
    Set<InstanceId> instancesInTouchWith(SimulatedInstance instance) {
        int index = mInstances.indexOf(instance);
        Set<InstanceId> inTouch = new HashSet<>();
        for (int i = 0; i < mInstances.size(); i++) {
            boolean linked = !mBlockedLinks[index][i] && !mBlockedLinks[i][index];
            if (mInstances.get(i).isRunning() && linked) {
                inTouch.add(mInstances.get(i).mId);
            }
        }
        return inTouch;
    }

    void endFaults() {
        mFaultsEnabled = false;
        mBlockedLinks = new boolean[mInstances.size()][mInstances.size()];
        for (SimulatedInstance each : mInstances) {
            each.endFaults();
        }
    }

    /** Requires that, without faults, a command is accepted and all bootstrap voters apply it. */
    void requireConvergence() {
        for (int i = 0; i < 60 && mOracle.mViolations.isEmpty(); i++) {
            advance(mNowNanos + millisToNanos(1000));
            SimulatedInstance leader = leader();
            if (leader == null || !isRepaired()) {
                continue;
            }
            long command = mNextCommand++;
            leader.receive(proposal(command));
            advance(mNowNanos + millisToNanos(1000));
            if (mOracle.mIndexByAcknowledgedCommand.containsKey(command)
                    && haveAllApplied(command)) {
                return;
            }
        }
        if (mOracle.mViolations.isEmpty()) {
            mOracle.mViolations.add("no convergence within 60 s after the last fault");
        }
    }

    private boolean haveAllApplied(long command) {
        for (int i = 0; i < mBootstrapVoters.size(); i++) {
            CommandListState state = mInstances.get(i).mState;
            if (!state.mCommands.contains(command)) {
                return false;
            }
        }
        for (int i = 0; i < mBootstrapVoters.size(); i++) {
            mOracle.checkFinalState(mInstances.get(i).mState);
        }
        return true;
    }
}
