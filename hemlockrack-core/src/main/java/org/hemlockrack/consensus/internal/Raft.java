package org.hemlockrack.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.Consensus;
import org.hemlockrack.consensus.ConsensusEvent;
import org.hemlockrack.consensus.ConsensusOutput;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.ReplicaStatus;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.consensus.VoteRefusal;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * The Raft protocol of one replica: dispatches events to cluster bootstrap, election, leadership or
 * follower, and changes the role.
 */
public final class Raft implements Consensus {
    private final RaftState mState;
    private final Election mElection;
    private final ClusterBootstrap mBootstrap;
    private final Follower mFollower;
    private @Nullable Leadership mLeadership;

    private Raft(RaftState state) {
        mState = state;
        mElection = new Election(state);
        mBootstrap = new ClusterBootstrap(state);
        mFollower = new Follower(state);
    }

    /**
     * Creates a replica; see {@link Consensus#create}.
     *
     * @param settings the settings
     * @param recovered what the store held when it was opened
     * @param random source for election timeouts
     * @param nowNanos monotonic time
     * @return the replica, as a follower
     */
    public static Raft create(
            ConsensusSettings settings,
            RecoveredState recovered,
            RandomGenerator random,
            long nowNanos) {
        return new Raft(new RaftState(settings, recovered, random, nowNanos));
    }

    @Override
    public void onEvent(
            long nowNanos, ConsensusEvent event, Consumer<? super ConsensusOutput> out) {
        mState.mNowNanos = nowNanos;
        stepDownIfLeadershipLost();
        handle(event);
        stepDownIfLeadershipLost();
        mState.drainOutputs(out);
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super ConsensusOutput> out) {
        mState.mNowNanos = nowNanos;
        stepDownIfLeadershipLost();
        if (mLeadership != null) {
            mLeadership.onTimer();
        } else if (mState.isLogEmpty()) {
            if (mBootstrap.onTimer()) {
                leadIfWon(mElection.start());
            }
        } else if (nowNanos >= mState.mElectionDeadlineNanos) {
            electOrAnnounce();
        }
        stepDownIfLeadershipLost();
        mState.drainOutputs(out);
    }

    /**
     * Starts an election, and announces this replica too: a replica that was removed from the
     * members while it was unreachable still takes itself for a voter, and no leader sends to it.
     */
    private void electOrAnnounce() {
        mBootstrap.announce();
        leadIfWon(mElection.start());
    }

    @Override
    public long nextTimerNanos() {
        if (mLeadership != null) {
            return mLeadership.nextTimerNanos();
        }
        return mState.isLogEmpty() ? mBootstrap.nextTimerNanos() : mState.mElectionDeadlineNanos;
    }

    private void handle(ConsensusEvent event) {
        if (event instanceof ConsensusEvent.Received received) {
            receive(received.packet());
        } else if (event instanceof ConsensusEvent.Propose propose) {
            propose(propose);
        } else if (event instanceof ConsensusEvent.ReadIndex read) {
            read(read.ticket());
        } else if (event instanceof ConsensusEvent.ChangeVoters change) {
            changeVoters(change);
        } else if (event instanceof ConsensusEvent.ContactsChanged contacts) {
            mBootstrap.setContacts(contacts.instances());
        } else if (event instanceof ConsensusEvent.Flush) {
            flush();
        } else if (event instanceof ConsensusEvent.Persisted persisted) {
            onPersisted(persisted);
        } else if (event instanceof ConsensusEvent.SnapshotSaved saved) {
            mState.compact(saved.meta());
        } else if (event instanceof ConsensusEvent.SnapshotInstalled installed) {
            mFollower.onInstalled(installed.meta(), installed.valid());
        }
    }

    private void propose(ConsensusEvent.Propose event) {
        if (mLeadership == null) {
            mState.endProposal(event.ticket(), ProposalStatus.NOT_LEADER);
        } else {
            mLeadership.propose(event);
        }
    }

    private void changeVoters(ConsensusEvent.ChangeVoters event) {
        if (mLeadership == null) {
            mState.endProposal(event.ticket(), ProposalStatus.NOT_LEADER);
        } else {
            mLeadership.changeVoters(event);
        }
    }

