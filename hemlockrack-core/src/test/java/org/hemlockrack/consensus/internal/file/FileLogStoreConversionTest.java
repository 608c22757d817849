package org.hemlockrack.consensus.internal.file;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.disk.FaultyDisk;
import org.hemlockrack.consensus.disk.PowerLoss;
import org.hemlockrack.consensus.internal.WireCodec;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.WireMeta;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Opens folders whose files have another version of the form. */
class FileLogStoreConversionTest {
    private static final HardState HARD_STATE = new HardState(17, 5, 9);
    private static final int SEGMENT_ENTRIES = 4;
    private static final Path FOLDER = Path.of("/data");

    @TempDir Path mTemp;
    private final SplittableRandom mRandom = new SplittableRandom(1);

    private static byte[] data(long index) {
        byte[] data = new byte[30];
        Arrays.fill(data, (byte) (index + 1));
        return data;
    }

    private static void writeMeta(Path folder, long newestSegment, int formVersion)
            throws IOException {
        WireMeta meta =
                new WireMeta(
                        HARD_STATE.replicaId(),
                        HARD_STATE.term(),
                        HARD_STATE.vote(),
                        newestSegment);
        if (formVersion > 1) {
            meta.setFormVersion(formVersion);
        }
        Files.write(folder.resolve("meta"), RecordFormat.encode(WireCodec.encode(meta)).array());
    }

    /** Writes three segments of version 1, of which {@code meta} names one. */
    private Path writeLegacyFolder(long newestSegment) throws IOException {
        return writeLegacyFolder(Files.createTempDirectory(mTemp, "log"), newestSegment);
    }

    private static Path writeLegacyFolder(Path folder, long newestSegment) throws IOException {
        for (int base = 1; base <= 1 + 2 * SEGMENT_ENTRIES; base += SEGMENT_ENTRIES) {
            ByteArrayOutputStream file = new ByteArrayOutputStream();
            for (long i = base; i < base + SEGMENT_ENTRIES; i++) {
                Entry entry = new Entry(i, 2, EntryKind.COMMAND, i, data(i));
                file.writeBytes(RecordFormat.encode(WireCodec.encodeEntry(entry)).array());
            }
            Files.write(folder.resolve(LogSegment.name(base)), file.toByteArray());
        }
        writeMeta(folder, newestSegment, 1);
        return folder;
    }

    private static void requireContent(LogStore store, int entries) {
        assertEquals(HARD_STATE, store.recovered().hardState());
        List<Entry> read = store.recovered().entries();
        assertEquals(entries, read.size());
        for (int i = 0; i < entries; i++) {
            assertEquals(i + 1, read.get(i).index());
            assertArrayEquals(data(i + 1), read.get(i).data());
        }
    }

    private void requireDamaged(Path folder) {
        HemlockrackException e =
                assertThrows(
                        HemlockrackException.class, () -> LogStore.open(folder, mRandom).close());
        assertEquals(ErrorKind.STORAGE_DAMAGED, e.kind());
    }

    /** Guards against an upgrade that loses the log, the vote or the replica id. */
    @ParameterizedTest
    @ValueSource(longs = {5, 9})
    void aFolderOfVersion1IsCarriedOver(long newestSegment) throws IOException {
        Path folder = writeLegacyFolder(newestSegment);
        try (LogStore store = LogStore.open(folder, mRandom)) {
            requireContent(store, 3 * SEGMENT_ENTRIES);
            store.append(List.of(new Entry(13, 5, EntryKind.COMMAND, 13, data(13))));
            store.sync();
        }
        try (LogStore store = LogStore.open(folder, mRandom)) {
            requireContent(store, 3 * SEGMENT_ENTRIES + 1);
        }
    }

