package org.hemlockrack.consensus.internal.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Opens a log as a loss of power may leave it: each write after a sync present, missing or torn.
 */
class FileLogStorePowerLossTest {
    private static final int SYNCED_ENTRIES = 2;
    private static final int UNSYNCED_ENTRIES = 3;

    /** What is left of the bytes of three unsynced writes. */
    private enum Remains {
        FIRST_MISSING {
            @Override
            void apply(byte[] file, int[] ends) {
                Arrays.fill(file, ends[0], ends[1], (byte) 0);
            }
        },
        FIRST_HALF_OF_FIRST {
            @Override
            void apply(byte[] file, int[] ends) {
                Arrays.fill(file, (ends[0] + ends[1]) / 2, ends[1], (byte) 0);
            }
        },
        SECOND_HALF_OF_FIRST {
            @Override
            void apply(byte[] file, int[] ends) {
                Arrays.fill(file, ends[0], (ends[0] + ends[1]) / 2, (byte) 0);
            }
        },
        FIRST_HALF_OF_LAST {
            @Override
            void apply(byte[] file, int[] ends) {
                Arrays.fill(file, (ends[2] + ends[3]) / 2, ends[3], (byte) 0);
            }
        },
        SECOND_HALF_OF_LAST {
            @Override
            void apply(byte[] file, int[] ends) {
                Arrays.fill(file, ends[2], (ends[2] + ends[3]) / 2, (byte) 0);
            }
        },
        ALL_MISSING {
            @Override
            void apply(byte[] file, int[] ends) {
                Arrays.fill(file, ends[0], ends[3], (byte) 0);
            }
        };

        /**
         * Takes away what was lost.
         *
         * @param file the file as written
         * @param ends the size of the file at the sync and after each write
         */
        abstract void apply(byte[] file, int[] ends);
    }

    @TempDir Path mFolder;
    private final SplittableRandom mRandom = new SplittableRandom(1);

    private static Entry entry(long index) {
        byte[] data = new byte[200];
        Arrays.fill(data, (byte) (index + 1));
        return new Entry(index, 1, EntryKind.COMMAND, index, data);
    }

    private Path segment() {
        return mFolder.resolve(LogSegment.name(1));
    }

    private LogStore open() {
        return LogStore.open(mFolder, mRandom);
    }

    /** Writes entries of which the first ones are synced; returns the size after each write. */
    private int[] writeUnsyncedTail() throws IOException {
        int[] ends = new int[UNSYNCED_ENTRIES + 1];
        try (LogStore store = open()) {
            store.append(List.of(entry(1), entry(2)));
            store.sync();
            ends[0] = (int) Files.size(segment());
            for (int i = 1; i <= UNSYNCED_ENTRIES; i++) {
                store.append(List.of(entry(SYNCED_ENTRIES + i)));
                ends[i] = (int) Files.size(segment());
            }
        }
        return ends;
    }

    private void requireSyncedEntries(long replicaId) {
        try (LogStore store = open()) {
            assertEquals(replicaId, store.recovered().hardState().replicaId());
            List<Entry> read = store.recovered().entries();
            assertTrue(read.size() >= SYNCED_ENTRIES, "entries " + read.size());
            for (int i = 0; i < read.size(); i++) {
                assertEquals(i + 1, read.get(i).index());
                assertTrue(Arrays.equals(entry(i + 1).data(), read.get(i).data()));
            }
        }
    }

    private long replicaId() {
        try (LogStore store = open()) {
            return store.recovered().hardState().replicaId();
        }
    }

    /** Guards against writes torn by a loss of power that are taken for damage of the disk. */
    @ParameterizedTest
    @EnumSource(Remains.class)
    void unsyncedWritesAreCutOff(Remains remains) throws IOException {
        long id = replicaId();
        int[] ends = writeUnsyncedTail();
        byte[] file = Files.readAllBytes(segment());
        remains.apply(file, ends);
        Files.write(segment(), file);
        requireSyncedEntries(id);
        requireSyncedEntries(id);
    }

