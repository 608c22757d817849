package org.hemlockrack.consensus.internal;

import java.util.ArrayDeque;
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
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** State of a replica that its parts share. */
final class Core {
    final ConsensusSettings mSettings;
    final ReplicaRef mSelf;
    final RaftLog mLog;
    final RandomGenerator mRandom;
    final TreeMap<Long, Membership> mMemberships = new TreeMap<>();

    /** Tickets of proposals appended in this leadership, by index. */
    final Map<Long, Long> mTickets = new HashMap<>();

    HardState mMeta;
    Role mRole = Role.FOLLOWER;
    @Nullable ReplicaRef mLeader;
    @Nullable SnapshotMeta mSnapshot;
    long mCommit;
    long mPersisted;
    long mPendingBytes;

    /** Time of the last valid message of a leader; meaningless before {@link #mHeardLeader}. */
    long mLeaderHeardNanos;

    /** Cluster of the packet being handled; a replica without a log answers within it. */
    long mAskingCluster;

    boolean mHeardLeader;
    long mElectionDeadlineNanos;
    long mNowNanos;

    private final ArrayDeque<ConsensusOutput> mOut = new ArrayDeque<>();

    Core(
            ConsensusSettings settings,
            RecoveredState recovered,
            RandomGenerator random,
            long nowNanos) {
        mSettings = settings;
        mMeta = recovered.hardState();
        mSelf = ReplicaRef.of(settings.self(), mMeta.replicaId());
        mLog = RaftLog.recover(recovered);
        mRandom = random;
        mSnapshot = recovered.snapshot();
        mNowNanos = nowNanos;
        if (mSnapshot != null) {
            mCommit = mSnapshot.index();
            mMemberships.put(mSnapshot.index(), mSnapshot.membership());
        }
        mPersisted = mLog.lastIndex();
        for (long index = mLog.firstIndex(); index <= mLog.lastIndex(); index++) {
            noteMembership(mLog.get(index));
        }
        resetElectionDeadline();
    }

    void drain(Consumer<? super ConsensusOutput> out) {
        while (!mOut.isEmpty()) {
            out.accept(mOut.poll());
        }
    }

    void emit(ConsensusOutput output) {
        mOut.add(output);
    }

    Membership membership() {
        return mMemberships.isEmpty() ? Membership.NONE : mMemberships.lastEntry().getValue();
    }

    long membershipIndex() {
        return mMemberships.isEmpty() ? 0 : mMemberships.lastKey();
    }

    Membership committedMembership() {
        Map.Entry<Long, Membership> floor = mMemberships.floorEntry(mCommit);
        return floor == null ? Membership.NONE : floor.getValue();
    }

    long clusterId() {
        return membership().clusterId();
    }

    boolean empty() {
        return mLog.lastIndex() == 0;
    }

    long term() {
        return mMeta.term();
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
        long cluster = empty() ? mAskingCluster : clusterId();
        emit(new ConsensusOutput.Send(new Packet(mSelf, to, cluster, term, body)));
    }

    void persistMeta(HardState meta) {
        if (meta.equals(mMeta)) {
            return;
        }
        mMeta = meta;
        emit(new ConsensusOutput.PersistHardState(meta));
    }

    /** Appends an entry to the log in memory; the caller emits its persistence. */
    void append(Entry entry) {
        mLog.append(entry);
        noteMembership(entry);
    }

    void persistEntries(List<Entry> entries) {
        if (!entries.isEmpty()) {
            emit(new ConsensusOutput.PersistEntries(entries));
        }
    }

    void truncateFrom(long index) {
        if (index <= mCommit) {
            throw new IllegalStateException("entry " + index + " is committed");
        }
        mLog.truncateFrom(index);
        mMemberships.tailMap(index, true).clear();
        mPersisted = Math.min(mPersisted, index - 1);
    }

    void installed(SnapshotMeta snapshot) {
        mLog.reset(snapshot);
        mMemberships.clear();
        mMemberships.put(snapshot.index(), snapshot.membership());
        mSnapshot = snapshot;
        mCommit = snapshot.index();
        mPersisted = snapshot.index();
    }

    /** Drops entries that a saved snapshot covers, except some for followers that lag a little. */
    void compact(SnapshotMeta snapshot) {
        mSnapshot = snapshot;
        long first = Math.max(1, snapshot.index() + 1 - mSettings.trailingEntries());
        if (first <= mLog.firstIndex()) {
            return;
        }
        mLog.compactTo(first);
        Map.Entry<Long, Membership> base = mMemberships.floorEntry(first - 1);
        if (base != null) {
            mMemberships.headMap(base.getKey(), false).clear();
        }
        emit(new ConsensusOutput.Compact(first));
    }

    void commitTo(long index) {
        while (mCommit < index) {
            mCommit++;
            Entry entry = mLog.get(mCommit);
            Long ticket = mTickets.remove(mCommit);
            applied(entry, ticket);
        }
    }

    private void applied(Entry entry, @Nullable Long ticket) {
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

    void endTickets() {
        mTickets.values().stream()
                .sorted()
                .forEach(ticket -> endProposal(ticket, ProposalStatus.UNKNOWN));
        mTickets.clear();
        mPendingBytes = 0;
    }

    void roleChanged() {
        emit(new ConsensusOutput.RoleChanged(mRole, term(), leaderInstance()));
    }

    void heardLeader(ReplicaRef leader) {
        mLeaderHeardNanos = mNowNanos;
        mHeardLeader = true;
        boolean changed = !leader.equals(mLeader) || mRole != Role.FOLLOWER;
        mLeader = leader;
        mRole = Role.FOLLOWER;
        if (changed) {
            roleChanged();
        }
        resetElectionDeadline();
    }

    /** Returns whether a leader was heard so recently that an election would only disturb it. */
    boolean leaderIsFresh() {
        return mRole == Role.LEADER
                || mHeardLeader && mNowNanos - mLeaderHeardNanos < mSettings.electionTimeoutNanos();
    }

    void resetElectionDeadline() {
        long timeout = mSettings.electionTimeoutNanos();
        mElectionDeadlineNanos = mNowNanos + timeout + mRandom.nextLong(timeout);
    }

    private void noteMembership(Entry entry) {
        if (entry.kind() == EntryKind.MEMBERSHIP) {
            mMemberships.put(entry.index(), WireCodec.decodeMembership(entry.data()));
        }
    }
}
