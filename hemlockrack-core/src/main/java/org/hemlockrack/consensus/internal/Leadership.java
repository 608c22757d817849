package org.hemlockrack.consensus.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockrack.consensus.ConsensusCodec;
import org.hemlockrack.consensus.ConsensusEvent;
import org.hemlockrack.consensus.ConsensusOutput;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.MemberKind;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.ProtocolFeature;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.SnapshotMeta;
import org.jspecify.annotations.Nullable;

/** Leader side of the protocol, from a won election until this replica steps down. */
final class Leadership {
    /**
     * Largest batches of entries that may be unanswered by all members together. At 6 Mbit/s, two
     * batches of 64 KB delay a heartbeat by 175 ms.
     */
    private static final int MAX_INFLIGHT_BATCHES = 2;

    private final RaftState mState;
    private final Map<Long, MemberProgress> mProgressByReplica = new TreeMap<>();
    private final PendingReads mReads;
    private final MembershipChanges mChanges;
    private final long mTermStartIndex;
    private long mFlushedIndex;
    private long mHeartbeatDueNanos;

    /** No entries are sent to learners before this time. */
    private long mLearnersDueNanos;

    Leadership(RaftState state) {
        mState = state;
        mReads = new PendingReads(state);
        mChanges = new MembershipChanges(state, this);
        mFlushedIndex = state.mLog.lastIndex();
        mTermStartIndex = mFlushedIndex + 1;
        mHeartbeatDueNanos = state.mNowNanos + state.mSettings.heartbeatNanos();
        mLearnersDueNanos = state.mNowNanos;
        updateProgressForMembers();
        appendToLog(EntryKind.NO_OP, new byte[0], state.mLog.lastMillis());
        for (MemberProgress each : mProgressByReplica.values()) {
            sendHeartbeat(each);
        }
    }

    /** Ends the leadership; entries that were appended but not flushed are still persisted. */
    void stop() {
        persistNew();
        mReads.failAll();
        mState.endPendingProposals();
    }

    long nextTimerNanos() {
        return mHeartbeatDueNanos;
    }

    void onTimer() {
        if (mState.mNowNanos < mHeartbeatDueNanos) {
            return;
        }
        mHeartbeatDueNanos = mState.mNowNanos + mState.mSettings.heartbeatNanos();
        for (MemberProgress each : mProgressByReplica.values()) {
            sendHeartbeat(each);
        }
        replicateToAll();
        mChanges.advanceReplacements();
    }

    /** Returns whether a majority of the voters replied within the last election timeout. */
    boolean hasHeardFromMajority() {
        return mState.membership().hasMajority(id -> id == mState.selfId() || hasHeardFrom(id));
    }

    private boolean hasHeardFrom(long replicaId) {
        MemberProgress progress = mProgressByReplica.get(replicaId);
        long limitNanos = mState.mElectionTimeout.leaderNanos(mState.mNowNanos);
        return progress != null && wasHeardWithinNanos(progress, limitNanos);
    }

    boolean wasHeardWithin(MemberProgress progress, int timeouts) {
        return wasHeardWithinNanos(progress, timeouts * mState.mSettings.electionTimeoutNanos());
    }

    private boolean wasHeardWithinNanos(MemberProgress progress, long limitNanos) {
        return mState.mNowNanos - progress.mLastHeardNanos < limitNanos;
    }

    @Nullable MemberProgress progress(long replicaId) {
        return mProgressByReplica.get(replicaId);
    }

    /**
     * Returns whether the first entry of the term committed, so that the commit index is current.
     */
    boolean isEstablished() {
        return mState.mCommitIndex >= mTermStartIndex;
    }

    void propose(ConsensusEvent.Propose event) {
        int sizeBytes = event.command().length;
        boolean hasRoom = mState.mPendingBytes + sizeBytes <= mState.mSettings.maxPendingBytes();
        if (!hasRoom || sizeBytes > ConsensusCodec.MAX_COMMAND_BYTES) {
            ProposalStatus status = hasRoom ? ProposalStatus.REFUSED : ProposalStatus.OVERLOADED;
            mState.endProposal(event.ticket(), status);
            return;
        }
        long millis = Math.max(event.wallMillis(), mState.mLog.lastMillis());
        Entry entry = appendToLog(EntryKind.COMMAND, event.command(), millis);
        mState.mTicketsByIndex.put(entry.index(), event.ticket());
        mState.mPendingBytes += entry.sizeBytes();
    }

