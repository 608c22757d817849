package org.hemlockrack.consensus.internal.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.LogStore;
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
}
