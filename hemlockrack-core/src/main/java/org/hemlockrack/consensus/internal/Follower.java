package org.hemlockrack.consensus.internal;

import java.util.List;
import org.hemlockrack.consensus.ConsensusOutput;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.SnapshotMeta;
import org.jspecify.annotations.Nullable;

/** Follower side of replication: stores entries and snapshots from the leader. */
final class Follower {
    private final RaftState mState;
    private @Nullable SnapshotMeta mReceivingSnapshot;
    private long mReceivedBytes;
    private Message.@Nullable SnapshotChunk mLastChunk;
    private @Nullable ReplicaRef mSnapshotSender;

    Follower(RaftState state) {
        mState = state;
    }

    void onAppend(Packet packet, Message.Append append) {
        mState.onLeaderContact(packet.from());
        mState.onLeaderCommit(append.commitIndex());
        long prev = append.prevIndex();
        long last = prev + append.entries().size();
        if (last <= mState.mCommitIndex) {
            replyStored(packet.from(), mState.mCommitIndex, append.round());
            return;
        }
        if (prev > mState.mCommitIndex && mState.mLog.termAt(prev) != append.prevTerm()) {
            replyRefused(packet.from(), append);
            return;
        }
        storeNewEntries(append.entries());
        mState.commitTo(Math.max(mState.mCommitIndex, Math.min(append.commitIndex(), last)));
        replyStored(packet.from(), last, append.round());
    }

    private void replyStored(ReplicaRef leader, long index, long round) {
        mState.send(leader, new Message.AppendReply(true, index, 0, 0, round));
    }

    private void replyRefused(ReplicaRef leader, Message.Append append) {
        long prev = append.prevIndex();
        long last = mState.mLog.lastIndex();
        long conflictTerm = prev > last ? 0 : mState.mLog.termAt(prev);
        long conflictIndex = prev > last ? last + 1 : mState.mLog.firstIndexOfTermAt(prev);
        mState.send(
                leader,
                new Message.AppendReply(false, prev, conflictTerm, conflictIndex, append.round()));
    }

    private void storeNewEntries(List<Entry> entries) {
        int storedCount = 0;
        while (storedCount < entries.size() && isStored(entries.get(storedCount))) {
            storedCount++;
        }
        List<Entry> newEntries = entries.subList(storedCount, entries.size());
        if (newEntries.isEmpty()) {
            return;
        }
        if (newEntries.get(0).index() <= mState.mLog.lastIndex()) {
            mState.truncateFrom(newEntries.get(0).index());
        }
        newEntries.forEach(mState::append);
        mState.persistEntries(List.copyOf(newEntries));
    }

    private boolean isStored(Entry entry) {
        return entry.index() <= mState.mCommitIndex
                || mState.mLog.termAt(entry.index()) == entry.term();
    }

    void onChunk(Packet packet, Message.SnapshotChunk chunk) {
        mState.onLeaderContact(packet.from());
        SnapshotMeta meta = chunk.meta();
        boolean hasSnapshotEntry = mState.mLog.termAt(meta.index()) == meta.term();
        if (meta.index() <= mState.mCommitIndex || hasSnapshotEntry) {
            mState.commitTo(Math.max(mState.mCommitIndex, meta.index()));
            replyStored(packet.from(), meta.index(), chunk.round());
            return;
        }
        if (!meta.equals(mReceivingSnapshot)) {
            mReceivingSnapshot = meta;
            mReceivedBytes = 0;
        }
        if (chunk.offset() == mReceivedBytes && isValidChunk(chunk)) {
            storeChunk(packet.from(), chunk);
        } else {
            requestNextChunk(packet.from(), chunk);
        }
    }

    /** An empty chunk is only valid as the whole of an empty snapshot. */
    private boolean isValidChunk(Message.SnapshotChunk chunk) {
        return chunk.data().length > 0 || chunk.meta().sizeBytes() == 0;
    }

    private void storeChunk(ReplicaRef leader, Message.SnapshotChunk chunk) {
        mState.emit(new ConsensusOutput.StoreChunk(chunk.meta(), chunk.offset(), chunk.data()));
        mReceivedBytes += chunk.data().length;
        if (mReceivedBytes < chunk.meta().sizeBytes()) {
            requestNextChunk(leader, chunk);
            return;
        }
        mLastChunk = chunk;
        mSnapshotSender = leader;
        mState.emit(new ConsensusOutput.InstallSnapshot(chunk.meta()));
    }

    private void requestNextChunk(ReplicaRef leader, Message.SnapshotChunk chunk) {
        mState.send(
                leader,
                new Message.SnapshotReply(chunk.meta().index(), mReceivedBytes, chunk.round()));
    }

    void onInstalled(SnapshotMeta meta, boolean valid) {
        Message.SnapshotChunk chunk = mLastChunk;
        ReplicaRef leader = mSnapshotSender;
        mReceivingSnapshot = null;
        mReceivedBytes = 0;
        mLastChunk = null;
        if (valid) {
            mState.resetToSnapshot(meta);
        }
        if (chunk == null || leader == null || !leader.equals(mState.mLeader)) {
            return;
        }
        if (valid) {
            replyStored(leader, meta.index(), chunk.round());
        } else {
            requestNextChunk(leader, chunk);
        }
    }
}
