package org.hemlockrack.consensus.internal.file;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.consensus.disk.FaultyDisk;
import org.hemlockrack.consensus.disk.PowerLoss;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/**
 * A log store on a disk with faults, used as a replica does. After a fault the store is opened
 * anew, and has to read what it had acknowledged; then the call is repeated.
 */
final class StoreHistory {
    /** A part of a history. */
    interface Step {
        void run(StoreHistory history);
    }

    private static final long SEGMENT_BYTES = 4_096;
    private static final int CHUNK_BYTES = 2_000;
    private static final int MAX_TRIES = 200;
    private static final long NEVER = Long.MAX_VALUE;

    private final FaultyDisk mDisk;
    private final Path mFolder;
    private final SplittableRandom mRandom;
    private final PowerLoss mLoss;
    private final ExpectedStore mExpected = new ExpectedStore();
    private final Deque<FaultyDisk.Faults> mFaultsAfterLosses = new ArrayDeque<>();

    /** Whether an entry counts as durable before its sync; a broken variant. */
    private boolean mCountsUnsynced;

    /** Whether a process whose disk has refused an operation is killed. */
    private boolean mKillsAfterFailures;

    private long mKillAt = NEVER;
    private LogStore mStore;
    private int mLosses;
    private int mFailures;

    private StoreHistory(long seed, PowerLoss loss) {
        mRandom = new SplittableRandom(seed);
        mLoss = loss;
        mDisk = FaultyDisk.create(mRandom.split());
        mFolder = mDisk.path(Path.of("/disk")).resolve("data");
    }

    static StoreHistory create(long seed, PowerLoss loss) {
        return new StoreHistory(seed, loss);
    }

    FaultyDisk disk() {
        return mDisk;
    }

    ExpectedStore expected() {
        return mExpected;
    }

    int losses() {
        return mLosses;
    }

    int failures() {
        return mFailures;
    }

    void killAfterFailures() {
        mKillsAfterFailures = true;
    }

    void countUnsynced() {
        mCountsUnsynced = true;
    }

    void clearFaultsAfterLoss() {
        mFaultsAfterLosses.clear();
    }

    /** Adds faults that begin with the start after a loss of power. */
    void addFaultsAfterLoss(FaultyDisk.Faults faults) {
        mFaultsAfterLosses.add(faults);
    }

    /** Plays all steps on a disk with the faults that were set, and checks what is left. */
    void play(List<Step> steps) throws IOException {
        perform(StoreHistory::closeAndOpen);
        steps.forEach(this::perform);
        end();
    }

    void end() throws IOException {
        mDisk.setFaults(FaultyDisk.NONE);
        closeAndOpen();
        mStore.close();
        assertEquals(0, mDisk.openChannels(), "open files");
        requireOnlyFilesInUse();
        mDisk.losePower(PowerLoss.LOSES_ALL);
        start();
        mStore.close();
        assertEquals(0, mDisk.openChannels(), "open files");
    }

    private void requireOnlyFilesInUse() throws IOException {
        try (Stream<Path> files = Files.list(mFolder)) {
            List<String> others =
                    files.map(file -> file.getFileName().toString())
                            .filter(name -> name.matches(".*(tmp|part)"))
                            .toList();
            assertEquals(List.of(), others);
        }
    }

    /** Kills the process at an operation, and loses power as soon as the next one has started. */
    void killAt(long operationNumber) {
        mKillAt = operationNumber;
        mDisk.losePowerAt(operationNumber);
    }

    private void startAfterKill() {
        mKillAt = NEVER;
        mDisk.setFaults(FaultyDisk.NONE);
        killAndOpen();
        startAfterLossOfPower();
    }

    /** Runs a step until it succeeds. */
    void perform(Step step) {
        for (int i = 0; i < MAX_TRIES; i++) {
            try {
                step.run(this);
                return;
            } catch (FaultyDisk.PowerLostException e) {
                if (mKillAt == NEVER) {
                    startAfterLossOfPower();
                } else {
                    startAfterKill();
                }
            } catch (HemlockrackException e) {
                requireStorageFailed(e);
                resumeOrKill();
            }
        }
        throw new AssertionError("a step that never succeeds");
    }

    private void requireStorageFailed(HemlockrackException e) {
        mFailures++;
        if (e.kind() != ErrorKind.STORAGE_FAILED) {
            throw new AssertionError(e.kind() + " " + e.getMessage(), e);
        }
    }

    void startAfterLossOfPower() {
        for (int i = 0; i < MAX_TRIES; i++) {
            mLosses++;
            mDisk.losePower(mLoss);
            mStore = null;
            FaultyDisk.Faults next = mFaultsAfterLosses.poll();
            mDisk.setFaults(next == null ? FaultyDisk.NONE : next);
            try {
                startWhenPossible();
                return;
            } catch (FaultyDisk.PowerLostException e) {
                // Loses power again while it starts.
            }
        }
        throw new AssertionError("a start that never succeeds");
    }

    private void startWhenPossible() {
        for (int i = 0; i < MAX_TRIES; i++) {
            try {
                start();
                return;
            } catch (HemlockrackException e) {
                requireStorageFailed(e);
                closeStore();
            }
        }
        throw new AssertionError("a start that never succeeds");
    }