    private void read(long ticket) {
        if (mLeadership == null) {
            mState.emit(new ConsensusOutput.ReadFailed(ticket, mState.leaderInstance()));
        } else {
            mLeadership.requestRead(ticket);
        }
    }

    private void flush() {
        if (mLeadership != null) {
            mLeadership.flush();
        }
    }

    private void onPersisted(ConsensusEvent.Persisted event) {
        if (mState.mLog.termAt(event.index()) != event.term()) {
            return;
        }
        mState.mPersistedIndex = Math.max(mState.mPersistedIndex, event.index());
        if (mLeadership != null) {
            mLeadership.onPersisted();
        }
    }

    private void receive(Packet packet) {
        if (!isAddressedToSelf(packet)) {
            return;
        }
        mState.mRequestClusterId = packet.clusterId();
        noteHeard(packet.from());
        if (packet.body() instanceof Message.Hello) {
            onHello(packet);
        } else if (packet.body() instanceof Message.HelloReply reply) {
            mBootstrap.onReply(packet, reply);
        } else if (isSameCluster(packet)) {
            receiveInCluster(packet);
        }
    }

    private void noteHeard(ReplicaRef sender) {
        Membership members = mState.membership();
        boolean isMember =
                members.member(sender.replicaId()).isPresent()
                        || members.memberOf(sender.instance(), true).isPresent();
        if (isMember) {
            mState.mLastHeardNanos.put(sender.instance(), mState.mNowNanos);
        }
    }

    private boolean isAddressedToSelf(Packet packet) {
        ReplicaRef to = packet.to();
        boolean isForAnyReplica = to.replicaId() == ReplicaRef.ANY;
        return to.instance().equals(mState.mSelf.instance())
                && (isForAnyReplica || to.replicaId() == mState.selfId())
                && packet.from().replicaId() != mState.selfId();
    }

    /**
     * A replica that knows of no committed entry accepts any cluster: one may have added it as a
     * member, or another log may have been committed instead of the one that it helped to form.
     */
    private boolean isSameCluster(Packet packet) {
        return packet.clusterId() == mState.clusterId() || mState.mCommitIndex == 0;
    }

    /** A follower forwards an announcement, because the leader may not be a bootstrap voter. */
    private void onHello(Packet packet) {
        if (mLeadership != null) {
            mLeadership.onHello(packet);
            return;
        }
        mState.send(packet.from(), new Message.HelloReply(mBootstrap.canForm(), 0));
        ReplicaRef leader = mState.mLeader;
        if (leader != null && packet.to().replicaId() == ReplicaRef.ANY) {
            mState.emit(
                    new ConsensusOutput.Send(
                            new Packet(packet.from(), leader, 0, 0, packet.body())));
        }
    }

    private void receiveInCluster(Packet packet) {
        Message body = packet.body();
        if (body instanceof Message.PreVote request) {
            mElection.onPreVote(packet, request);
            return;
        }
        if (body instanceof Message.PreVoteReply reply && reply.granted()) {
            leadIfWon(mElection.onPreVoteReply(packet, reply));
            return;
        }
        if (body instanceof Message.Vote && mState.hasRecentLeaderContact()) {
            mState.countRefusal(VoteRefusal.LEADER_KNOWN);
            return;
        }
        if (packet.term() > mState.term()) {
            becomeFollower(packet.term());
        }
        if (packet.term() < mState.term()) {
            replyToStaleTerm(packet);
            return;
        }
        dispatch(packet, body);
    }

    /**
     * Answers a request of an earlier term with the current term. The answer echoes nothing of the
     * request: an echoed read round would count for a later leadership of the same sender.
     */
    private void replyToStaleTerm(Packet packet) {
        boolean isRequest =
                packet.body() instanceof Message.Append
                        || packet.body() instanceof Message.SnapshotChunk
                        || packet.body() instanceof Message.Vote;
        if (isRequest) {
            mState.send(packet.from(), new Message.VoteReply(false));
        }
    }