    void changeVoters(ConsensusEvent.ChangeVoters event) {
        mChanges.propose(event);
    }

    void onHello(Packet packet) {
        if (packet.body() instanceof Message.Hello hello) {
            mChanges.onHello(packet.from(), hello.nonce());
        }
    }

    void requestRead(long ticket) {
        mReads.add(ticket);
        startReadRound();
    }

    private void startReadRound() {
        if (!isEstablished() || !mReads.startRound()) {
            return;
        }
        for (MemberProgress each : mProgressByReplica.values()) {
            sendHeartbeat(each);
        }
        finishReadRoundIfConfirmed();
    }

    private void finishReadRoundIfConfirmed() {
        if (!mReads.hasActiveRound()) {
            return;
        }
        long round = mReads.round();
        boolean isConfirmed =
                mState.membership()
                        .hasMajority(id -> id == mState.selfId() || hasAnswered(id, round));
        if (isConfirmed) {
            mReads.finishRound();
            startReadRound();
        }
    }

    private boolean hasAnswered(long replicaId, long round) {
        MemberProgress progress = mProgressByReplica.get(replicaId);
        return progress != null && progress.mReadRound >= round;
    }

    void appendMembership(Membership membership, @Nullable Long ticket) {
        byte[] data = WireCodec.encodeMembership(membership);
        Entry entry = appendToLog(EntryKind.MEMBERSHIP, data, mState.mLog.lastMillis());
        if (ticket != null) {
            mState.mTicketsByIndex.put(entry.index(), ticket);
            mState.mPendingBytes += entry.sizeBytes();
        }
        updateProgressForMembers();
    }

    private Entry appendToLog(EntryKind kind, byte[] data, long millis) {
        long index = mState.mLog.lastIndex() + 1;
        Entry entry = new Entry(index, mState.term(), kind, millis, data);
        mState.append(entry);
        return entry;
    }

    private void updateProgressForMembers() {
        Membership membership = mState.membership();
        mProgressByReplica.keySet().removeIf(id -> membership.member(id).isEmpty());
        for (Member member : membership.members()) {
            long id = member.replica().replicaId();
            if (id != mState.selfId() && !mProgressByReplica.containsKey(id)) {
                long next = mState.mLog.lastIndex() + 1;
                mProgressByReplica.put(
                        id, new MemberProgress(member.replica(), next, mState.mNowNanos));
            }
        }
    }

    /** Sends new entries and then persists them, so that all replicas sync at the same time. */
    void flush() {
        if (mState.mLog.lastIndex() == mFlushedIndex) {
            return;
        }
        replicateToAll();
        persistNew();
    }

    private void persistNew() {
        if (mState.mLog.lastIndex() > mFlushedIndex) {
            mState.persistEntries(mState.mLog.entriesFrom(mFlushedIndex + 1, Integer.MAX_VALUE));
            mFlushedIndex = mState.mLog.lastIndex();
        }
    }

    void replicate(MemberProgress progress) {
        while (progress.canSend(mState.mSettings.maxInflightAppends())) {
            long next = progress.mNextIndex;
            if (mState.mLog.termAt(next - 1) == RaftLog.UNKNOWN_TERM) {
                startSnapshot(progress);
                return;
            }
            if (next > mState.mLog.lastIndex()) {
                return;
            }
            List<Entry> entries = mState.mLog.entriesFrom(next, mState.mSettings.maxBatchBytes());
            long bytes = entries.stream().mapToLong(Entry::sizeBytes).sum();
            if (!hasRoomFor(bytes) || isPaused(progress)) {
                return;
            }
            sendAppend(progress, next - 1, entries);
            progress.onSent(mState.mNowNanos, next + entries.size() - 1, bytes);
        }
    }

