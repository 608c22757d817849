package org.hemlockrack.consensus.internal;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.Consensus;
import org.hemlockrack.consensus.ConsensusEvent;
import org.hemlockrack.consensus.ConsensusOutput;
import org.hemlockrack.consensus.ConsensusSettings;
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

/** Dispatches events to the parts of a replica and moves it between roles. */
public final class Raft implements Consensus {
    private final Core mCore;
    private final Elections mElections;
    private final Formation mFormation;
    private final Following mFollowing;
    private @Nullable Leading mLeading;

    private Raft(Core core) {
        mCore = core;
        mElections = new Elections(core);
        mFormation = new Formation(core);
        mFollowing = new Following(core);
    }

    /**
     * Creates a decider; see {@link Consensus#create}.
     *
     * @param settings the settings
     * @param recovered what the store held
     * @param random source for election timeouts
     * @param nowNanos monotonic time
     * @return the decider
     */
    public static Raft create(
            ConsensusSettings settings,
            RecoveredState recovered,
            RandomGenerator random,
            long nowNanos) {
        return new Raft(new Core(settings, recovered, random, nowNanos));
    }

    @Override
    public void onEvent(
            long nowNanos, ConsensusEvent event, Consumer<? super ConsensusOutput> out) {
        mCore.mNowNanos = nowNanos;
        checkLeadership();
        handle(event);
        checkLeadership();
        mCore.drain(out);
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super ConsensusOutput> out) {
        mCore.mNowNanos = nowNanos;
        checkLeadership();
        if (mLeading != null) {
            mLeading.onTimer();
        } else if (mCore.empty()) {
            elect(mFormation.onTimer());
        } else if (nowNanos >= mCore.mElectionDeadlineNanos) {
            electOrAnnounce();
        }
        checkLeadership();
        mCore.drain(out);
    }

    private void electOrAnnounce() {
        if (!mCore.membership().isVoter(mCore.selfId())) {
            mFormation.announce();
        }
        leadIf(mElections.start());
    }

    @Override
    public long nextTimerNanos() {
        if (mLeading != null) {
            return mLeading.nextTimerNanos();
        }
        return mCore.empty() ? mFormation.nextTimerNanos() : mCore.mElectionDeadlineNanos;
    }

    private void handle(ConsensusEvent event) {
        if (event instanceof ConsensusEvent.Received received) {
            receive(received.packet());
        } else if (event instanceof ConsensusEvent.Propose propose) {
            propose(propose);
        } else if (event instanceof ConsensusEvent.ReadIndex read) {
            read(read.ticket());
        } else if (event instanceof ConsensusEvent.ChangeVoters change) {
            change(change);
        } else if (event instanceof ConsensusEvent.Flush) {
            flush();
        } else if (event instanceof ConsensusEvent.Persisted persisted) {
            persisted(persisted);
        } else if (event instanceof ConsensusEvent.SnapshotSaved saved) {
            mCore.compact(saved.meta());
        } else if (event instanceof ConsensusEvent.SnapshotInstalled installed) {
            mFollowing.onInstalled(installed.meta(), installed.valid());
        }
    }

    private void propose(ConsensusEvent.Propose event) {
        if (mLeading == null) {
            mCore.endProposal(event.ticket(), ProposalStatus.NOT_LEADER);
        } else {
            mLeading.propose(event);
        }
    }

    private void change(ConsensusEvent.ChangeVoters event) {
        if (mLeading == null) {
            mCore.endProposal(event.ticket(), ProposalStatus.NOT_LEADER);
        } else {
            mLeading.changeVoters(event);
        }
    }

    private void read(long ticket) {
        if (mLeading == null) {
            mCore.emit(new ConsensusOutput.ReadFailed(ticket, mCore.leaderInstance()));
        } else {
            mLeading.read(ticket);
        }
    }

    private void flush() {
        if (mLeading != null) {
            mLeading.flush();
        }
    }

    private void persisted(ConsensusEvent.Persisted event) {
        if (mCore.mLog.termAt(event.index()) != event.term()) {
            return;
        }
        mCore.mPersisted = Math.max(mCore.mPersisted, event.index());
        if (mLeading != null) {
            mLeading.onPersisted();
        }
    }

    private void receive(Packet packet) {
        if (!addressed(packet)) {
            return;
        }
        mCore.mAskingCluster = packet.clusterId();
        if (packet.body() instanceof Message.Hello) {
            onHello(packet);
        } else if (packet.body() instanceof Message.HelloReply reply) {
            elect(mFormation.onReply(packet, reply));
        } else if (sameCluster(packet)) {
            receiveInCluster(packet);
        }
    }

    private boolean addressed(Packet packet) {
        ReplicaRef to = packet.to();
        boolean toAny = to.replicaId() == ReplicaRef.ANY;
        return to.instance().equals(mCore.mSelf.instance())
                && (toAny || to.replicaId() == mCore.selfId())
                && packet.from().replicaId() != mCore.selfId();
    }

