package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class ReplicaNodeTest {
    private static final InstanceId SELF = InstanceId.of("a");
    private static final byte STATE_ID = 1;
    private static final int SNAPSHOT_ENTRIES = 10_000;

    private final InMemoryLogStore.Disk mDisk = new InMemoryLogStore.Disk(Variant.CORRECT, 1);
    private final SplittableRandom mRandom = new SplittableRandom(1);
    private long mNowNanos = 1;

    /** A state whose commands have the replay cost of 50 cheap ones. */
    private static final class SlowState implements ReplicatedState {
        private int mApplied;

        @Override
        public byte[] apply(long index, long leaderTimeMillis, byte[] command) {
            mApplied++;
            return command;
        }

        @Override
        public int replayCost(byte[] command) {
            return 50;
        }

        @Override
        public byte[] snapshot() {
            return new byte[] {1};
        }

        @Override
        public void restore(byte[] snapshot) {}
    }

    /** Ignores all outputs. */
    private static final class NoOutputs implements NodeOutputs {
        @Override
        public void send(Packet packet) {}

        @Override
        public void proposalApplied(long ticket, long index, byte[] result) {}

        @Override
        public void proposalEnded(
                long ticket, ProposalStatus status, @Nullable InstanceId leader) {}

        @Override
        public void readReady(long ticket, long index) {}

        @Override
        public void readFailed(long ticket, @Nullable InstanceId leader) {}
    }

    private ReplicaNode open(SlowState state) {
        return open(state, SNAPSHOT_ENTRIES);
    }

    private ReplicaNode open(SlowState state, int snapshotEntries) {
        ReplicaNode node =
                ReplicaNode.start(
                        ConsensusSettings.of(SELF, List.of(SELF)),
                        new InMemoryLogStore(mDisk, mRandom),
                        CompositeState.of(Map.of(STATE_ID, state)),
                        snapshotEntries,
                        mRandom,
                        mNowNanos);
        mNowNanos += 10_000_000_000L;
        node.step(mNowNanos, List.of(), new NoOutputs());
        return node;
    }

    private void propose(ReplicaNode node, int count) {
        List<ConsensusEvent> events = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] command = CompositeState.encodeCommand(STATE_ID, new byte[1]);
            events.add(new ConsensusEvent.Propose(i, command, 0));
        }
        node.step(mNowNanos, events, new NoOutputs());
    }

    /** Guards against a restart that replays thousands of slow commands. */
    @Test
    void commandsThatAreSlowToReplayMakeASnapshotDueEarlier() {
        try (ReplicaNode node = open(new SlowState())) {
            propose(node, 199);
            assertNull(mDisk.mSnapshot);
            propose(node, 1);
            assertNotNull(mDisk.mSnapshot);
            long first = mDisk.mSnapshot.index();
            propose(node, 199);
            assertEquals(first, mDisk.mSnapshot.index());
        }
    }

    /** Guards against a replica that leaves its log because there is no room for a snapshot. */
    @Test
    void replicaGoesOnWithoutASnapshotThatCannotBeSaved() {
        try (ReplicaNode node = open(new SlowState())) {
            mDisk.mRefusesSnapshots = true;
            propose(node, 200);
            propose(node, 200);
            assertNull(mDisk.mSnapshot);
            assertEquals(Role.LEADER, node.consensus().role());
            mDisk.mRefusesSnapshots = false;
            propose(node, 1);
            assertNull(mDisk.mSnapshot);
            mNowNanos += 5_000_000_000L;
            propose(node, 1);
            assertNotNull(mDisk.mSnapshot);
        }
    }

    /**
     * Guards against a snapshot that includes later entries than it says, which a restart would
     * apply once more: a replica whose folder was replaced keeps its state and starts a new log.
     */
    @Test
    void noSnapshotIsSavedOfAStateThatIsAheadOfTheLog() {
        SlowState state = new SlowState();
        ReplicaNode failed = open(state, 60);
        propose(failed, 150);
        failed.close();
        mDisk.mDurableEntries = new ArrayList<>(mDisk.mDurableEntries.subList(0, 100));
        mDisk.mReadableEntries = mDisk.mDurableEntries;
        mDisk.mSnapshot = null;
        ReplicaNode node =
                ReplicaNode.resume(
                        ConsensusSettings.of(SELF, List.of(SELF)),
                        InMemoryLogStore.reopen(mDisk, mRandom),
                        failed,
                        mRandom,
                        mNowNanos);
        mNowNanos += 10_000_000_000L;
        node.step(mNowNanos, List.of(), new NoOutputs());
        for (int i = 0; i < 300 && mDisk.mSnapshot == null; i++) {
            propose(node, 1);
        }
        assertNotNull(mDisk.mSnapshot);
        assertTrue(mDisk.mSnapshot.index() > 150, "snapshot of " + mDisk.mSnapshot.index());
    }

    /** Guards against a replay cost that restarts reset, so that no snapshot is ever due. */
    @Test
    void commandsAppliedAgainAfterARestartCountForTheNextSnapshot() {
        try (ReplicaNode node = open(new SlowState())) {
            propose(node, 150);
        }
        SlowState state = new SlowState();
        try (ReplicaNode node = open(state)) {
            assertEquals(150, state.mApplied);
            propose(node, 49);
            assertNull(mDisk.mSnapshot);
            propose(node, 1);
            assertNotNull(mDisk.mSnapshot);
        }
    }
}