    /** Guards against the same for a single write that is kept up to, or from, any of its bytes. */
    @Test
    void aWriteTornAtAnyByteIsCutOff() throws IOException {
        long id = replicaId();
        int[] ends = writeUnsyncedTail();
        byte[] file = Files.readAllBytes(segment());
        for (int at = ends[0]; at <= ends[1]; at++) {
            byte[] prefix = file.clone();
            Arrays.fill(prefix, at, ends[1], (byte) 0);
            Files.write(segment(), prefix);
            requireSyncedEntries(id);
            byte[] suffix = file.clone();
            Arrays.fill(suffix, ends[0], at, (byte) 0);
            Files.write(segment(), suffix);
            requireSyncedEntries(id);
        }
    }

    private void requireDamaged(byte[] file) {
        HemlockrackException e =
                assertThrows(
                        HemlockrackException.class,
                        () -> SegmentContent.read(segment(), ByteBuffer.wrap(file), 1, true));
        assertEquals(ErrorKind.STORAGE_DAMAGED, e.kind());
    }

    /** Guards against damage of synced entries that is taken for a torn write behind them. */
    @ParameterizedTest
    @EnumSource(Remains.class)
    void everyFlippedByteOfSyncedEntriesIsRefused(Remains remains) throws IOException {
        int[] ends = writeUnsyncedTail();
        byte[] file = Files.readAllBytes(segment());
        remains.apply(file, ends);
        for (int at = 0; at < ends[0]; at++) {
            byte[] damaged = file.clone();
            damaged[at] ^= 0x41;
            requireDamaged(damaged);
        }
    }

    /** Writes four synced frames and takes their marks away; returns their offsets and the end. */
    private int[] writeFramesThatLostTheirMarks() throws IOException {
        int[] offsets = new int[5];
        try (LogStore store = open()) {
            for (int i = 0; i < 4; i++) {
                store.append(List.of(entry(i + 1)));
                store.sync();
                offsets[i + 1] = (int) Files.size(segment());
            }
        }
        offsets[0] = SegmentHeader.SIZE_BYTES;
        byte[] file = Files.readAllBytes(segment());
        for (int i = 0; i < 4; i++) {
            assertEquals(LogFrame.SYNCED, file[offsets[i]]);
            file[offsets[i]] = LogFrame.UNSYNCED;
        }
        Files.write(segment(), file);
        return offsets;
    }

    /** Guards against the same where a loss of power took the marks of the syncs too. */
    @Test
    void aLaterFrameProvesThatEntriesWereSynced() throws IOException {
        int[] offsets = writeFramesThatLostTheirMarks();
        byte[] file = Files.readAllBytes(segment());
        for (int at = 0; at < offsets[3]; at++) {
            byte[] damaged = file.clone();
            damaged[at] ^= 0x41;
            requireDamaged(damaged);
        }
        for (int at = offsets[0]; at < offsets[2]; at++) {
            byte[] damaged = file.clone();
            Arrays.fill(damaged, at, offsets[2] + 20, (byte) 0);
            requireDamaged(damaged);
        }
    }

    /** Guards against entries that could be read but were not synced, and are lost later. */
    @Test
    void unsyncedEntriesAreSyncedWhenTheyAreRead() throws IOException {
        int[] ends = writeUnsyncedTail();
        requireSyncedEntries(replicaId());
        byte[] file = Files.readAllBytes(segment());
        assertEquals(ends[3], file.length);
        assertEquals(LogFrame.SYNCED, file[ends[2]]);
    }