    /**
     * Returns whether entries may be sent now. Heartbeats wait behind the entries that are queued
     * on the link of this machine, so those to all members together are bounded. Entries that were
     * not answered for half an election timeout may be lost and no longer count.
     */
    private boolean hasRoomFor(long bytes) {
        long sinceNanos = answerLimitNanos();
        long inflightBytes = 0;
        for (MemberProgress each : mProgressByReplica.values()) {
            inflightBytes += each.inflightBytesSince(sinceNanos);
        }
        int limitBytes = MAX_INFLIGHT_BATCHES * mState.mSettings.maxBatchBytes();
        return inflightBytes == 0 || inflightBytes + bytes <= limitBytes;
    }

    /**
     * Returns whether entries to a member must wait because it is a learner. Learners that lack
     * many entries, as after a power loss, need the link of the leader for seconds, and reads and
     * confirmations wait behind them. They get one append at a time, all together, and a pause
     * after each that is as long as its answer took.
     */
    private boolean isPaused(MemberProgress progress) {
        if (!isLearner(progress)) {
            return false;
        }
        long sinceNanos = answerLimitNanos();
        boolean isSending =
                mProgressByReplica.values().stream()
                        .anyMatch(p -> isLearner(p) && p.inflightBytesSince(sinceNanos) > 0);
        return isSending || mState.mNowNanos - mLearnersDueNanos < 0;
    }

    private boolean isLearner(MemberProgress progress) {
        return mState.membership()
                .member(progress.mReplica.replicaId())
                .filter(member -> member.kind() == MemberKind.LEARNER)
                .isPresent();
    }

    /** Returns the time since which entries were sent that are not taken for lost. */
    private long answerLimitNanos() {
        return mState.mNowNanos - mState.mSettings.electionTimeoutNanos() / 2;
    }

    /**
     * Sends entries to all members that lack some: first to voters, which commit them, and among
     * these to the ones that lack least, so that catching up does not delay new entries.
     */
    private void replicateToAll() {
        List<MemberProgress> members = new ArrayList<>(mProgressByReplica.values());
        members.sort(
                Comparator.comparing((MemberProgress each) -> !isVoter(each))
                        .thenComparing(each -> -each.mMatchIndex));
        members.forEach(this::replicate);
    }

    private boolean isVoter(MemberProgress progress) {
        return mState.membership().isVoter(progress.mReplica.replicaId());
    }

    private void sendHeartbeat(MemberProgress progress) {
        SnapshotMeta snapshot = mState.mSnapshot;
        long prev = progress.mNextIndex - 1;
        if (progress.mSnapshotIndex != 0 && snapshot != null) {
            resendChunkIfLost(progress, snapshot);
            prev = snapshot.index();
        } else if (mState.mLog.termAt(prev) == RaftLog.UNKNOWN_TERM) {
            startSnapshot(progress);
            return;
        }
        sendAppend(progress, prev, List.of());
    }

    private void sendAppend(MemberProgress progress, long prev, List<Entry> entries) {
        mState.send(
                progress.mReplica,
                new Message.Append(
                        prev,
                        mState.mLog.termAt(prev),
                        mState.mCommitIndex,
                        mReads.round(),
                        entries));
    }

    private void startSnapshot(MemberProgress progress) {
        SnapshotMeta snapshot = mState.mSnapshot;
        if (snapshot == null) {
            throw new IllegalStateException("the log was compacted without a snapshot");
        }
        progress.forgetAppends();
        progress.mSnapshotIndex = snapshot.index();
        progress.mSnapshotOffset = 0;
        sendChunk(progress, snapshot);
    }

    /** A chunk counts as lost if it is not answered within four heartbeat intervals. */
    private void resendChunkIfLost(MemberProgress progress, SnapshotMeta snapshot) {
        if (progress.mSnapshotIndex != snapshot.index()) {
            startSnapshot(progress);
            return;
        }
        long age = mState.mNowNanos - progress.mSnapshotSentNanos;
        if (age >= 4 * mState.mSettings.heartbeatNanos()) {
            sendChunk(progress, snapshot);
        }
    }

    private void sendChunk(MemberProgress progress, SnapshotMeta snapshot) {
        progress.mSnapshotSentNanos = mState.mNowNanos;
        Message.SnapshotChunk chunk =
                new Message.SnapshotChunk(
                        snapshot, progress.mSnapshotOffset, mReads.round(), new byte[0]);
        Packet packet =
                new Packet(
                        mState.mSelf, progress.mReplica, mState.clusterId(), mState.term(), chunk);
        mState.emit(
                new ConsensusOutput.SendSnapshotChunk(packet, mState.mSettings.maxChunkBytes()));
    }

