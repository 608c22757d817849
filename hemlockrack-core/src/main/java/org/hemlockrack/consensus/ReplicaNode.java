package org.hemlockrack.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32C;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/**
 * Drives one replica: executes the outputs of {@link Consensus} on the log store and the replicated
 * state. The owner provides thread, clock and transport: it collects events, calls {@link #step}
 * and waits for the next event or {@link #nextTimerNanos()}. All proposals of one step share one
 * sync.
 */
public final class ReplicaNode implements AutoCloseable {
    /** A running snapshot transfer delays a new snapshot to this multiple of the interval. */
    private static final int TRANSFER_DELAY_FACTOR = 4;

    /** Time between a snapshot that could not be saved and the next one. */
    private static final long SNAPSHOT_RETRY_NANOS = 5_000_000_000L;

    private final Consensus mConsensus;
    private final LogStore mStore;
    private final ReplicatedState mState;
    private final long mSnapshotEntries;
    private final List<Packet> mPacketsAwaitingSync = new ArrayList<>();
    private final ArrayDeque<ConsensusEvent> mFollowUpEvents = new ArrayDeque<>();
    private long mSnapshotIndex;
    private long mReplayCost;
    private long mSnapshotBytes;

    /** Size of the commands that were applied since the last snapshot. */
    private long mAppliedBytes;

    /** The last entry that the state includes. */
    private long mAppliedIndex;

    /** The last entry of the log that a sync has made durable. */
    private long mDurableIndex;

    private boolean mSyncNeeded;
    private boolean mSnapshotFailed;

    /** When the last snapshot failed; valid if {@link #mSnapshotFailed}. */
    private long mSnapshotFailureNanos;

    private ReplicaNode(
            Consensus consensus, LogStore store, ReplicatedState state, long snapshotEntries) {
        mConsensus = consensus;
        mStore = store;
        mState = state;
        mSnapshotEntries = snapshotEntries;
    }

    /**
     * Starts a replica and restores its state from the newest snapshot. Later entries in the log
     * are applied once they are known to be committed.
     *
     * @param settings the settings
     * @param store the store; this node closes it
     * @param state the state, newly created
     * @param snapshotEntries committed entries between snapshots; fewer if the sum of their {@link
     *     ReplicatedState#replayCost} reaches this number earlier
     * @param random source for election timeouts
     * @param nowNanos monotonic time
     * @return the node
     */
    public static ReplicaNode start(
            ConsensusSettings settings,
            LogStore store,
            ReplicatedState state,
            long snapshotEntries,
            RandomGenerator random,
            long nowNanos) {
        RecoveredState recovered = store.recovered();
        Consensus consensus = Consensus.create(settings, recovered, random, nowNanos);
        ReplicaNode node = new ReplicaNode(consensus, store, state, snapshotEntries);
        SnapshotMeta snapshot = recovered.snapshot();
        if (snapshot != null) {
            state.restore(store.loadSnapshot());
            node.mSnapshotIndex = snapshot.index();
            node.mSnapshotBytes = snapshot.sizeBytes();
            node.mAppliedIndex = snapshot.index();
        }
        // Entries that a killed process wrote and did not sync can be read, but are not durable.
        store.sync();
        node.mDurableIndex = consensus.lastIndex();
        return node;
    }

    /**
     * Starts a replica anew after its store has failed, with the state that it had. The entries
     * that were not synced are written once more, because after a failed sync it is unknown which
     * of them are durable, although they can be read.
     *
     * @param settings the settings
     * @param store the store, opened anew; the new node closes it
     * @param failed the node whose store has failed; closed
     * @param random source for election timeouts
     * @param nowNanos monotonic time
     * @return the node
     * @throws org.hemlockrack.errors.HemlockrackException if the store still fails; the caller then
     *     closes it
     */
    public static ReplicaNode resume(
            ConsensusSettings settings,
            LogStore store,
            ReplicaNode failed,
            RandomGenerator random,
            long nowNanos) {
        RecoveredState recovered = store.recovered();
        List<Entry> uncertain = new ArrayList<>();
        for (Entry entry : recovered.entries()) {
            if (entry.index() > failed.mDurableIndex) {
                uncertain.add(entry);
            }
        }
        if (!uncertain.isEmpty()) {
            store.append(uncertain);
        }
        store.saveHardState(recovered.hardState());
        store.sync();
        Consensus consensus = Consensus.create(settings, recovered, random, nowNanos);
        ReplicaNode node =
                new ReplicaNode(consensus, store, failed.mState, failed.mSnapshotEntries);
        SnapshotMeta snapshot = recovered.snapshot();
        node.mSnapshotIndex = snapshot == null ? 0 : snapshot.index();
        node.mSnapshotBytes = snapshot == null ? 0 : snapshot.sizeBytes();
        node.mAppliedIndex = failed.mAppliedIndex;
        node.mDurableIndex = consensus.lastIndex();
        if (node.mAppliedIndex < node.mSnapshotIndex) {
            node.restoreState(snapshot);
        }
        return node;
    }

