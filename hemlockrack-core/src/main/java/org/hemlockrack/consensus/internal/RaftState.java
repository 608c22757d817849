package org.hemlockrack.consensus.internal;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.ConsensusOutput;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.consensus.VoteRefusal;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** State of a replica that bootstrap, election, leadership and follower share. */
final class RaftState {
    final ConsensusSettings mSettings;
    final ReplicaRef mSelf;
    final RaftLog mLog;
    final RandomGenerator mRandom;
    final ElectionTimeout mElectionTimeout;
    final TreeMap<Long, Membership> mMembershipsByIndex = new TreeMap<>();

    /** Tickets of the proposals appended during the current leadership, by log index. */
    final Map<Long, Long> mTicketsByIndex = new HashMap<>();

    /** Members of the log that this replica is about to form; used until the log has entries. */
    Membership mFormation = Membership.NONE;

    HardState mHardState;
    Role mRole = Role.FOLLOWER;
    @Nullable ReplicaRef mLeader;
    @Nullable SnapshotMeta mSnapshot;
    long mCommitIndex;

    /** Newest commit index that the leader has stated, or the largest number before that. */
    long mLeaderCommitIndex = Long.MAX_VALUE;

    long mPersistedIndex;
    long mPendingBytes;

    /** Time of the last valid message of a leader; valid if {@link #mHasLeaderContact}. */
    long mLastLeaderContactNanos;

    /** Cluster id of the packet being handled. */
    long mRequestClusterId;

    /** Time of the last message of each instance that is a member. */
    final Map<InstanceId, Long> mLastHeardNanos = new HashMap<>();

    /** Votes and pre-votes that were refused since the start. */
    final Map<VoteRefusal, Integer> mRefusals = new EnumMap<>(VoteRefusal.class);

    boolean mHasLeaderContact;
    long mElectionDeadlineNanos;
    long mNowNanos;

    private final ArrayDeque<ConsensusOutput> mOutputs = new ArrayDeque<>();

    RaftState(
            ConsensusSettings settings,
            RecoveredState recovered,
            RandomGenerator random,
            long nowNanos) {
        mSettings = settings;
        mHardState = recovered.hardState();
        mSelf = ReplicaRef.of(settings.self(), mHardState.replicaId());
        mLog = RaftLog.recover(recovered);
        mRandom = random;
        mSnapshot = recovered.snapshot();
        mNowNanos = nowNanos;
        mElectionTimeout = ElectionTimeout.create(settings.electionTimeoutNanos());
        if (mSnapshot != null) {
            mCommitIndex = mSnapshot.index();
            mMembershipsByIndex.put(mSnapshot.index(), mSnapshot.membership());
        }
        mPersistedIndex = mLog.lastIndex();
        for (long index = mLog.firstIndex(); index <= mLog.lastIndex(); index++) {
            recordMembership(mLog.get(index));
        }
        resetElectionDeadline();
    }

    void drainOutputs(Consumer<? super ConsensusOutput> out) {
        while (!mOutputs.isEmpty()) {
            out.accept(mOutputs.poll());
        }
    }

    void emit(ConsensusOutput output) {
        mOutputs.add(output);
    }

    Membership membership() {
        return mMembershipsByIndex.isEmpty()
                ? Membership.NONE
                : mMembershipsByIndex.lastEntry().getValue();
    }

    /** Returns the members whose votes count in an election. */
    Membership electorate() {
        return isLogEmpty() ? mFormation : membership();
    }

    long membershipIndex() {
        return mMembershipsByIndex.isEmpty() ? 0 : mMembershipsByIndex.lastKey();
    }

    Membership committedMembership() {
        Map.Entry<Long, Membership> floor = mMembershipsByIndex.floorEntry(mCommitIndex);
        return floor == null ? Membership.NONE : floor.getValue();
    }

    long clusterId() {
        return membership().clusterId();
    }

    boolean isLogEmpty() {
        return mLog.lastIndex() == 0;
    }

    long term() {
        return mHardState.term();
    }

    long selfId() {
        return mSelf.replicaId();
    }

    @Nullable InstanceId leaderInstance() {
        return mLeader == null ? null : mLeader.instance();
    }

    void send(ReplicaRef to, Message body) {
        send(to, term(), body);
    }

    void send(ReplicaRef to, long term, Message body) {
        // A replica without a committed entry answers in the cluster that asks it.
        boolean answersOtherCluster = mCommitIndex == 0 && body.isReply();
        long cluster = answersOtherCluster ? mRequestClusterId : electorate().clusterId();
        emit(new ConsensusOutput.Send(new Packet(mSelf, to, cluster, term, body)));
    }

    void persistHardState(HardState hardState) {
        if (hardState.equals(mHardState)) {
            return;
        }
        if (hardState.term() > mHardState.term()) {
            mElectionTimeout.onTermStarted(mNowNanos);
        }
        mHardState = hardState;
        emit(new ConsensusOutput.PersistHardState(hardState));
    }

