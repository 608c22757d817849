package org.hemlockrack.consensus.internal.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
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
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays a history of a log store that meets a fault of the disk at each of its operations. */
class FileLogStoreFaultsTest {
    private static final int LARGE_ENTRY_BYTES = 800;
    private static final int SEGMENT_BYTES = 4_096;
    private static final int MAX_OPENINGS = 50;
    private static final Path FOLDER = Path.of("/data");

    /** One call of the history, and what it makes durable. */
    private interface Call {
        void run(LogStore store, Expected expected);
    }

    /** What has to be read back: what has succeeded, and the call that may have. */
    private static final class Expected {
        private long mReplicaId;
        private HardState mHardState = HardState.fresh(1);
        private List<Entry> mDurable = new ArrayList<>();
        private SnapshotMeta mSnapshot;

        /** First index that the call may replace or drop. */
        private long mFirstUncertain = Long.MAX_VALUE;

        private HardState mNextHardState = mHardState;
        private SnapshotMeta mNextSnapshot;

        void requireReadBy(RecoveredState recovered) {
            HardState hardState = recovered.hardState();
            assertEquals(mReplicaId, hardState.replicaId());
            assertTrue(hardState.equals(mHardState) || hardState.equals(mNextHardState));
            SnapshotMeta snapshot = recovered.snapshot();
            boolean isNext = snapshot != null && snapshot.equals(mNextSnapshot);
            assertTrue(
                    isNext || (snapshot == null ? mSnapshot == null : snapshot.equals(mSnapshot)));
            long covered = snapshot == null ? 0 : snapshot.index();
            for (Entry entry : mDurable) {
                if (entry.index() > covered && entry.index() < mFirstUncertain) {
                    assertTrue(contains(recovered, entry), "entry " + entry.index());
                }
            }
        }

        private static boolean contains(RecoveredState recovered, Entry entry) {
            return recovered.entries().stream()
                    .anyMatch(
                            read ->
                                    read.index() == entry.index()
                                            && read.term() == entry.term()
                                            && Arrays.equals(read.data(), entry.data()));
        }
    }

    private final SplittableRandom mRandom = new SplittableRandom(1);

    private static List<Entry> entries(long from, long to, long term, int sizeBytes) {
        List<Entry> entries = new ArrayList<>();
        for (long i = from; i <= to; i++) {
            entries.add(new Entry(i, term, EntryKind.COMMAND, i, new byte[sizeBytes]));
        }
        return entries;
    }

    private static Call write(long from, long to, long term, int sizeBytes) {
        return (store, expected) -> {
            List<Entry> entries = entries(from, to, term, sizeBytes);
            expected.mFirstUncertain = from;
            store.append(entries);
            store.sync();
            expected.mDurable.removeIf(entry -> entry.index() >= from);
            expected.mDurable.addAll(entries);
            expected.mFirstUncertain = Long.MAX_VALUE;
        };
    }

    private static Call vote(long term, long candidate) {
        return (store, expected) -> {
            HardState next = expected.mHardState.inTerm(term, candidate);
            expected.mNextHardState = next;
            store.saveHardState(next);
            expected.mHardState = next;
        };
    }

    private static Call snapshot(long index, long term) {
        return (store, expected) -> {
            byte[] state = new byte[100];
            SnapshotMeta meta =
                    new SnapshotMeta(
                            index,
                            term,
                            index,
                            Membership.NONE,
                            state.length,
                            RecordFormat.crc32c(state));
            expected.mNextSnapshot = meta;
            store.saveSnapshot(meta, state);
            expected.mSnapshot = meta;
            store.compact(index - 1);
        };
    }

    private static Call install(long index, long term) {
        return (store, expected) -> {
            byte[] state = new byte[3_000];
            SnapshotMeta meta =
                    new SnapshotMeta(
                            index,
                            term,
                            index,
                            Membership.NONE,
                            state.length,
                            RecordFormat.crc32c(state));
            store.storeChunk(meta, 0, new byte[2_000]);
            store.storeChunk(meta, 2_000, new byte[1_000]);
            expected.mNextSnapshot = meta;
            assertTrue(store.installSnapshot(meta));
            expected.mSnapshot = meta;
            expected.mDurable = new ArrayList<>();
        };
    }

    /** Has appends that replace entries, several segments, both kinds of snapshots and votes. */
    private static List<Call> history() {
        return List.of(
                vote(1, 7),
                write(1, 3, 1, 20),
                write(4, 6, 1, 20),
                vote(2, 0),
                write(5, 7, 2, 20),
                snapshot(4, 1),
                write(8, 14, 2, LARGE_ENTRY_BYTES),
                write(15, 16, 2, 20),
                write(12, 13, 3, 20),
                write(14, 16, 3, LARGE_ENTRY_BYTES),
                write(17, 24, 3, LARGE_ENTRY_BYTES),
                snapshot(16, 3),
                vote(4, 9),
                install(100, 4),
                write(101, 103, 4, 20),
                write(102, 102, 5, 20),
                write(103, 107, 5, LARGE_ENTRY_BYTES),
                write(108, 108, 5, 20));
    }

    private LogStore open(Path folder) {
        return FileLogStore.open(folder, mRandom, SEGMENT_BYTES);
    }

    /** Opens the store again until that succeeds. */
    private LogStore reopen(Path folder, Expected expected) {
        HemlockrackException last = null;
        for (int i = 0; i < MAX_OPENINGS; i++) {
            try {
                LogStore store = open(folder);
                expected.requireReadBy(store.recovered());
                return store;
            } catch (HemlockrackException e) {
                assertEquals(ErrorKind.STORAGE_FAILED, e.kind());
                last = e;
            }
        }
        throw last;
    }