    /** Returns the id of the replica. */
    public long replicaId() {
        return mStore.recovered().hardState().replicaId();
    }

    /** Returns the Raft state machine for queries; only this node may pass events to it. */
    public Consensus consensus() {
        return mConsensus;
    }

    /** Returns when {@link #step} must be called next even without events. */
    public long nextTimerNanos() {
        return mConsensus.nextTimerNanos();
    }

    /**
     * Handles a batch of events and due timers. A leader's new entries are sent before they are
     * synced, so that all replicas sync at the same time; packets that follow unsynced entries in
     * the outputs are sent after the sync.
     *
     * @param nowNanos monotonic time
     * @param events events in the order of their arrival
     * @param outputs receives packets and results
     */
    public void step(long nowNanos, List<ConsensusEvent> events, NodeOutputs outputs) {
        for (ConsensusEvent event : events) {
            handle(nowNanos, event, outputs);
        }
        mConsensus.onTimer(nowNanos, output -> execute(output, outputs));
        handle(nowNanos, new ConsensusEvent.Flush(), outputs);
        while (mSyncNeeded) {
            mStore.sync();
            mSyncNeeded = false;
            mDurableIndex = mConsensus.lastIndex();
            sendHeldPackets(outputs);
            handle(nowNanos, persistedEvent(), outputs);
            handle(nowNanos, new ConsensusEvent.Flush(), outputs);
        }
        saveSnapshotIfDue(nowNanos, outputs);
    }

    private ConsensusEvent persistedEvent() {
        return new ConsensusEvent.Persisted(mConsensus.lastIndex(), mConsensus.lastTerm());
    }

    private void handle(long nowNanos, ConsensusEvent event, NodeOutputs outputs) {
        mConsensus.onEvent(nowNanos, event, output -> execute(output, outputs));
        while (!mFollowUpEvents.isEmpty()) {
            ConsensusEvent next = mFollowUpEvents.poll();
            mConsensus.onEvent(nowNanos, next, output -> execute(output, outputs));
        }
    }

    private void sendHeldPackets(NodeOutputs outputs) {
        mPacketsAwaitingSync.forEach(outputs::send);
        mPacketsAwaitingSync.clear();
    }

    private void execute(ConsensusOutput output, NodeOutputs outputs) {
        if (output instanceof ConsensusOutput.Send send) {
            send(send.packet(), outputs);
        } else if (output instanceof ConsensusOutput.PersistEntries persist) {
            mDurableIndex = Math.min(mDurableIndex, persist.entries().get(0).index() - 1);
            mStore.append(persist.entries());
            mSyncNeeded = true;
        } else if (output instanceof ConsensusOutput.PersistHardState persist) {
            mStore.saveHardState(persist.hardState());
        } else if (output instanceof ConsensusOutput.Apply apply) {
            apply(apply, outputs);
        } else if (output instanceof ConsensusOutput.ProposalEnded end) {
            outputs.proposalEnded(end.ticket(), end.status(), end.leader());
        } else if (output instanceof ConsensusOutput.ReadReady ready) {
            outputs.readReady(ready.ticket(), ready.index());
        } else if (output instanceof ConsensusOutput.ReadFailed failed) {
            outputs.readFailed(failed.ticket(), failed.leader());
        } else if (output instanceof ConsensusOutput.RoleChanged changed) {
            outputs.roleChanged(changed.role(), changed.term(), changed.leader());
        } else if (output instanceof ConsensusOutput.Compact compact) {
            mStore.compact(compact.firstIndex());
        } else {
            executeSnapshotOutput(output, outputs);
        }
    }

    private void executeSnapshotOutput(ConsensusOutput output, NodeOutputs outputs) {
        if (output instanceof ConsensusOutput.SendSnapshotChunk send) {
            send(withChunkData(send), outputs);
        } else if (output instanceof ConsensusOutput.StoreChunk chunk) {
            mStore.storeChunk(chunk.meta(), chunk.offset(), chunk.data());
        } else if (output instanceof ConsensusOutput.InstallSnapshot install) {
            installSnapshot(install.meta());
        }
    }