    /** A replica without a log may be asked by the cluster that counts it as a member. */
    private boolean sameCluster(Packet packet) {
        return packet.clusterId() == mCore.clusterId() || mCore.empty();
    }

    /** A follower passes an announcement on, since the leader may not be a listed instance. */
    private void onHello(Packet packet) {
        if (mLeading != null) {
            mLeading.onHello(packet);
            return;
        }
        mCore.send(packet.from(), new Message.HelloReply(mCore.empty(), 0));
        ReplicaRef leader = mCore.mLeader;
        if (leader != null && packet.to().replicaId() == ReplicaRef.ANY) {
            mCore.emit(
                    new ConsensusOutput.Send(
                            new Packet(packet.from(), leader, 0, 0, packet.body())));
        }
    }

    private void receiveInCluster(Packet packet) {
        Message body = packet.body();
        if (body instanceof Message.PreVote request) {
            mElections.onPreVote(packet, request);
            return;
        }
        if (body instanceof Message.PreVoteReply reply && reply.granted()) {
            leadIf(mElections.onPreVoteReply(packet, reply));
            return;
        }
        if (body instanceof Message.Vote && mCore.leaderIsFresh()) {
            return;
        }
        if (packet.term() > mCore.term()) {
            follow(packet.term());
        }
        if (packet.term() < mCore.term()) {
            answerStale(packet);
            return;
        }
        dispatch(packet, body);
    }

    /**
     * Tells the sender of an earlier term about the current one. The answer carries nothing of the
     * request: an echoed read round would count for a later leadership of the same sender.
     */
    private void answerStale(Packet packet) {
        boolean request =
                packet.body() instanceof Message.Append
                        || packet.body() instanceof Message.SnapshotChunk
                        || packet.body() instanceof Message.Vote;
        if (request) {
            mCore.send(packet.from(), new Message.VoteReply(false));
        }
    }

    private void dispatch(Packet packet, Message body) {
        if (body instanceof Message.Vote request) {
            mElections.onVote(packet, request);
        } else if (body instanceof Message.VoteReply reply) {
            leadIf(mElections.onVoteReply(packet, reply));
        } else if (body instanceof Message.Append append && mLeading == null) {
            mFollowing.onAppend(packet, append);
        } else if (body instanceof Message.SnapshotChunk chunk && mLeading == null) {
            mFollowing.onChunk(packet, chunk);
        } else if (body instanceof Message.AppendReply reply && mLeading != null) {
            mLeading.onAppendReply(packet, reply);
        } else if (body instanceof Message.SnapshotReply reply && mLeading != null) {
            mLeading.onSnapshotReply(packet, reply);
        }
    }

    private void elect(boolean formed) {
        if (formed) {
            leadIf(mElections.start());
        }
    }

    private void leadIf(boolean won) {
        if (!won) {
            return;
        }
        mCore.mRole = Role.LEADER;
        mCore.mLeader = mCore.mSelf;
        mCore.roleChanged();
        mLeading = new Leading(mCore);
    }

    private void follow(long term) {
        if (term > mCore.term()) {
            mCore.persistMeta(mCore.mMeta.inTerm(term, 0));
        }
        mCore.mRole = Role.FOLLOWER;
        mCore.mLeader = null;
        Leading leading = mLeading;
        if (leading != null) {
            mLeading = null;
            leading.stop();
            mCore.resetElectionDeadline();
        }
        mCore.roleChanged();
    }

    /**
     * Ends a leadership that lost its majority or its vote. It runs before each event, so a process
     * that was frozen stops leading before it decides anything.
     */
    private void checkLeadership() {
        if (mLeading != null && (!mLeading.heardMajority() || mLeading.removed())) {
            follow(mCore.term());
        }
    }

    @Override
    public Role role() {
        return mCore.mRole;
    }

    @Override
    public long term() {
        return mCore.term();
    }

    @Override
    public @Nullable InstanceId leader() {
        return mCore.leaderInstance();
    }

    @Override
    public Membership membership() {
        return mCore.membership();
    }

    @Override
    public long commitIndex() {
        return mCore.mCommit;
    }

    @Override
    public long lastIndex() {
        return mCore.mLog.lastIndex();
    }

    @Override
    public long lastTerm() {
        return mCore.mLog.lastTerm();
    }

    @Override
    public boolean sendingSnapshot() {
        return mLeading != null && mLeading.sendingSnapshot();
    }

    @Override
    public SnapshotMeta describeSnapshot(long sizeBytes, int crc32c) {
        long index = mCore.mCommit;
        return new SnapshotMeta(
                index,
                mCore.mLog.termAt(index),
                mCore.mLog.millisAt(index),
                mCore.committedMembership(),
                sizeBytes,
                crc32c);
    }
}
