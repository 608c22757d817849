package org.hemlockrack.consensus.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockrack.consensus.ConsensusCodec;
import org.hemlockrack.consensus.ConsensusEvent;
import org.hemlockrack.consensus.ConsensusOutput;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.Mechanism;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.SnapshotMeta;
import org.jspecify.annotations.Nullable;

/** One leadership: from the won election until the replica steps down. */
final class Leading {
    private final Core mCore;
    private final Map<Long, Progress> mProgress = new TreeMap<>();
    private final Reads mReads;
    private final MemberChanges mChanges;
    private final long mTermStart;
    private long mFlushed;
    private long mHeartbeatDueNanos;

    Leading(Core core) {
        mCore = core;
        mReads = new Reads(core);
        mChanges = new MemberChanges(core, this);
        mFlushed = core.mLog.lastIndex();
        mTermStart = mFlushed + 1;
        mHeartbeatDueNanos = core.mNowNanos + core.mSettings.heartbeatNanos();
        followMembers();
        append(EntryKind.NO_OP, new byte[0], core.mLog.lastMillis());
        for (Progress each : mProgress.values()) {
            heartbeat(each);
        }
    }

    /** Ends the leadership; what was appended but not flushed still has to be persisted. */
    void stop() {
        persistNew();
        mReads.fail();
        mCore.endTickets();
    }

    long nextTimerNanos() {
        return mHeartbeatDueNanos;
    }

    void onTimer() {
        if (mCore.mNowNanos < mHeartbeatDueNanos) {
            return;
        }
        mHeartbeatDueNanos = mCore.mNowNanos + mCore.mSettings.heartbeatNanos();
        for (Progress each : mProgress.values()) {
            heartbeat(each);
        }
        mChanges.maintain();
    }

    /** Returns whether a majority of the voters was heard within an election timeout. */
    boolean heardMajority() {
        return mCore.membership().hasMajority(id -> id == mCore.selfId() || heard(id));
    }

    private boolean heard(long replicaId) {
        Progress progress = mProgress.get(replicaId);
        return progress != null && heardWithin(progress, 1);
    }

    boolean heardWithin(Progress progress, int timeouts) {
        long limit = timeouts * mCore.mSettings.electionTimeoutNanos();
        return mCore.mNowNanos - progress.mHeardNanos < limit;
    }

    @Nullable Progress progress(long replicaId) {
        return mProgress.get(replicaId);
    }

    /** Returns whether the term's first entry is committed, so that the commit index is current. */
    boolean established() {
        return mCore.mCommit >= mTermStart;
    }

    void propose(ConsensusEvent.Propose event) {
        int sizeBytes = event.command().length;
        boolean fits = mCore.mPendingBytes + sizeBytes <= mCore.mSettings.maxPendingBytes();
        if (!fits || sizeBytes > ConsensusCodec.MAX_COMMAND_BYTES) {
            ProposalStatus status = fits ? ProposalStatus.REFUSED : ProposalStatus.OVERLOADED;
            mCore.endProposal(event.ticket(), status);
            return;
        }
        long millis = Math.max(event.wallMillis(), mCore.mLog.lastMillis());
        Entry entry = append(EntryKind.COMMAND, event.command(), millis);
        mCore.mTickets.put(entry.index(), event.ticket());
        mCore.mPendingBytes += entry.sizeBytes();
    }

    void changeVoters(ConsensusEvent.ChangeVoters event) {
        mChanges.propose(event);
    }

    void onHello(Packet packet) {
        if (packet.body() instanceof Message.Hello hello) {
            mChanges.onHello(packet.from(), hello.nonce());
        }
    }

    void read(long ticket) {
        mReads.add(ticket);
        startReads();
    }

    private void startReads() {
        if (!established() || !mReads.startRound()) {
            return;
        }
        for (Progress each : mProgress.values()) {
            heartbeat(each);
        }
        finishReads();
    }

    private void finishReads() {
        if (!mReads.active()) {
            return;
        }
        long round = mReads.round();
        boolean done =
                mCore.membership().hasMajority(id -> id == mCore.selfId() || answered(id, round));
        if (done) {
            mReads.finishRound();
            startReads();
        }
    }

