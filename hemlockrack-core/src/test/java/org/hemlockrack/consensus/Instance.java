package org.hemlockrack.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;

/** One instance of a {@link History}: a process that can crash and freeze, and its disk. */
final class Instance implements NodeOutputs {
    final InstanceId mId;
    private final History mHistory;
    private final Map<Long, Long> mReads = new HashMap<>();
    private final List<ConsensusEvent> mInbox = new ArrayList<>();
    private MemoryStore.Disk mDisk;
    private MemoryStore mStore;
    private ReplicaNode mNode;
    ListState mState;
    private long mBusyUntilNanos;

    Instance(History history, InstanceId id) {
        mHistory = history;
        mId = id;
        mDisk = new MemoryStore.Disk(history.mVariant, newId());
        mBusyUntilNanos = history.millis(history.mRandom.nextInt(800));
    }

    private long newId() {
        return mHistory.mRandom.nextLong() | 1;
    }

    boolean running() {
        return mNode != null;
    }

    Consensus consensus() {
        return mNode.consensus();
    }

    /** Returns the replica id, or 0 while the folder is damaged. */
    long replicaId() {
        return mDisk.mDamaged ? 0 : mDisk.mMeta.replicaId();
    }

    /** Returns whether the newest membership is committed. */
    boolean stable() {
        Consensus consensus = consensus();
        return consensus.describeSnapshot(0, 0).membership().equals(consensus.membership());
    }

    long wakeNanos() {
        if (mNode == null || !mInbox.isEmpty()) {
            return mBusyUntilNanos;
        }
        return Math.max(mBusyUntilNanos, mNode.nextTimerNanos());
    }

    void stepIfDue() {
        if (wakeNanos() > mHistory.mNowNanos) {
            return;
        }
        if (mNode == null) {
            start();
        }
        List<ConsensusEvent> events = List.copyOf(mInbox);
        mInbox.clear();
        mHistory.mSteps++;
        try {
            mNode.step(mHistory.mNowNanos, events, this);
        } catch (MemoryStore.Crash e) {
            crash(mHistory.mRandom.nextInt(1000));
        }
    }

    private void start() {
        try {
            mStore = new MemoryStore(mDisk, mHistory.mRandom);
        } catch (HemlockrackException e) {
            mDisk = new MemoryStore.Disk(mHistory.mVariant, newId());
            mStore = new MemoryStore(mDisk, mHistory.mRandom);
        }
        mState = new ListState(mHistory.mOracle);
        ConsensusSettings settings =
                new ConsensusSettings(
                        mId,
                        mHistory.mListed,
                        mHistory.millis(500),
                        mHistory.millis(100),
                        200,
                        3,
                        4000,
                        64,
                        5,
                        mHistory.mOff);
        mNode =
                ReplicaNode.start(
                        settings, mStore, mState, 20, mHistory.mRandom, mHistory.mNowNanos);
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
        mReads.put(ticket, acknowledgedIndex);
        boolean locally = mHistory.mVariant == Variant.READS_LOCALLY;
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
        mInbox.clear();
        mReads.clear();
        mBusyUntilNanos = mHistory.mNowNanos + mHistory.millis(downMillis);
    }

    void crashAfter(int operations) {
        if (mNode != null) {
            mStore.mOperations = operations;
        }
    }

    void freeze(int millis) {
        mBusyUntilNanos = mHistory.mNowNanos + mHistory.millis(millis);
    }

    void loseFolder(boolean damaged) {
        crash(mHistory.mRandom.nextInt(1000));
        if (damaged) {
            mDisk.mDamaged = true;
        } else {
            boolean keep = mHistory.mVariant == Variant.KEEPS_REPLICA_ID;
            mDisk = new MemoryStore.Disk(mHistory.mVariant, keep ? replicaId() : newId());
        }
    }

    void heal() {
        mBusyUntilNanos = Math.min(mBusyUntilNanos, mHistory.mNowNanos);
        if (mNode != null) {
            mStore.mOperations = Integer.MAX_VALUE;
        }
    }

    @Override
    public void send(Packet packet) {
        mHistory.send(this, packet);
    }

    @Override
    public void proposalApplied(long ticket, long index, byte[] result) {
        mHistory.mOracle.acknowledged(index, ticket);
    }

    @Override
    public void proposalEnded(long ticket, ProposalStatus status, InstanceId leader) {
        if (ticket > 0 && status != ProposalStatus.UNKNOWN) {
            mHistory.mOracle.refused(ticket);
        }
    }

    @Override
    public void readReady(long ticket, long index) {
        mHistory.mOracle.read(mReads.remove(ticket), mState.mIndex);
    }

    @Override
    public void readFailed(long ticket, InstanceId leader) {
        mReads.remove(ticket);
    }

    @Override
    public void roleChanged(Role role, long term, InstanceId leader) {
        if (role == Role.LEADER) {
            mHistory.mOracle.led(consensus().membership().clusterId(), term, replicaId());
        }
    }
}