    boolean isSendingSnapshot() {
        return mProgressByReplica.values().stream()
                .anyMatch(p -> p.mSnapshotIndex != 0 && wasHeardWithin(p, 1));
    }

    void onAppendReply(Packet packet, Message.AppendReply reply) {
        MemberProgress progress = mProgressByReplica.get(packet.from().replicaId());
        if (progress == null) {
            return;
        }
        progress.onReply(mState.mNowNanos, reply.round());
        if (reply.success()) {
            onStored(progress, reply.index());
        } else {
            onRefused(progress, reply);
        }
        finishReadRoundIfConfirmed();
        replicateToAll();
        mChanges.advanceReplacements();
    }

    private void onStored(MemberProgress progress, long index) {
        if (index <= mState.mLog.lastIndex()) {
            long answerNanos = progress.onStored(mState.mNowNanos, index);
            if (answerNanos > 0 && isLearner(progress)) {
                mLearnersDueNanos = mState.mNowNanos + answerNanos;
            }
            advanceCommit();
        }
    }

    private void onRefused(MemberProgress progress, Message.AppendReply reply) {
        boolean isOutdated = progress.mProbing && reply.index() != progress.mNextIndex - 1;
        if (isOutdated || reply.index() <= progress.mMatchIndex || progress.mSnapshotIndex != 0) {
            return;
        }
        progress.onRefused(Math.min(nextIndexAfterRefusal(reply), mState.mLog.lastIndex() + 1));
    }

    private long nextIndexAfterRefusal(Message.AppendReply reply) {
        if (mState.mSettings.disabledFeatures().contains(ProtocolFeature.CONFLICT_HINTS)) {
            return reply.index();
        }
        if (reply.conflictTerm() == 0) {
            return reply.conflictIndex();
        }
        long lastSharedIndex = mState.mLog.lastIndexUpToTerm(reply.conflictTerm(), reply.index());
        boolean hasConflictTerm = mState.mLog.termAt(lastSharedIndex) == reply.conflictTerm();
        return hasConflictTerm ? lastSharedIndex + 1 : reply.conflictIndex();
    }

    void onSnapshotReply(Packet packet, Message.SnapshotReply reply) {
        MemberProgress progress = mProgressByReplica.get(packet.from().replicaId());
        if (progress == null) {
            return;
        }
        progress.onReply(mState.mNowNanos, reply.round());
        SnapshotMeta snapshot = mState.mSnapshot;
        if (snapshot == null || progress.mSnapshotIndex != reply.snapshotIndex()) {
            finishReadRoundIfConfirmed();
            return;
        }
        boolean current = snapshot.index() == reply.snapshotIndex();
        boolean valid = reply.nextOffset() <= snapshot.sizeBytes();
        if (current && valid && reply.nextOffset() != progress.mSnapshotOffset) {
            progress.mSnapshotOffset = reply.nextOffset();
            sendChunk(progress, snapshot);
        }
        finishReadRoundIfConfirmed();
    }

    void onPersisted() {
        advanceCommit();
    }

    private void advanceCommit() {
        long[] storedIndexes =
                mState.membership().voters().stream()
                        .mapToLong(this::storedIndex)
                        .sorted()
                        .toArray();
        if (storedIndexes.length == 0) {
            return;
        }
        long index = storedIndexes[storedIndexes.length - mState.membership().quorum()];
        if (index <= mState.mCommitIndex || mState.mLog.termAt(index) != mState.term()) {
            return;
        }
        mState.commitTo(index);
        startReadRound();
        mChanges.advanceReplacements();
    }

    private long storedIndex(ReplicaRef voter) {
        if (voter.replicaId() == mState.selfId()) {
            return mState.mPersistedIndex;
        }
        MemberProgress progress = mProgressByReplica.get(voter.replicaId());
        return progress == null ? 0 : progress.mMatchIndex;
    }

    /** Returns whether this leader is no longer a voter in the committed membership. */
    boolean isRemoved() {
        return isEstablished() && !mState.committedMembership().isVoter(mState.selfId());
    }

    @Override
    public String toString() {
        return "Leadership" + Arrays.toString(mProgressByReplica.keySet().toArray());
    }
}
