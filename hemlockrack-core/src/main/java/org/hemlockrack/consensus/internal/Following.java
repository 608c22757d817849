package org.hemlockrack.consensus.internal;

import java.util.List;
import org.hemlockrack.consensus.ConsensusOutput;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.SnapshotMeta;
import org.jspecify.annotations.Nullable;

/** Stores what the leader sends. */
final class Following {
    private final Core mCore;
    private @Nullable SnapshotMeta mReceiving;
    private long mReceivedBytes;
    private Message.@Nullable SnapshotChunk mLastChunk;
    private @Nullable ReplicaRef mSnapshotSender;

    Following(Core core) {
        mCore = core;
    }

    void onAppend(Packet packet, Message.Append append) {
        mCore.heardLeader(packet.from());
        long prev = append.prevIndex();
        long last = prev + append.entries().size();
        if (last <= mCore.mCommit) {
            stored(packet.from(), mCore.mCommit, append.round());
            return;
        }
        if (prev > mCore.mCommit && mCore.mLog.termAt(prev) != append.prevTerm()) {
            refuse(packet.from(), append);
            return;
        }
        store(append.entries());
        mCore.commitTo(Math.max(mCore.mCommit, Math.min(append.commitIndex(), last)));
        stored(packet.from(), last, append.round());
    }

    private void stored(ReplicaRef leader, long index, long round) {
        mCore.send(leader, new Message.AppendReply(true, index, 0, 0, round));
    }

    private void refuse(ReplicaRef leader, Message.Append append) {
        long prev = append.prevIndex();
        long last = mCore.mLog.lastIndex();
        long conflictTerm = prev > last ? 0 : mCore.mLog.termAt(prev);
        long conflictIndex = prev > last ? last + 1 : mCore.mLog.firstIndexOfTermAt(prev);
        mCore.send(
                leader,
                new Message.AppendReply(false, prev, conflictTerm, conflictIndex, append.round()));
    }

    private void store(List<Entry> entries) {
        int known = 0;
        while (known < entries.size() && has(entries.get(known))) {
            known++;
        }
        List<Entry> fresh = entries.subList(known, entries.size());
        if (fresh.isEmpty()) {
            return;
        }
        if (fresh.get(0).index() <= mCore.mLog.lastIndex()) {
            mCore.truncateFrom(fresh.get(0).index());
        }
        fresh.forEach(mCore::append);
        mCore.persistEntries(List.copyOf(fresh));
    }

    private boolean has(Entry entry) {
        return entry.index() <= mCore.mCommit || mCore.mLog.termAt(entry.index()) == entry.term();
    }

    void onChunk(Packet packet, Message.SnapshotChunk chunk) {
        mCore.heardLeader(packet.from());
        SnapshotMeta meta = chunk.meta();
        boolean present = mCore.mLog.termAt(meta.index()) == meta.term();
        if (meta.index() <= mCore.mCommit || present) {
            mCore.commitTo(Math.max(mCore.mCommit, meta.index()));
            stored(packet.from(), meta.index(), chunk.round());
            return;
        }
        if (!meta.equals(mReceiving)) {
            mReceiving = meta;
            mReceivedBytes = 0;
        }
        if (chunk.offset() == mReceivedBytes && fits(chunk)) {
            receive(packet.from(), chunk);
        } else {
            askNext(packet.from(), chunk);
        }
    }

    /** An empty part is only valid as the whole of an empty snapshot. */
    private boolean fits(Message.SnapshotChunk chunk) {
        return chunk.data().length > 0 || chunk.meta().sizeBytes() == 0;
    }

    private void receive(ReplicaRef leader, Message.SnapshotChunk chunk) {
        mCore.emit(new ConsensusOutput.StoreChunk(chunk.meta(), chunk.offset(), chunk.data()));
        mReceivedBytes += chunk.data().length;
        if (mReceivedBytes < chunk.meta().sizeBytes()) {
            askNext(leader, chunk);
            return;
        }
        mLastChunk = chunk;
        mSnapshotSender = leader;
        mCore.emit(new ConsensusOutput.InstallSnapshot(chunk.meta()));
    }

    private void askNext(ReplicaRef leader, Message.SnapshotChunk chunk) {
        mCore.send(
                leader,
                new Message.SnapshotReply(chunk.meta().index(), mReceivedBytes, chunk.round()));
    }

    void onInstalled(SnapshotMeta meta, boolean valid) {
        Message.SnapshotChunk chunk = mLastChunk;
        ReplicaRef leader = mSnapshotSender;
        mReceiving = null;
        mReceivedBytes = 0;
        mLastChunk = null;
        if (valid) {
            mCore.installed(meta);
        }
        if (chunk == null || leader == null || !leader.equals(mCore.mLeader)) {
            return;
        }
        if (valid) {
            stored(leader, meta.index(), chunk.round());
        } else {
            askNext(leader, chunk);
        }
    }
}