    private void send(Packet packet, NodeOutputs outputs) {
        if (mSyncNeeded) {
            mPacketsAwaitingSync.add(packet);
        } else {
            outputs.send(packet);
        }
    }

    private Packet withChunkData(ConsensusOutput.SendSnapshotChunk send) {
        Packet packet = send.packet();
        Message.SnapshotChunk chunk = (Message.SnapshotChunk) packet.body();
        byte[] data = mStore.readSnapshot(chunk.offset(), send.maxBytes());
        Message body = new Message.SnapshotChunk(chunk.meta(), chunk.offset(), chunk.round(), data);
        return new Packet(packet.from(), packet.to(), packet.clusterId(), packet.term(), body);
    }

    private void apply(ConsensusOutput.Apply apply, NodeOutputs outputs) {
        if (apply.index() <= mAppliedIndex) {
            // Applied before the store failed.
            return;
        }
        byte[] result = mState.apply(apply.index(), apply.leaderTimeMillis(), apply.command());
        mAppliedIndex = apply.index();
        mReplayCost += mState.replayCost(apply.command());
        mAppliedBytes += apply.command().length;
        if (apply.ticket().isPresent()) {
            outputs.proposalApplied(apply.ticket().getAsLong(), apply.index(), result);
        }
    }

    private void installSnapshot(SnapshotMeta meta) {
        boolean valid = mStore.installSnapshot(meta);
        if (valid) {
            mDurableIndex = meta.index();
            if (meta.index() > mAppliedIndex) {
                restoreState(meta);
            }
            recordSnapshot(meta);
        }
        mFollowUpEvents.add(new ConsensusEvent.SnapshotInstalled(meta, valid));
    }

    private void restoreState(SnapshotMeta snapshot) {
        mState.restore(mStore.loadSnapshot());
        mAppliedIndex = snapshot.index();
    }

    private void saveSnapshotIfDue(long nowNanos, NodeOutputs outputs) {
        long cost = Math.max(mReplayCost, mConsensus.commitIndex() - mSnapshotIndex);
        if (cost < mSnapshotEntries || isStateAheadOfLog() || isDelayedByTransfer(cost)) {
            return;
        }
        if (mSnapshotFailed && nowNanos - mSnapshotFailureNanos < SNAPSHOT_RETRY_NANOS) {
            return;
        }
        byte[] state = mState.snapshot();
        SnapshotMeta meta = mConsensus.describeSnapshot(state.length, checksum(state));
        try {
            mStore.saveSnapshot(meta, state);
        } catch (HemlockrackException e) {
            if (e.kind() != ErrorKind.STORAGE_FAILED) {
                throw e;
            }
            // The log goes on without it: a disk may have room for entries, not for a snapshot.
            mSnapshotFailed = true;
            mSnapshotFailureNanos = nowNanos;
            outputs.snapshotFailed(e);
            return;
        }
        recordSnapshot(meta);
        handle(nowNanos, new ConsensusEvent.SnapshotSaved(meta), outputs);
    }

    /**
     * Returns whether a snapshot waits for the transfer of the last one, which would begin anew. A
     * log that grows by more than the snapshot meanwhile would not be caught up with either, so the
     * delay ends there.
     */
    private boolean isDelayedByTransfer(long cost) {
        return mConsensus.isSendingSnapshot()
                && (cost < TRANSFER_DELAY_FACTOR * mSnapshotEntries
                        || mAppliedBytes < mSnapshotBytes);
    }

    /**
     * Returns whether the state includes entries that the log does not know to be committed, after
     * the store has failed. A snapshot of it would be of later entries than its index says.
     */
    private boolean isStateAheadOfLog() {
        return mAppliedIndex > mConsensus.commitIndex();
    }

    private void recordSnapshot(SnapshotMeta meta) {
        mSnapshotFailed = false;
        mSnapshotIndex = meta.index();
        mSnapshotBytes = meta.sizeBytes();
        mReplayCost = 0;
        mAppliedBytes = 0;
    }

    private static int checksum(byte[] state) {
        CRC32C crc = new CRC32C();
        crc.update(state, 0, state.length);
        return (int) crc.getValue();
    }

    @Override
    public void close() {
        mStore.close();
    }
}