    /** Appends an entry to the log in memory; the caller emits the output that persists it. */
    void append(Entry entry) {
        mLog.append(entry);
        recordMembership(entry);
    }

    void persistEntries(List<Entry> entries) {
        if (!entries.isEmpty()) {
            emit(new ConsensusOutput.PersistEntries(entries));
        }
    }

    void truncateFrom(long index) {
        if (index <= mCommitIndex) {
            throw new IllegalStateException("entry " + index + " is committed");
        }
        mLog.truncateFrom(index);
        mMembershipsByIndex.tailMap(index, true).clear();
        mPersistedIndex = Math.min(mPersistedIndex, index - 1);
    }

    void resetToSnapshot(SnapshotMeta snapshot) {
        mLog.reset(snapshot);
        mMembershipsByIndex.clear();
        mMembershipsByIndex.put(snapshot.index(), snapshot.membership());
        mSnapshot = snapshot;
        mCommitIndex = snapshot.index();
        mPersistedIndex = snapshot.index();
    }

    /** Drops the entries that a snapshot covers, except the trailing ones for lagging followers. */
    void compact(SnapshotMeta snapshot) {
        mSnapshot = snapshot;
        long first = Math.max(1, snapshot.index() + 1 - mSettings.trailingEntries());
        if (first <= mLog.firstIndex()) {
            return;
        }
        mLog.compactTo(first);
        Map.Entry<Long, Membership> base = mMembershipsByIndex.floorEntry(first - 1);
        if (base != null) {
            mMembershipsByIndex.headMap(base.getKey(), false).clear();
        }
        emit(new ConsensusOutput.Compact(first));
    }

    void commitTo(long index) {
        while (mCommitIndex < index) {
            mCommitIndex++;
            Entry entry = mLog.get(mCommitIndex);
            Long ticket = mTicketsByIndex.remove(mCommitIndex);
            if (entry.term() == term()) {
                mElectionTimeout.onCommitted(mNowNanos);
            }
            emitApplied(entry, ticket);
        }
    }

    private void emitApplied(Entry entry, @Nullable Long ticket) {
        if (ticket != null) {
            mPendingBytes -= entry.sizeBytes();
        }
        if (entry.kind() == EntryKind.COMMAND) {
            emit(
                    new ConsensusOutput.Apply(
                            entry.index(),
                            entry.leaderTimeMillis(),
                            entry.data(),
                            ticket == null ? OptionalLong.empty() : OptionalLong.of(ticket)));
        } else if (ticket != null) {
            endProposal(ticket, ProposalStatus.APPLIED);
        }
    }

    void endProposal(long ticket, ProposalStatus status) {
        emit(new ConsensusOutput.ProposalEnded(ticket, status, leaderInstance()));
    }

    void endPendingProposals() {
        mTicketsByIndex.values().stream()
                .sorted()
                .forEach(ticket -> endProposal(ticket, ProposalStatus.UNKNOWN));
        mTicketsByIndex.clear();
        mPendingBytes = 0;
    }

    void emitRoleChanged() {
        emit(new ConsensusOutput.RoleChanged(mRole, term(), leaderInstance()));
    }

    void onLeaderContact(ReplicaRef leader) {
        mLastLeaderContactNanos = mNowNanos;
        mHasLeaderContact = true;
        boolean changed = !leader.equals(mLeader) || mRole != Role.FOLLOWER;
        mLeader = leader;
        mRole = Role.FOLLOWER;
        if (changed) {
            mLeaderCommitIndex = Long.MAX_VALUE;
            emitRoleChanged();
        }
        resetElectionDeadline();
    }

    /** Records the commit index in a message of the leader; messages may arrive out of order. */
    void onLeaderCommit(long index) {
        boolean isFirst = mLeaderCommitIndex == Long.MAX_VALUE;
        mLeaderCommitIndex = isFirst ? index : Math.max(mLeaderCommitIndex, index);
    }

    /**
     * Returns whether this replica leads or had contact with a leader within the election timeout.
     * Votes are withheld then, so that an election does not disturb a working leader.
     */
    boolean hasRecentLeaderContact() {
        return mRole == Role.LEADER
                || mHasLeaderContact
                        && mNowNanos - mLastLeaderContactNanos < mElectionTimeout.followerNanos();
    }

    /** Counts a refused vote or pre-vote for {@link org.hemlockrack.consensus.ReplicaStatus}. */
    void countRefusal(VoteRefusal reason) {
        mRefusals.merge(reason, 1, Integer::sum);
    }

    void resetElectionDeadline() {
        long timeout = mElectionTimeout.followerNanos();
        mElectionDeadlineNanos = mNowNanos + timeout + mRandom.nextLong(timeout);
    }

    private void recordMembership(Entry entry) {
        if (entry.kind() == EntryKind.MEMBERSHIP) {
            mMembershipsByIndex.put(entry.index(), WireCodec.decodeMembership(entry.data()));
        }
    }
}
