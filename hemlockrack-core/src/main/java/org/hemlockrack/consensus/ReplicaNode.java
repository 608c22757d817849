package org.hemlockrack.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32C;

/**
 * Joins decider, store and state of one replica. The owner adds a thread, a clock and a transport:
 * it collects events, calls {@link #step} and waits until an event arrives or {@link
 * #nextTimerNanos()}. All proposals of one step share one sync.
 */
public final class ReplicaNode implements AutoCloseable {
    /** Factor of the snapshot interval up to which a running transfer delays a new snapshot. */
    private static final int TRANSFER_PATIENCE = 4;

    private final Consensus mConsensus;
    private final LogStore mStore;
    private final ReplicatedState mState;
    private final long mSnapshotEntries;
    private final List<Packet> mHeld = new ArrayList<>();
    private final ArrayDeque<ConsensusEvent> mFollowUps = new ArrayDeque<>();
    private long mSnapshotIndex;
    private long mReplayCost;
    private boolean mDirty;

    private ReplicaNode(
            Consensus consensus, LogStore store, ReplicatedState state, long snapshotEntries) {
        mConsensus = consensus;
        mStore = store;
        mState = state;
        mSnapshotEntries = snapshotEntries;
    }

    /**
     * Starts a replica and restores its state from the newest snapshot. Later entries are applied
     * once a leader says that they are committed.
     *
     * @param settings the settings
     * @param store the store; this node closes it
     * @param state the state, as created
     * @param snapshotEntries committed entries between snapshots, fewer if their {@link
     *     ReplicatedState#replayCost} adds up to this number earlier
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
        }
        return node;
    }

    /** Returns the decider, for its queries; only this node passes events to it. */
    public Consensus consensus() {
        return mConsensus;
    }

    /** Returns when {@link #step} must be called next even without events. */
    public long nextTimerNanos() {
        return mConsensus.nextTimerNanos();
    }

    /**
     * Handles a batch of events and due timers. Sends of a leader's new entries leave before the
     * sync, all others after it.
     *
     * @param nowNanos monotonic time
     * @param events events in the order of their arrival
     * @param outputs receives packets and results
     */
    public void step(long nowNanos, List<ConsensusEvent> events, NodeOutputs outputs) {
        for (ConsensusEvent event : events) {
            handle(nowNanos, event, outputs);
        }
        mConsensus.onTimer(nowNanos, output -> carryOut(output, outputs));
        handle(nowNanos, new ConsensusEvent.Flush(), outputs);
        while (mDirty) {
            mStore.sync();
            mDirty = false;
            release(outputs);
            handle(nowNanos, persisted(), outputs);
            handle(nowNanos, new ConsensusEvent.Flush(), outputs);
        }
        saveSnapshotIfDue(nowNanos, outputs);
    }

    private ConsensusEvent persisted() {
        return new ConsensusEvent.Persisted(mConsensus.lastIndex(), mConsensus.lastTerm());
    }

    private void handle(long nowNanos, ConsensusEvent event, NodeOutputs outputs) {
        mConsensus.onEvent(nowNanos, event, output -> carryOut(output, outputs));
        while (!mFollowUps.isEmpty()) {
            ConsensusEvent next = mFollowUps.poll();
            mConsensus.onEvent(nowNanos, next, output -> carryOut(output, outputs));
        }
    }

    private void release(NodeOutputs outputs) {
        mHeld.forEach(outputs::send);
        mHeld.clear();
    }

    private void carryOut(ConsensusOutput output, NodeOutputs outputs) {
        if (output instanceof ConsensusOutput.Send send) {
            send(send.packet(), outputs);
        } else if (output instanceof ConsensusOutput.PersistEntries persist) {
            mStore.append(persist.entries());
            mDirty = true;
        } else if (output instanceof ConsensusOutput.PersistHardState persist) {
            mStore.saveHardState(persist.meta());
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
            carryOutSnapshot(output, outputs);
        }
    }

    private void carryOutSnapshot(ConsensusOutput output, NodeOutputs outputs) {
        if (output instanceof ConsensusOutput.SendSnapshotChunk send) {
            send(filled(send), outputs);
        } else if (output instanceof ConsensusOutput.StoreChunk chunk) {
            mStore.storeChunk(chunk.meta(), chunk.offset(), chunk.data());
        } else if (output instanceof ConsensusOutput.InstallSnapshot install) {
            install(install.meta());
        }
    }

    private void send(Packet packet, NodeOutputs outputs) {
        if (mDirty) {
            mHeld.add(packet);
        } else {
            outputs.send(packet);
        }
    }

    private Packet filled(ConsensusOutput.SendSnapshotChunk send) {
        Packet packet = send.packet();
        Message.SnapshotChunk chunk = (Message.SnapshotChunk) packet.body();
        byte[] data = mStore.readSnapshot(chunk.offset(), send.maxBytes());
        Message body = new Message.SnapshotChunk(chunk.meta(), chunk.offset(), chunk.round(), data);
        return new Packet(packet.from(), packet.to(), packet.clusterId(), packet.term(), body);
    }

    private void apply(ConsensusOutput.Apply apply, NodeOutputs outputs) {
        byte[] result = mState.apply(apply.index(), apply.leaderTimeMillis(), apply.command());
        mReplayCost += mState.replayCost(apply.command());
        if (apply.ticket().isPresent()) {
            outputs.proposalApplied(apply.ticket().getAsLong(), apply.index(), result);
        }
    }

    private void install(SnapshotMeta meta) {
        boolean valid = mStore.installSnapshot(meta);
        if (valid) {
            mState.restore(mStore.loadSnapshot());
            snapshotAt(meta);
        }
        mFollowUps.add(new ConsensusEvent.SnapshotInstalled(meta, valid));
    }

    private void saveSnapshotIfDue(long nowNanos, NodeOutputs outputs) {
        long cost = Math.max(mReplayCost, mConsensus.commitIndex() - mSnapshotIndex);
        long patience = mConsensus.sendingSnapshot() ? TRANSFER_PATIENCE : 1;
        if (cost < patience * mSnapshotEntries) {
            return;
        }
        byte[] state = mState.snapshot();
        SnapshotMeta meta = mConsensus.describeSnapshot(state.length, checksum(state));
        mStore.saveSnapshot(meta, state);
        snapshotAt(meta);
        handle(nowNanos, new ConsensusEvent.SnapshotSaved(meta), outputs);
    }

    private void snapshotAt(SnapshotMeta meta) {
        mSnapshotIndex = meta.index();
        mReplayCost = 0;
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
