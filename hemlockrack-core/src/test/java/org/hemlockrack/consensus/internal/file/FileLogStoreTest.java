package org.hemlockrack.consensus.internal.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FileLogStoreTest {
    private final SplittableRandom mRandom = new SplittableRandom(1);
    @TempDir Path mFolder;

    private static List<Entry> entries(long from, long to, int sizeBytes) {
        List<Entry> entries = new ArrayList<>();
        for (long i = from; i <= to; i++) {
            entries.add(new Entry(i, 1, EntryKind.COMMAND, i, new byte[sizeBytes]));
        }
        return entries;
    }

    private LogStore open() {
        return LogStore.open(mFolder, mRandom);
    }

    private long write(int count, int sizeBytes) {
        try (LogStore store = open()) {
            store.append(entries(1, count, sizeBytes));
            store.sync();
            store.saveHardState(store.recovered().hardState().inTerm(5, 9));
            return store.recovered().hardState().replicaId();
        }
    }

    private Path segment() {
        return mFolder.resolve(LogSegment.name(1));
    }

    private void assertDamaged() {
        HemlockrackException e = assertThrows(HemlockrackException.class, this::open);
        assertEquals(ErrorKind.STORAGE_DAMAGED, e.kind());
    }

    /** Guards against a data folder that cannot be opened after a crash during a write. */
    @Test
    void everyTornTailIsCutToAPrefix() throws IOException {
        long id;
        try (LogStore store = open()) {
            store.append(entries(1, 1, 20));
            store.sync();
            for (int i = 2; i <= 6; i++) {
                store.append(entries(i, i, 20));
            }
            store.saveHardState(store.recovered().hardState().inTerm(5, 9));
            id = store.recovered().hardState().replicaId();
        }
        byte[] whole = Files.readAllBytes(segment());
        int frameBytes = (whole.length - SegmentHeader.SIZE_BYTES) / 6;
        int syncedBytes = SegmentHeader.SIZE_BYTES + frameBytes;
        for (int length = whole.length; length >= syncedBytes; length--) {
            Files.write(segment(), Arrays.copyOf(whole, length));
            try (LogStore store = open()) {
                assertEquals(new HardState(id, 5, 9), store.recovered().hardState());
                int expected = 1 + (length - syncedBytes) / frameBytes;
                assertEquals(expected, store.recovered().entries().size());
            }
        }
    }

    /** Guards against synced entries that are taken for a torn write. */
    @Test
    void everyShortenedSyncedTailIsRefused() throws IOException {
        write(5, 20);
        byte[] whole = Files.readAllBytes(segment());
        for (int length = whole.length - 1; length >= 0; length--) {
            if (length != SegmentHeader.SIZE_BYTES) {
                Files.write(segment(), Arrays.copyOf(whole, length));
                assertDamaged();
            }
        }
    }

    /** Guards against damaged entries that are served or silently dropped. */
    @Test
    void everyFlippedByteIsRefused() throws IOException {
        long id = write(3, 20);
        byte[] whole = Files.readAllBytes(segment());
        for (int i = 0; i < whole.length; i++) {
            byte[] damaged = whole.clone();
            damaged[i] ^= 0x41;
            Files.write(segment(), damaged);
            assertDamaged();
        }
        try (LogStore store = LogStore.openDamaged(mFolder, mRandom)) {
            assertTrue(store.recovered().isEmpty());
            assertNotEquals(id, store.recovered().hardState().replicaId());
        }
    }

    /** Guards against a truncated log that is taken for a complete one. */
    @Test
    void missingFilesAreRefused() throws IOException {
        write(3, 20);
        Path saved = mFolder.resolve("saved");
        Files.move(segment(), saved);
        assertDamaged();
        Files.move(saved, segment());
        Files.delete(mFolder.resolve("meta"));
        assertDamaged();
    }

    /** Guards against two processes that write to the same data folder. */
    @Test
    void aLockedFolderIsRefused() {
        LogStore store = open();
        assertEquals(
                ErrorKind.NOT_READY, assertThrows(HemlockrackException.class, this::open).kind());
        store.close();
        open().close();
    }

    /** Guards against an unusable folder that is taken for a disk that may recover. */
    @Test
    void aFileInPlaceOfTheFolderIsAnErrorOfTheSettings() throws IOException {
        Path file = Files.writeString(mFolder.resolve("file"), "text");
        HemlockrackException e =
                assertThrows(HemlockrackException.class, () -> LogStore.open(file, mRandom));
        assertEquals(ErrorKind.SETTINGS_INVALID, e.kind());
        assertEquals("text", Files.readString(file));
    }

    /** Guards against segments that are never removed and entries lost by compaction. */
    @Test
    void compactionRemovesSegmentsAndTruncationSpansThem() throws IOException {
        SnapshotMeta meta = new SnapshotMeta(25, 1, 25, Membership.NONE, 0, 0);
        try (LogStore store = open()) {
            store.append(entries(1, 40, 500_000));
            store.append(entries(38, 38, 10));
            store.sync();
            store.saveSnapshot(meta, new byte[0]);
            store.compact(20);
        }
        try (LogStore store = open()) {
            List<Entry> kept = store.recovered().entries();
            assertEquals(38, kept.get(kept.size() - 1).index());
            assertTrue(kept.get(0).index() > 1 && kept.get(0).index() <= 20);
            assertEquals(meta, store.recovered().snapshot());
            store.storeChunk(meta, 0, new byte[0]);
            SnapshotMeta next = new SnapshotMeta(99, 2, 25, Membership.NONE, 3, 1);
            store.storeChunk(next, 0, new byte[3]);
            assertEquals(false, store.installSnapshot(next));
        }
    }
}
