package org.hemlockrack.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;

/**
 * One instance of a {@link ClusterSimulation}: a process that can crash and pause, and its disk.
 */
final class SimulatedInstance implements NodeOutputs {
    final InstanceId mId;
    private final ClusterSimulation mSimulation;
    private final Map<Long, Long> mAcknowledgedIndexByRead = new HashMap<>();
    private final List<ConsensusEvent> mInbox = new ArrayList<>();
    private InMemoryLogStore.Disk mDisk;
    private InMemoryLogStore mStore;
    private static final int REPORT_PERIOD_STEPS = 5;

    private ReplicaNode mNode;
    CommandListState mState;
    private long mBusyUntilNanos;
    private boolean mFolderLost;

    /** The node whose disk has refused a write, until its files can be written again. */
    private ReplicaNode mSuspendedNode;

    private static final int REOPENING_PERIOD_MILLIS = 100;
    private long mSteps;

    SimulatedInstance(ClusterSimulation simulation, InstanceId id) {
        mSimulation = simulation;
        mId = id;
        mDisk = new InMemoryLogStore.Disk(simulation.mVariant, newReplicaId());
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
        return mDisk.mDamaged ? 0 : mDisk.mHardState.replicaId();
    }

    /** Returns whether the newest membership is committed. */
    boolean isMembershipCommitted() {
        Consensus consensus = consensus();
        return consensus.describeSnapshot(0, 0).membership().equals(consensus.membership());
    }

    long nextWakeNanos() {
        if (mSuspendedNode != null || mNode == null || !mInbox.isEmpty()) {
            return mBusyUntilNanos;
        }
        return Math.max(mBusyUntilNanos, mNode.nextTimerNanos());
    }

    void stepIfDue() {
        if (nextWakeNanos() > mSimulation.mNowNanos) {
            return;
        }
        if (mSuspendedNode != null) {
            resume();
            return;
        }
        if (mNode == null) {
            start();
        }
        if (mNode == null) {
            return;
        }
        List<ConsensusEvent> events = List.copyOf(mInbox);
        mInbox.clear();
        mSimulation.mSteps++;
        try {
            mNode.step(mSimulation.mNowNanos, events, this);
            reportLog();
        } catch (HemlockrackException e) {
            suspend(e);
        } catch (InMemoryLogStore.Crash e) {
            crash(mSimulation.mRandom.nextInt(1000));
        }
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
        InMemoryLogStore store = InMemoryLogStore.reopen(mDisk, mSimulation.mRandom);
        try {
            mNode =
                    ReplicaNode.resume(
                            settings(),
                            store,
                            mSuspendedNode,
                            mSimulation.mRandom,
                            mSimulation.mNowNanos);
        } catch (HemlockrackException e) {
            pause(REOPENING_PERIOD_MILLIS);
            return;
        }
        mStore = store;
        mSuspendedNode = null;
    }

    /** Makes the disk refuse every write for a time, or again accept them. */
    void setDiskFull(boolean full) {
        mDisk.mFull = full;
        mDisk.mFailsAtSync = mSimulation.mRandom.nextBoolean();
    }

    /** Reports the log now and then, so that reports of different ages meet. */
    private void reportLog() {
        SettledReports settled = mSimulation.mSettled;
        if (settled != null && mSteps++ % REPORT_PERIOD_STEPS == mId.hashCode() % 3) {
            settled.report(mId, consensus(), mDisk.mDurableEntries);
        }
    }

    /** Starts the replica; a damaged data folder is replaced by an empty one with a new id. */
    private void start() {
        try {
            mStore = new InMemoryLogStore(mDisk, mSimulation.mRandom);
        } catch (HemlockrackException e) {
            mDisk = new InMemoryLogStore.Disk(mSimulation.mVariant, newReplicaId());
            mStore = new InMemoryLogStore(mDisk, mSimulation.mRandom);
        }
        mState = new CommandListState(mSimulation.mOracle);
        try {
            mNode =
                    ReplicaNode.start(
                            settings(),
                            mStore,
                            mState,
                            20,
                            mSimulation.mRandom,
                            mSimulation.mNowNanos);
        } catch (HemlockrackException e) {
            // The process waits until its disk can be written.
            pause(REOPENING_PERIOD_MILLIS);
        }
    }

    private ConsensusSettings settings() {
        return new ConsensusSettings(
                mId,
                mSimulation.mBootstrapVoters,
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
        if (mNode != null) {
            mStore.crash();
        }
        mNode = null;
        mSuspendedNode = null;
        mInbox.clear();
        mAcknowledgedIndexByRead.clear();
        mBusyUntilNanos = mSimulation.mNowNanos + mSimulation.millisToNanos(downMillis);
    }

    void crashAfter(int operations) {
        if (mNode != null) {
            mStore.mOperationsUntilCrash = operations;
        }
    }

    void pause(int millis) {
        mBusyUntilNanos = mSimulation.mNowNanos + mSimulation.millisToNanos(millis);
    }

    void loseFolder(boolean damaged) {
        crash(mSimulation.mRandom.nextInt(1000));
        mFolderLost |= mSimulation.mFormation == LogFormation.WITH_MAJORITY;
        if (damaged) {
            mDisk.mDamaged = true;
        } else {
            boolean keep = mSimulation.mVariant == Variant.KEEPS_REPLICA_ID;
            mDisk =
                    new InMemoryLogStore.Disk(
                            mSimulation.mVariant, keep ? replicaId() : newReplicaId());
        }
    }

    void endFaults() {
        mDisk.mFull = false;
        boolean isStopped = mBusyUntilNanos == Long.MAX_VALUE;
        mBusyUntilNanos = isStopped ? Long.MAX_VALUE : mSimulation.mNowNanos;
        if (mNode != null) {
            mStore.mOperationsUntilCrash = Integer.MAX_VALUE;
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
    }

    @Override
    public void readReady(long ticket, long index) {
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