    /** Plays the history; a call that fails is repeated on a store that is opened anew. */
    private void play(FaultyDisk disk, FaultyDisk.Faults faults) throws IOException {
        Path folder = disk.path(FOLDER);
        Expected expected = new Expected();
        LogStore store = open(folder);
        expected.mHardState = store.recovered().hardState();
        expected.mNextHardState = expected.mHardState;
        expected.mReplicaId = expected.mHardState.replicaId();
        disk.setFaults(faults);
        int failures = 0;
        for (Call call : history()) {
            boolean done = false;
            while (!done) {
                try {
                    call.run(store, expected);
                    done = true;
                } catch (HemlockrackException e) {
                    assertEquals(ErrorKind.STORAGE_FAILED, e.kind());
                    assertTrue(failures++ < MAX_OPENINGS);
                    store.close();
                    store = reopen(folder, expected);
                }
            }
        }
        disk.setFaults(FaultyDisk.NONE);
        store.close();
        assertEquals(0, disk.openChannels());
        try (LogStore last = open(folder)) {
            expected.requireReadBy(last.recovered());
            List<Entry> read = last.recovered().entries();
            assertEquals(108, read.get(read.size() - 1).index());
        }
        requireOnlyFilesInUse(folder);
        requireThatTheLossOfTheNewestSegmentIsNoticed(folder);
    }

    private void requireThatTheLossOfTheNewestSegmentIsNoticed(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            Path newest =
                    files.filter(file -> file.toString().endsWith(LogSegment.SUFFIX))
                            .max(Comparator.naturalOrder())
                            .orElseThrow();
            Files.delete(newest);
        }
        HemlockrackException e =
                assertThrows(HemlockrackException.class, () -> open(folder).close());
        assertEquals(ErrorKind.STORAGE_DAMAGED, e.kind());
    }

    /**
     * Guards against a snapshot that could not be saved and spoils the store, or keeps the space of
     * what was written of it.
     */
    @Test
    void aRefusedSnapshotLeavesTheStoreAsItWas() throws IOException {
        FaultyDisk disk = FaultyDisk.create();
        Path folder = disk.path(FOLDER);
        disk.setTornSixteenths(8);
        Expected expected = new Expected();
        try (LogStore store = open(folder)) {
            expected.mHardState = store.recovered().hardState();
            expected.mReplicaId = expected.mHardState.replicaId();
            write(1, 9, 1, 20).run(store, expected);
            snapshot(4, 1).run(store, expected);
            int refusedCount = 0;
            for (long at = 0; refusedCount == at; at++) {
                long refused = at;
                disk.setFaults((operation, number) -> number == refused);
                try {
                    snapshot(8, 1).run(store, expected);
                } catch (HemlockrackException e) {
                    refusedCount++;
                    write(9 + refusedCount, 9 + refusedCount, 1, 20).run(store, expected);
                    assertEquals(100, store.loadSnapshot().length);
                }
                disk.setFaults(FaultyDisk.NONE);
                requireOnlyFilesInUse(folder);
            }
            assertTrue(refusedCount >= 5, "refused " + refusedCount);
        }
        disk.setFaults(FaultyDisk.NONE);
        try (LogStore store = open(folder)) {
            expected.requireReadBy(store.recovered());
        }
    }

    /** Guards against files that a killed process left behind and that keep their space. */
    @Test
    void filesThatWereNotWrittenToTheirEndAreRemoved() throws IOException {
        Path folder = FaultyDisk.create().path(FOLDER);
        open(folder).close();
        Files.write(folder.resolve("snapshot-00000000000000000004.snap.tmp"), new byte[100]);
        Files.write(folder.resolve("meta.tmp"), new byte[100]);
        Path foreign = Files.write(folder.resolve("notes.tmp"), new byte[1]);
        open(folder).close();
        assertTrue(Files.exists(foreign));
        Files.delete(foreign);
        requireOnlyFilesInUse(folder);
    }

    private static void requireOnlyFilesInUse(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<String> others =
                    files.map(file -> file.getFileName().toString())
                            .filter(name -> !name.matches("lock|meta|log-.*seg|snapshot-.*snap"))
                            .toList();
            assertEquals(List.of(), others);
        }
    }

    private long operationsOfHistory() throws IOException {
        FaultyDisk disk = FaultyDisk.create();
        long[] last = new long[1];
        play(
                disk,
                (operation, number) -> {
                    last[0] = Math.max(last[0], number + 1);
                    return false;
                });
        return last[0];
    }

    /**
     * Guards against a replica that does not return, forgets what it has acknowledged, or takes a
     * new id after its disk refused operations, from any of them on, once or for some time.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 30})
    void nothingIsLostByRefusedOperations(int refusedCount) throws IOException {
        long operations = operationsOfHistory();
        int plays = 0;
        for (int torn = 0; torn <= 8; torn += 8) {
            for (long at = 0; at < operations; at++) {
                long first = at;
                FaultyDisk disk = FaultyDisk.create();
                disk.setTornSixteenths(torn);
                play(disk, (operation, number) -> number >= first && number < first + refusedCount);
                plays++;
            }
        }
        System.out.printf("refused=%d operations=%d plays=%d%n", refusedCount, operations, plays);
    }

    /** Guards against the same with a full disk, which refuses only what needs space. */
    @Test
    void nothingIsLostByAFullDisk() throws IOException {
        long operations = operationsOfHistory();
        for (int torn = 0; torn <= 16; torn += 8) {
            for (long at = 0; at < operations; at++) {
                long first = at;
                FaultyDisk disk = FaultyDisk.create();
                disk.setTornSixteenths(torn);
                play(
                        disk,
                        (operation, number) ->
                                operation.needsSpace() && number >= first && number < first + 40);
            }
        }
    }
}