    private boolean answered(long replicaId, long round) {
        Progress progress = mProgress.get(replicaId);
        return progress != null && progress.mRound >= round;
    }

    void appendMembership(Membership membership, @Nullable Long ticket) {
        byte[] data = WireCodec.encodeMembership(membership);
        Entry entry = append(EntryKind.MEMBERSHIP, data, mCore.mLog.lastMillis());
        if (ticket != null) {
            mCore.mTickets.put(entry.index(), ticket);
            mCore.mPendingBytes += entry.sizeBytes();
        }
        followMembers();
    }

    private Entry append(EntryKind kind, byte[] data, long millis) {
        long index = mCore.mLog.lastIndex() + 1;
        Entry entry = new Entry(index, mCore.term(), kind, millis, data);
        mCore.append(entry);
        return entry;
    }

    private void followMembers() {
        Membership membership = mCore.membership();
        mProgress.keySet().removeIf(id -> membership.member(id).isEmpty());
        for (Member member : membership.members()) {
            long id = member.replica().replicaId();
            if (id != mCore.selfId() && !mProgress.containsKey(id)) {
                long next = mCore.mLog.lastIndex() + 1;
                mProgress.put(id, new Progress(member.replica(), next, mCore.mNowNanos));
            }
        }
    }

    /** Sends new entries before it persists them, so that all replicas sync at the same time. */
    void flush() {
        if (mCore.mLog.lastIndex() == mFlushed) {
            return;
        }
        for (Progress each : mProgress.values()) {
            replicate(each);
        }
        persistNew();
    }

    private void persistNew() {
        if (mCore.mLog.lastIndex() > mFlushed) {
            mCore.persistEntries(mCore.mLog.slice(mFlushed + 1, Integer.MAX_VALUE));
            mFlushed = mCore.mLog.lastIndex();
        }
    }

    void replicate(Progress progress) {
        while (progress.canSend(mCore.mSettings.maxInflight())) {
            long next = progress.mNext;
            if (mCore.mLog.termAt(next - 1) == RaftLog.UNKNOWN_TERM) {
                startSnapshot(progress);
                return;
            }
            if (next > mCore.mLog.lastIndex()) {
                return;
            }
            List<Entry> entries = mCore.mLog.slice(next, mCore.mSettings.maxBatchBytes());
            sendAppend(progress, next - 1, entries);
            progress.sent(next + entries.size() - 1);
        }
    }

    private void heartbeat(Progress progress) {
        SnapshotMeta snapshot = mCore.mSnapshot;
        long prev = progress.mNext - 1;
        if (progress.mSnapshotIndex != 0 && snapshot != null) {
            resendChunk(progress, snapshot);
            prev = snapshot.index();
        } else if (mCore.mLog.termAt(prev) == RaftLog.UNKNOWN_TERM) {
            startSnapshot(progress);
            return;
        }
        sendAppend(progress, prev, List.of());
    }

    private void sendAppend(Progress progress, long prev, List<Entry> entries) {
        mCore.send(
                progress.mReplica,
                new Message.Append(
                        prev, mCore.mLog.termAt(prev), mCore.mCommit, mReads.round(), entries));
    }

    private void startSnapshot(Progress progress) {
        SnapshotMeta snapshot = mCore.mSnapshot;
        if (snapshot == null) {
            throw new IllegalStateException("the log is compacted without a snapshot");
        }
        progress.mInflight.clear();
        progress.mSnapshotIndex = snapshot.index();
        progress.mSnapshotOffset = 0;
        sendChunk(progress, snapshot);
    }

    /** Four heartbeats without an answer count as a lost part. */
    private void resendChunk(Progress progress, SnapshotMeta snapshot) {
        if (progress.mSnapshotIndex != snapshot.index()) {
            startSnapshot(progress);
            return;
        }
        long age = mCore.mNowNanos - progress.mSnapshotSentNanos;
        if (age >= 4 * mCore.mSettings.heartbeatNanos()) {
            sendChunk(progress, snapshot);
        }
    }