    private void dispatch(Packet packet, Message body) {
        if (body instanceof Message.Vote request) {
            mElection.onVote(packet, request);
        } else if (body instanceof Message.VoteReply reply) {
            leadIfWon(mElection.onVoteReply(packet, reply));
        } else if (body instanceof Message.Append append && mLeadership == null) {
            mFollower.onAppend(packet, append);
        } else if (body instanceof Message.SnapshotChunk chunk && mLeadership == null) {
            mFollower.onChunk(packet, chunk);
        } else if (body instanceof Message.AppendReply reply && mLeadership != null) {
            mLeadership.onAppendReply(packet, reply);
        } else if (body instanceof Message.SnapshotReply reply && mLeadership != null) {
            mLeadership.onSnapshotReply(packet, reply);
        }
    }

    private void leadIfWon(boolean won) {
        if (!won) {
            return;
        }
        mState.mRole = Role.LEADER;
        mState.mLeader = mState.mSelf;
        if (mState.isLogEmpty()) {
            mBootstrap.appendFormation();
        }
        mState.emitRoleChanged();
        mLeadership = new Leadership(mState);
    }

    private void becomeFollower(long term) {
        if (term > mState.term()) {
            mState.persistHardState(mState.mHardState.inTerm(term, 0));
        }
        mState.mRole = Role.FOLLOWER;
        mState.mLeader = null;
        Leadership leadership = mLeadership;
        if (leadership != null) {
            mLeadership = null;
            leadership.stop();
            mState.resetElectionDeadline();
        }
        mState.emitRoleChanged();
    }

    /**
     * Steps down if this leader has lost contact with a majority or is no longer a voter. Runs
     * before each event, so that a process that was paused steps down before it handles anything.
     */
    private void stepDownIfLeadershipLost() {
        if (mLeadership != null
                && (!mLeadership.hasHeardFromMajority() || mLeadership.isRemoved())) {
            becomeFollower(mState.term());
        }
    }

    @Override
    public Role role() {
        return mState.mRole;
    }

    @Override
    public long term() {
        return mState.term();
    }

    @Override
    public @Nullable InstanceId leader() {
        return mState.leaderInstance();
    }

    @Override
    public Membership membership() {
        return mState.membership();
    }

    @Override
    public long commitIndex() {
        return mState.mCommitIndex;
    }

    @Override
    public boolean hasCommittedAsLeader() {
        return mState.mRole == Role.FOLLOWER && mState.mCommitIndex >= mState.mLeaderCommitIndex;
    }

    @Override
    public long lastIndex() {
        return mState.mLog.lastIndex();
    }

    @Override
    public long lastTerm() {
        return mState.mLog.lastTerm();
    }

    @Override
    public boolean isSendingSnapshot() {
        return mLeadership != null && mLeadership.isSendingSnapshot();
    }

    @Override
    public ReplicaStatus status(long nowNanos) {
        List<ReplicaStatus.MemberStatus> members = new ArrayList<>();
        for (Member member : mState.membership().members()) {
            members.add(memberStatus(nowNanos, member));
        }
        return new ReplicaStatus(
                mState.selfId(),
                mState.mRole,
                mState.term(),
                mState.leaderInstance(),
                mState.mCommitIndex,
                mState.mLog.lastIndex(),
                mState.mLog.lastTerm(),
                members,
                mState.mRefusals);
    }

    private ReplicaStatus.MemberStatus memberStatus(long nowNanos, Member member) {
        ReplicaRef replica = member.replica();
        if (replica.replicaId() == mState.selfId()) {
            return new ReplicaStatus.MemberStatus(member, 0, 0);
        }
        Long heardNanos = mState.mLastHeardNanos.get(replica.instance());
        long silentMillis =
                heardNanos == null
                        ? ReplicaStatus.UNKNOWN
                        : TimeUnit.NANOSECONDS.toMillis(nowNanos - heardNanos);
        MemberProgress progress =
                mLeadership == null ? null : mLeadership.progress(replica.replicaId());
        long behindEntries =
                progress == null
                        ? ReplicaStatus.UNKNOWN
                        : mState.mLog.lastIndex() - progress.mMatchIndex;
        return new ReplicaStatus.MemberStatus(member, silentMillis, behindEntries);
    }

    @Override
    public SnapshotMeta describeSnapshot(long sizeBytes, int crc32c) {
        long index = mState.mCommitIndex;
        return new SnapshotMeta(
                index,
                mState.mLog.termAt(index),
                mState.mLog.millisAt(index),
                mState.committedMembership(),
                sizeBytes,
                crc32c);
    }
}