    private void open() {
        closeStore();
        mStore = FileLogStore.open(mFolder, mRandom, SEGMENT_BYTES);
        RecoveredState recovered = mStore.recovered();
        mExpected.requireReadBy(recovered);
        SnapshotMeta snapshot = recovered.snapshot();
        if (snapshot != null) {
            byte[] state = state(snapshot.index(), (int) snapshot.sizeBytes());
            assertArrayEquals(state, mStore.loadSnapshot());
        }
    }

    /** Starts a process as {@code ReplicaNode.start} does. */
    private void start() {
        open();
        mStore.sync();
        mExpected.started(mStore.recovered());
    }

    private void resumeOrKill() {
        try {
            if (mKillsAfterFailures) {
                killAndOpen();
            } else {
                resume();
            }
        } catch (FaultyDisk.PowerLostException e) {
            startAfterLossOfPower();
        }
    }

    /** Goes on in the process whose store has failed, as {@code ReplicaNode.resume} does. */
    private void resume() {
        for (int i = 0; i < MAX_TRIES; i++) {
            try {
                open();
                RecoveredState recovered = mStore.recovered();
                writeAgain(recovered);
                mExpected.started(recovered);
                return;
            } catch (HemlockrackException e) {
                requireStorageFailed(e);
            }
        }
        throw new AssertionError("a store that cannot be opened again");
    }

    private void writeAgain(RecoveredState recovered) {
        long durableIndex = mExpected.durableIndex();
        List<Entry> uncertain =
                recovered.entries().stream().filter(e -> e.index() > durableIndex).toList();
        if (!uncertain.isEmpty()) {
            mExpected.appends(uncertain);
            mStore.append(uncertain);
        }
        mExpected.savesHardState(recovered.hardState());
        mStore.saveHardState(recovered.hardState());
        mStore.sync();
    }

    private void closeStore() {
        LogStore store = mStore;
        mStore = null;
        if (store != null) {
            store.close();
        }
        assertEquals(0, mDisk.openChannels(), "open files");
    }

    /** Stops the process and starts it again. */
    void closeAndOpen() {
        startWhenPossible();
    }

    /** Kills the process and starts it again; what it has written can be read. */
    void killAndOpen() {
        mDisk.killProcess();
        mStore = null;
        startWhenPossible();
    }

    /** Appends entries; the first index is lower if the log was shortened by a fault. */
    void append(long from, long to, long term, int sizeBytes) {
        long first = Math.min(from, mExpected.lastIndex() + 1);
        List<Entry> entries = new ArrayList<>();
        for (long i = first; i <= to; i++) {
            entries.add(entry(i, term, sizeBytes));
        }
        if (entries.isEmpty()) {
            return;
        }
        mExpected.appends(entries);
        mStore.append(entries);
        if (mCountsUnsynced) {
            mExpected.synced();
        }
    }

    private static Entry entry(long index, long term, int sizeBytes) {
        byte[] data = new byte[sizeBytes];
        Arrays.fill(data, (byte) (31 * index + term));
        return new Entry(index, term, EntryKind.COMMAND, index, data);
    }

    void sync() {
        mStore.sync();
        mExpected.synced();
    }

    void vote(long term, long candidate) {
        HardState next = mExpected.hardState().inTerm(term, candidate);
        mExpected.savesHardState(next);
        mStore.saveHardState(next);
        mExpected.savedHardState(next);
    }

    /** Saves a snapshot of durable entries. A replica goes on without one that is refused. */
    void saveSnapshot(long lastIndex) {
        long index = Math.min(lastIndex, mExpected.durableIndex());
        if (index <= mExpected.snapshotIndex() || index < mExpected.committedIndex()) {
            return;
        }
        byte[] state = state(index, 100);
        SnapshotMeta meta = meta(index, mExpected.term(index), state);
        mExpected.savesSnapshot(meta);
        try {
            mStore.saveSnapshot(meta, state);
        } catch (HemlockrackException e) {
            requireStorageFailed(e);
            return;
        }
        mExpected.savedSnapshot(meta);
        mStore.compact(index - 1);
    }

    void installSnapshot(long index, long term, int sizeBytes) {
        if (index <= mExpected.snapshotIndex()) {
            return;
        }
        byte[] state = state(index, sizeBytes);
        SnapshotMeta meta = meta(index, term, state);
        for (int offset = 0; offset < sizeBytes; offset += CHUNK_BYTES) {
            int end = Math.min(sizeBytes, offset + CHUNK_BYTES);
            mStore.storeChunk(meta, offset, Arrays.copyOfRange(state, offset, end));
        }
        mExpected.installs(meta);
        assertTrue(mStore.installSnapshot(meta));
        mExpected.installed(meta);
    }

    private static byte[] state(long index, int sizeBytes) {
        byte[] state = new byte[sizeBytes];
        Arrays.fill(state, (byte) index);
        return state;
    }

    private static SnapshotMeta meta(long index, long term, byte[] state) {
        return new SnapshotMeta(
                index, term, index, Membership.NONE, state.length, RecordFormat.crc32c(state));
    }
}