    private void sendChunk(Progress progress, SnapshotMeta snapshot) {
        progress.mSnapshotSentNanos = mCore.mNowNanos;
        Message.SnapshotChunk chunk =
                new Message.SnapshotChunk(
                        snapshot, progress.mSnapshotOffset, mReads.round(), new byte[0]);
        Packet packet =
                new Packet(mCore.mSelf, progress.mReplica, mCore.clusterId(), mCore.term(), chunk);
        mCore.emit(new ConsensusOutput.SendSnapshotChunk(packet, mCore.mSettings.chunkBytes()));
    }

    boolean sendingSnapshot() {
        return mProgress.values().stream()
                .anyMatch(p -> p.mSnapshotIndex != 0 && heardWithin(p, 1));
    }

    void onAppendReply(Packet packet, Message.AppendReply reply) {
        Progress progress = mProgress.get(packet.from().replicaId());
        if (progress == null) {
            return;
        }
        progress.heard(mCore.mNowNanos, reply.round());
        if (reply.success()) {
            onStored(progress, reply.index());
        } else {
            onRefused(progress, reply);
        }
        finishReads();
        replicate(progress);
        mChanges.maintain();
    }

    private void onStored(Progress progress, long index) {
        if (index <= mCore.mLog.lastIndex()) {
            progress.matched(index);
            advanceCommit();
        }
    }

    private void onRefused(Progress progress, Message.AppendReply reply) {
        boolean late = progress.mProbing && reply.index() != progress.mNext - 1;
        if (late || reply.index() <= progress.mMatch || progress.mSnapshotIndex != 0) {
            return;
        }
        progress.refused(Math.min(nextAfter(reply), mCore.mLog.lastIndex() + 1));
    }

    private long nextAfter(Message.AppendReply reply) {
        if (mCore.mSettings.off().contains(Mechanism.CONFLICT_HINTS)) {
            return reply.index();
        }
        if (reply.conflictTerm() == 0) {
            return reply.conflictIndex();
        }
        long same = mCore.mLog.lastIndexOfTerm(reply.conflictTerm(), reply.index());
        boolean shared = mCore.mLog.termAt(same) == reply.conflictTerm();
        return shared ? same + 1 : reply.conflictIndex();
    }

    void onSnapshotReply(Packet packet, Message.SnapshotReply reply) {
        Progress progress = mProgress.get(packet.from().replicaId());
        if (progress == null) {
            return;
        }
        progress.heard(mCore.mNowNanos, reply.round());
        SnapshotMeta snapshot = mCore.mSnapshot;
        if (snapshot == null || progress.mSnapshotIndex != reply.snapshotIndex()) {
            finishReads();
            return;
        }
        boolean current = snapshot.index() == reply.snapshotIndex();
        boolean valid = reply.nextOffset() <= snapshot.sizeBytes();
        if (current && valid && reply.nextOffset() != progress.mSnapshotOffset) {
            progress.mSnapshotOffset = reply.nextOffset();
            sendChunk(progress, snapshot);
        }
        finishReads();
    }

    void onPersisted() {
        advanceCommit();
    }

    private void advanceCommit() {
        long[] stored =
                mCore.membership().voters().stream().mapToLong(this::stored).sorted().toArray();
        if (stored.length == 0) {
            return;
        }
        long index = stored[stored.length - mCore.membership().quorum()];
        if (index <= mCore.mCommit || mCore.mLog.termAt(index) != mCore.term()) {
            return;
        }
        mCore.commitTo(index);
        startReads();
        mChanges.maintain();
    }

    private long stored(ReplicaRef voter) {
        if (voter.replicaId() == mCore.selfId()) {
            return mCore.mPersisted;
        }
        Progress progress = mProgress.get(voter.replicaId());
        return progress == null ? 0 : progress.mMatch;
    }

    /** Returns whether the committed members no longer include this leader as a voter. */
    boolean removed() {
        return established() && !mCore.committedMembership().isVoter(mCore.selfId());
    }

    @Override
    public String toString() {
        return "Leading" + Arrays.toString(mProgress.keySet().toArray());
    }
}