    /** Guards against an upgrade that loses something when it is interrupted at any operation. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5})
    void anInterruptedConversionGoesOn(int refusedCount) throws IOException {
        int refusals = 1;
        for (long at = 0; refusals > 0; at++) {
            refusals = 0;
            FaultyDisk disk = FaultyDisk.create();
            Path folder = writeLegacyFolder(disk.path(FOLDER), 5);
            disk.setTornSixteenths(8);
            long first = at;
            disk.setFaults((operation, number) -> number >= first && number < first + refusedCount);
            LogStore store = null;
            while (store == null) {
                try {
                    store = FileLogStore.open(folder, mRandom);
                } catch (HemlockrackException e) {
                    assertEquals(ErrorKind.STORAGE_FAILED, e.kind());
                    refusals++;
                    assertTrue(refusals <= refusedCount);
                }
            }
            requireContent(store, 3 * SEGMENT_ENTRIES);
            store.close();
            assertEquals(0, disk.openChannels());
            disk.setFaults(FaultyDisk.NONE);
            try (LogStore again = LogStore.open(folder, mRandom)) {
                requireContent(again, 3 * SEGMENT_ENTRIES);
            }
        }
    }

    /** Returns whether the conversion lost power, after which it is opened again. */
    private boolean convertWithLoss(long at, PowerLoss loss, long seed) throws IOException {
        FaultyDisk disk = FaultyDisk.create(new SplittableRandom(seed));
        Path folder = writeLegacyFolder(disk.path(FOLDER), 5);
        disk.losePower(PowerLoss.KEEPS_ALL);
        disk.losePowerAt(at);
        boolean isLost = false;
        try (LogStore store = LogStore.open(folder, mRandom)) {
            requireContent(store, 3 * SEGMENT_ENTRIES);
        } catch (FaultyDisk.PowerLostException e) {
            isLost = true;
        }
        for (PowerLoss next : List.of(loss, PowerLoss.LOSES_ALL)) {
            disk.losePower(next);
            disk.setFaults(FaultyDisk.NONE);
            try (LogStore store = LogStore.open(folder, mRandom)) {
                requireContent(store, 3 * SEGMENT_ENTRIES);
            }
        }
        assertEquals(0, disk.openChannels());
        return isLost;
    }

    /** Guards against an upgrade that loses something when power is lost at any operation. */
    @ParameterizedTest
    @EnumSource
    void aConversionThatLosesPowerGoesOn(PowerLoss loss) throws IOException {
        long at = 0;
        boolean isLost = true;
        while (isLost) {
            for (long seed = 0; seed < 10; seed++) {
                isLost = convertWithLoss(at, loss, seed);
            }
            at++;
        }
        System.out.printf("conversion %s: points=%d%n", loss, at);
    }

    /** Guards against damage that an upgrade hides. */
    @Test
    void everyFlippedByteOfVersion1IsRefused() throws IOException {
        for (long base = 1; base <= 1 + 2 * SEGMENT_ENTRIES; base += SEGMENT_ENTRIES) {
            Path folder = writeLegacyFolder(9);
            Path segment = folder.resolve(LogSegment.name(base));
            byte[] whole = Files.readAllBytes(segment);
            for (int i = 0; i < whole.length; i++) {
                byte[] damaged = whole.clone();
                damaged[i] ^= 0x41;
                Files.write(segment, damaged);
                requireDamaged(folder);
            }
        }
    }

    /** Guards against a missing segment that an upgrade hides. */
    @Test
    void aMissingSegmentOfVersion1IsRefused() throws IOException {
        for (long base = 1; base <= 1 + 2 * SEGMENT_ENTRIES; base += SEGMENT_ENTRIES) {
            Path folder = writeLegacyFolder(9);
            Files.delete(folder.resolve(LogSegment.name(base)));
            requireDamaged(folder);
        }
    }

    private static Map<String, String> files(Path folder) throws IOException {
        Map<String, String> files = new TreeMap<>();
        try (Stream<Path> paths = Files.list(folder)) {
            for (Path path : paths.toList()) {
                files.put(path.getFileName().toString(), Arrays.toString(Files.readAllBytes(path)));
            }
        }
        return files;
    }

    /** Guards against a downgrade that moves the files of a newer release aside. */
    @Test
    void aNewerVersionIsRefusedAndLeftAsItIs() throws IOException {
        Path folder = writeLegacyFolder(9);
        Files.write(folder.resolve("lock"), new byte[0]);
        Files.write(folder.resolve("meta.tmp"), new byte[1]);
        writeMeta(folder, 9, 3);
        Map<String, String> before = files(folder);
        HemlockrackException e =
                assertThrows(HemlockrackException.class, () -> LogStore.open(folder, mRandom));
        assertEquals(ErrorKind.SETTINGS_INVALID, e.kind());
        assertTrue(e.getMessage().contains("newer release in file form 3"), e.getMessage());
        assertEquals(before, files(folder));
    }
}
