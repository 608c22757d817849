package org.hemlockrack.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * One instance of a {@link ClusterSimulation}: a process that can crash and pause, and its disk.
 */
final class SimulatedInstance implements NodeOutputs {
    final InstanceId mId;
    private final ClusterSimulation mSimulation;
    private final Map<Long, Long> mAcknowledgedIndexByRead = new HashMap<>();
    private final List<ConsensusEvent> mInbox = new ArrayList<>();
    private SimulatedDisk mDisk;
    private static final int REPORT_PERIOD_STEPS = 5;

    private ReplicaNode mNode;
    CommandListState mState;
    private long mBusyUntilNanos;
    private boolean mFolderLost;

    /** Reads that were answered with a state that includes all acknowledged commands. */
    final Set<Long> mServedReads = new HashSet<>();

    /** The instances that the next process is told of. */
    private List<InstanceId> mSeeds;

    /** Whether the process has used its disk since the last crash. */
    private boolean mHasProcess;

    /** The node whose disk has refused a write, until its files can be written again. */
    private ReplicaNode mSuspendedNode;

    private static final int REOPENING_PERIOD_MILLIS = 100;
    private long mSteps;

    /** For how long the next sync of the disk blocks the process. */
    private int mStallMillis;

    /** The events of a step whose sync blocks, or null. */
    private @Nullable List<ConsensusEvent> mStalledEvents;

    private long mStalledSinceNanos;

    /** The syncs of the disk before the current step. */
    private long mSyncsBeforeStep;

    SimulatedInstance(ClusterSimulation simulation, InstanceId id) {
        mSimulation = simulation;
        mId = id;
        mSeeds = simulation.mBootstrapVoters;
        mDisk = simulation.newDisk(newReplicaId());
        mBusyUntilNanos = simulation.millisToNanos(simulation.mRandom.nextInt(800));
    }

    private long newReplicaId() {
        return mSimulation.mRandom.nextLong() | 1;
    }

    boolean isRunning() {
        return mNode != null;
    }

    Consensus consensus() {
        return mNode.consensus();
    }

    /** Returns the replica id, or 0 while the data folder is damaged. */
    long replicaId() {
        return mDisk.replicaId();
    }

    /** Returns whether the newest membership is committed. */
    boolean isMembershipCommitted() {
        Consensus consensus = consensus();
        return consensus.describeSnapshot(0, 0).membership().equals(consensus.membership());
    }

    long nextWakeNanos() {
        boolean isStalled = mStalledEvents != null;
        if (mSuspendedNode != null || mNode == null || !mInbox.isEmpty() || isStalled) {
            return mBusyUntilNanos;
        }
        return Math.max(mBusyUntilNanos, mNode.nextTimerNanos());
    }

    void stepIfDue() {
        if (nextWakeNanos() > mSimulation.mNowNanos) {
            return;
        }
        try {
            if (mSuspendedNode != null) {
                resume();
                return;
            }
            if (mNode == null) {
                start();
            }
            if (mNode != null) {
                step();
            }
        } catch (InMemoryLogStore.Crash e) {
            crash(mSimulation.mRandom.nextInt(1000));
        }
    }

    private void step() {
        List<ConsensusEvent> events = mStalledEvents;
        long startNanos = mStalledSinceNanos;
        if (events == null) {
            events = List.copyOf(mInbox);
            startNanos = mSimulation.mNowNanos;
            mInbox.clear();
            if (mStallMillis > 0) {
                mStalledEvents = events;
                mStalledSinceNanos = startNanos;
                pause(mStallMillis);
                mStallMillis = 0;
                return;
            }
        }
        mStalledEvents = null;
        mSimulation.mSteps++;
        mSyncsBeforeStep = mDisk.syncs();
        try {
            mNode.step(startNanos, events, this);
            mBusyUntilNanos = mSimulation.mNowNanos + blockedNanos();
            reportLog();
        } catch (HemlockrackException e) {
            suspend(e);
        }
    }