    /** Guards against data of an entry that is taken for a later frame, and so for a proof. */
    @Test
    void aFrameInsideAnEntryProvesNothing() throws IOException {
        long id = replicaId();
        int[] ends = writeUnsyncedTail();
        byte[] synced = Arrays.copyOf(Files.readAllBytes(segment()), ends[0]);
        byte[] frames = Arrays.copyOfRange(synced, SegmentHeader.SIZE_BYTES, ends[0]);
        try (LogStore store = open()) {
            store.append(List.of(new Entry(6, 1, EntryKind.COMMAND, 6, frames)));
        }
        byte[] file = Files.readAllBytes(segment());
        file[ends[3]] = LogFrame.UNSYNCED;
        file[ends[3] + LogFrame.HEADER_BYTES] ^= 0x41;
        Files.write(segment(), file);
        requireSyncedEntries(id);
    }

    private LogStore openSmallSegments() {
        return FileLogStore.open(mFolder, mRandom, 600);
    }

    private List<Path> segments() throws IOException {
        try (Stream<Path> files = Files.list(mFolder)) {
            return files.filter(file -> file.toString().endsWith(LogSegment.SUFFIX))
                    .sorted()
                    .toList();
        }
    }

    /** Guards against removed segments that come back and look like a gap in the log. */
    @Test
    void segmentsWhoseRemovalIsUndoneAreRemovedAgain() throws IOException {
        try (LogStore store = openSmallSegments()) {
            for (int i = 1; i <= 12; i++) {
                store.append(List.of(entry(i)));
            }
            store.sync();
        }
        List<Path> before = segments();
        Path last = before.get(before.size() - 1);
        byte[] removed = Files.readAllBytes(last);
        try (LogStore store = openSmallSegments()) {
            store.append(List.of(new Entry(2, 2, EntryKind.COMMAND, 2, new byte[10])));
            store.sync();
        }
        assertEquals(1, segments().size());
        Files.write(last, removed);
        try (LogStore store = openSmallSegments()) {
            List<Entry> read = store.recovered().entries();
            assertEquals(2, read.size());
            assertEquals(2, read.get(1).term());
        }
        assertEquals(1, segments().size());
    }

    /** Guards against compacted segments that come back, in part, and look like a gap. */
    @Test
    void compactedSegmentsThatComeBackAreCoveredByTheSnapshot() throws IOException {
        try (LogStore store = openSmallSegments()) {
            for (int i = 1; i <= 12; i++) {
                store.append(List.of(entry(i)));
            }
            store.sync();
        }
        Path first = segments().get(0);
        byte[] removed = Files.readAllBytes(first);
        SnapshotMeta meta = new SnapshotMeta(10, 1, 10, Membership.NONE, 0, 0);
        try (LogStore store = openSmallSegments()) {
            store.saveSnapshot(meta, new byte[0]);
            store.compact(10);
        }
        Files.write(first, removed);
        try (LogStore store = openSmallSegments()) {
            List<Entry> read = store.recovered().entries();
            assertTrue(read.get(0).index() > 1);
            assertEquals(12, read.get(read.size() - 1).index());
        }
    }

    private void requireLastTerm(long index, long term) {
        try (LogStore store = open()) {
            List<Entry> read = store.recovered().entries();
            assertEquals(index, read.get(read.size() - 1).index());
            assertEquals(term, read.get(read.size() - 1).term());
        }
    }

    /** Guards against entries that are lost or mixed when a write that replaces them is torn. */
    @Test
    void aTornWriteLeavesTheEntriesThatItWasToReplace() throws IOException {
        try (LogStore store = open()) {
            store.append(List.of(entry(1), entry(2), entry(3), entry(4)));
            store.sync();
        }
        int end = (int) Files.size(segment());
        try (LogStore store = open()) {
            store.append(List.of(new Entry(3, 2, EntryKind.COMMAND, 3, new byte[100])));
        }
        byte[] whole = Files.readAllBytes(segment());
        for (int length = end; length < whole.length; length++) {
            Files.write(segment(), Arrays.copyOf(whole, length));
            requireLastTerm(4, 1);
        }
        Files.write(segment(), whole);
        requireLastTerm(3, 2);
    }
}