    /** Returns for how long the syncs of the current step have blocked the process so far. */
    long blockedNanos() {
        return (mDisk.syncs() - mSyncsBeforeStep) * mSimulation.mSyncNanos;
    }

    private void suspend(HemlockrackException cause) {
        if (cause.kind() != ErrorKind.STORAGE_FAILED) {
            throw cause;
        }
        mNode.close();
        mSuspendedNode = mNode;
        mNode = null;
        mInbox.clear();
        mAcknowledgedIndexByRead.clear();
        pause(REOPENING_PERIOD_MILLIS);
        if (mSimulation.mVariant == Variant.STOPS_AFTER_FAILED_WRITE) {
            mBusyUntilNanos = Long.MAX_VALUE;
        }
    }

    private void resume() {
        LogStore store = null;
        try {
            store = mDisk.reopen(mSimulation.mRandom);
            mNode =
                    ReplicaNode.resume(
                            settings(),
                            store,
                            mSuspendedNode,
                            mSimulation.mRandom,
                            mSimulation.mNowNanos);
        } catch (HemlockrackException e) {
            waitForDisk(store, e);
            return;
        }
        mSuspendedNode = null;
    }

    private void waitForDisk(@Nullable LogStore store, HemlockrackException cause) {
        if (cause.kind() != ErrorKind.STORAGE_FAILED) {
            throw cause;
        }
        if (store != null) {
            store.close();
        }
        pause(REOPENING_PERIOD_MILLIS);
    }

    /** Makes the disk refuse every write for a time, or again accept them. */
    void setDiskFull(boolean full) {
        mDisk.setFull(full, mSimulation.mRandom.nextBoolean());
    }

    /** Returns the number of entries on the disk. */
    int durableEntries() {
        return mDisk.durableEntries().size();
    }

    /**
     * Lets the sync of the next step block the process. The results and packets of the step appear
     * after that, by the time at which the step began.
     */
    void stallDisk(int millis) {
        mStallMillis = millis;
    }

    /** Reports the log now and then, so that reports of different ages meet. */
    private void reportLog() {
        SettledReports settled = mSimulation.mSettled;
        if (settled != null && mSteps++ % REPORT_PERIOD_STEPS == mId.hashCode() % 3) {
            settled.report(mId, consensus(), mDisk.durableEntries());
        }
    }

    /** Starts the replica; a damaged data folder is replaced by an empty one with a new id. */
    private void start() {
        mHasProcess = true;
        mState = new CommandListState(mSimulation.mOracle);
        LogStore store = null;
        try {
            store = openOrReplace();
            mNode =
                    ReplicaNode.start(
                            settings(),
                            store,
                            mState,
                            20,
                            mSimulation.mRandom,
                            mSimulation.mNowNanos);
        } catch (HemlockrackException e) {
            // The process waits until its disk can be written.
            waitForDisk(store, e);
        }
    }

    private LogStore openOrReplace() {
        try {
            return mDisk.open(mSimulation.mRandom);
        } catch (HemlockrackException e) {
            if (e.kind() != ErrorKind.STORAGE_DAMAGED || mSimulation.mKeepsReplicas) {
                throw e;
            }
            mDisk = mSimulation.newDisk(newReplicaId());
            return mDisk.open(mSimulation.mRandom);
        }
    }

    private ConsensusSettings settings() {
        if (mSimulation.mUsesDefaultSettings) {
            return ConsensusSettings.of(mId, mSeeds).withFormation(mSimulation.mFormation);
        }
        return new ConsensusSettings(
                mId,
                mSeeds,
                mFolderLost ? LogFormation.NEVER : mSimulation.mFormation,
                mSimulation.millisToNanos(500),
                mSimulation.millisToNanos(100),
                200,
                3,
                4000,
                64,
                5,
                mSimulation.mDisabledFeatures);
    }

    void receive(Packet packet) {
        receive(new ConsensusEvent.Received(packet));
    }

    void receive(ConsensusEvent event) {
        if (mNode != null) {
            mInbox.add(event);
        }
    }

    void read(long ticket, long acknowledgedIndex) {
        mAcknowledgedIndexByRead.put(ticket, acknowledgedIndex);
        boolean locally = mSimulation.mVariant == Variant.READS_LOCALLY;
        if (locally && consensus().role() == Role.LEADER) {
            readReady(ticket, 0);
            return;
        }
        receive(new ConsensusEvent.ReadIndex(ticket));
    }

    void crash(int downMillis) {
        if (mHasProcess) {
            mDisk.crash();
        }
        mHasProcess = false;
        mNode = null;
        mSuspendedNode = null;
        mStalledEvents = null;
        mInbox.clear();
        mAcknowledgedIndexByRead.clear();
        mBusyUntilNanos = mSimulation.mNowNanos + mSimulation.millisToNanos(downMillis);
    }

    void crashAfter(int operations) {
        if (mNode != null) {
            mDisk.crashAfter(operations);
        }
    }

    void pause(int millis) {
        mBusyUntilNanos = mSimulation.mNowNanos + mSimulation.millisToNanos(millis);
    }

    void loseFolder(boolean damaged) {
        crash(mSimulation.mRandom.nextInt(1000));
        mFolderLost |= mSimulation.mFormation == LogFormation.WITH_MAJORITY;
        if (damaged) {
            mDisk.damage();
        } else {
            boolean keep = mSimulation.mVariant == Variant.KEEPS_REPLICA_ID;
            mDisk = mSimulation.newDisk(keep ? replicaId() : newReplicaId());
        }
    }

    /** Takes the machine away, or keeps it from being started, until it is started explicitly. */
    void remove() {
        crash(0);
        mBusyUntilNanos = Long.MAX_VALUE;
    }

    /** Starts a machine that was not there before, with an empty disk. */
    void startNew() {
        mFolderLost = true;
        mBusyUntilNanos = mSimulation.mNowNanos;
    }

    /** Changes the instances that the next process is told of. */
    void setSeeds(List<InstanceId> seeds) {
        mSeeds = List.copyOf(seeds);
    }

    void endFaults() {
        mDisk.setFull(false, false);
        mStallMillis = 0;
        boolean isStopped = mBusyUntilNanos == Long.MAX_VALUE;
        mBusyUntilNanos = isStopped ? Long.MAX_VALUE : mSimulation.mNowNanos;
        if (mNode != null) {
            mDisk.cancelCrash();
        }
    }

    @Override
    public void send(Packet packet) {
        mSimulation.send(this, packet);
    }

    @Override
    public void proposalApplied(long ticket, long index, byte[] result) {
        mSimulation.mOracle.onAcknowledged(index, ticket);
    }

    @Override
    public void proposalEnded(long ticket, ProposalStatus status, InstanceId leader) {
        if (ticket > 0 && status != ProposalStatus.UNKNOWN) {
            mSimulation.mOracle.onRefused(ticket);
        }
        if (ticket <= 0 && status == ProposalStatus.APPLIED) {
            mSimulation.mVoterChangeListener.accept(this);
        }
    }

    @Override
    public void readReady(long ticket, long index) {
        mServedReads.add(ticket);
        mSimulation.mOracle.onRead(mAcknowledgedIndexByRead.remove(ticket), mState.mIndex);
    }

    @Override
    public void readFailed(long ticket, InstanceId leader) {
        mAcknowledgedIndexByRead.remove(ticket);
    }

    @Override
    public void roleChanged(Role role, long term, InstanceId leader) {
        if (role == Role.LEADER) {
            mSimulation.mOracle.onLeaderElected(
                    consensus().membership().clusterId(), term, replicaId());
        }
    }
}
