package org.hemlockrack.consensus.internal.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.disk.DiskOperation;
import org.hemlockrack.consensus.disk.FaultyDisk;
import org.hemlockrack.consensus.disk.PowerLoss;
import org.hemlockrack.consensus.internal.file.StoreHistory.Step;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays a history of a log store that loses power at each of its operations. */
class FileLogStoreLossPointsTest {
    private static final int LARGE_ENTRY_BYTES = 800;

    /** Random outcomes for each operation at which power is lost. */
    private static final int OUTCOMES = Integer.getInteger("outcomes", 4);

    private static Step write(long from, long to, long term, int sizeBytes) {
        return history -> {
            history.append(from, to, term, sizeBytes);
            history.sync();
        };
    }

    private static Step append(long from, long to, long term, int sizeBytes) {
        return history -> history.append(from, to, term, sizeBytes);
    }

    private static Step vote(long term, long candidate) {
        return history -> history.vote(term, candidate);
    }

    private static Step snapshot(long index) {
        return history -> history.saveSnapshot(index);
    }

    private static Step install(long index, long term, int sizeBytes) {
        return history -> history.installSnapshot(index, term, sizeBytes);
    }

    /** Has all calls of a store: also tails that are replaced, by entries of any size. */
    private static List<Step> history() {
        return List.of(
                vote(1, 7),
                write(1, 3, 1, 20),
                append(4, 4, 1, 20),
                append(5, 6, 1, 300),
                StoreHistory::sync,
                vote(2, 0),
                write(5, 7, 2, 300),
                snapshot(4),
                StoreHistory::closeAndOpen,
                write(8, 14, 2, LARGE_ENTRY_BYTES),
                write(15, 16, 2, 20),
                write(12, 13, 3, 20),
                append(14, 16, 3, LARGE_ENTRY_BYTES),
                StoreHistory::killAndOpen,
                append(16, 17, 4, 20),
                write(17, 24, 4, LARGE_ENTRY_BYTES),
                snapshot(16),
                vote(5, 9),
                install(100, 5, 3_000),
                write(101, 103, 5, 20),
                write(102, 102, 6, 20),
                append(103, 107, 6, LARGE_ENTRY_BYTES),
                append(104, 104, 7, LARGE_ENTRY_BYTES),
                StoreHistory::sync,
                write(105, 108, 7, 20),
                install(104, 7, 100),
                write(105, 108, 8, 20));
    }

    private static long operationsOfHistory() throws IOException {
        StoreHistory history = StoreHistory.create(1, PowerLoss.LOSES_ALL);
        long[] last = new long[1];
        history.disk()
                .setFaults(
                        (operation, number) -> {
                            last[0] = number + 1;
                            return false;
                        });
        history.play(history());
        return last[0];
    }

    private static void playAllPoints(PowerLoss loss, int outcomes) throws IOException {
        long operations = operationsOfHistory();
        PlayFailures failures = new PlayFailures();
        for (long at = 0; at <= operations; at++) {
            for (int outcome = 0; outcome < outcomes; outcome++) {
                StoreHistory history = StoreHistory.create(outcome, loss);
                history.disk().losePowerAt(at);
                failures.run(
                        String.format("%s at %d, seed %d", loss, at, outcome),
                        () -> history.play(history()));
            }
        }
        System.out.printf("%s operations=%d outcomes=%d%n", loss, operations, outcomes);
        failures.requireNone();
    }

    /**
     * Guards against a replica that forgets what it has acknowledged or takes a new id after a loss
     * of power at any operation that loses all that no sync has covered.
     */
    @Test
    void nothingIsLostIfPowerLossLosesAllUnsyncedChanges() throws IOException {
        playAllPoints(PowerLoss.LOSES_ALL, 1);
    }

    /** Guards against the same if all is kept that no sync has covered. */
    @Test
    void nothingIsLostIfPowerLossKeepsAllUnsyncedChanges() throws IOException {
        playAllPoints(PowerLoss.KEEPS_ALL, 1);
    }

    /** Guards against the same if each change is kept, lost or torn by itself. */
    @Test
    void nothingIsLostIfPowerLossTearsUnsyncedChanges() throws IOException {
        playAllPoints(PowerLoss.MIXED, OUTCOMES);
    }

    /**
     * Guards against what a process has read at its start and that is not durable, as the process
     * before was killed at any operation and power is lost soon after.
     */
    @Test
    void nothingIsLostByALossOfPowerAfterAKill() throws IOException {
        long operations = operationsOfHistory();
        PlayFailures failures = new PlayFailures();
        for (long at = 0; at <= operations; at++) {
            StoreHistory history = StoreHistory.create(at, PowerLoss.LOSES_ALL);
            history.killAt(at);
            failures.run("kill at " + at, () -> history.play(history()));
        }
        failures.requireNone();
    }

    /** Returns whether a folder was damaged and moved aside while power was lost. */
    private static boolean openDamagedWithLoss(long at, PowerLoss loss, long seed)
            throws IOException {
        FaultyDisk disk = FaultyDisk.create(new SplittableRandom(seed));
        SplittableRandom ids = new SplittableRandom(seed);
        Path folder = disk.path(Path.of("/data"));
        long oldId;
        try (LogStore store = FileLogStore.open(folder, ids)) {
            oldId = store.recovered().hardState().replicaId();
            store.append(List.of(new Entry(1, 1, EntryKind.COMMAND, 1, new byte[20])));
            store.sync();
        }
        Files.delete(folder.resolve(LogSegment.name(1)));
        disk.losePower(PowerLoss.KEEPS_ALL);
        disk.losePowerAt(at);
        long newId = 0;
        try (LogStore store = FileLogStore.openDamaged(folder, ids)) {
            newId = store.recovered().hardState().replicaId();
        } catch (FaultyDisk.PowerLostException e) {
            assertEquals(0, newId);
        }
        disk.losePower(loss);
        disk.setFaults(FaultyDisk.NONE);
        long readId = replicaIdOf(folder, ids);
        assertTrue(readId != oldId, "the old replica id");
        assertTrue(newId == 0 || readId == newId, "another replica id");
        assertEquals(0, disk.openChannels());
        return newId == 0;
    }

    private static long replicaIdOf(Path folder, SplittableRandom ids) {
        try (LogStore store = FileLogStore.open(folder, ids)) {
            assertEquals(List.of(), store.recovered().entries());
            return store.recovered().hardState().replicaId();
        } catch (HemlockrackException e) {
            assertEquals(ErrorKind.STORAGE_DAMAGED, e.kind());
        }
        try (LogStore store = FileLogStore.openDamaged(folder, ids)) {
            return store.recovered().hardState().replicaId();
        }
    }

    /**
     * Guards against a damaged folder that passes for a sound one after power was lost while its
     * files were moved aside.
     */
    @ParameterizedTest
    @EnumSource
    void aDamagedFolderStaysDamagedUntilItsReplicaIsNew(PowerLoss loss) throws IOException {
        long at = 0;
        boolean isLost = true;
        while (isLost) {
            for (long seed = 0; seed < 10; seed++) {
                isLost = openDamagedWithLoss(at, loss, seed);
            }
            at++;
        }
        System.out.printf("moved aside %s: points=%d%n", loss, at);
    }

    private interface Breaking {
        void apply(StoreHistory history);
    }

    /** Returns how many plays fail if all power losses lose all unsynced changes. */
    private static int failuresOf(Breaking breaking) throws IOException {
        long operations = operationsOfHistory();
        PlayFailures failures = new PlayFailures();
        for (long at = 0; at <= operations; at++) {
            StoreHistory history = StoreHistory.create(at, PowerLoss.LOSES_ALL);
            breaking.apply(history);
            history.disk().losePowerAt(at);
            failures.run("at " + at, () -> history.play(history()));
        }
        System.out.println(failures);
        return failures.count();
    }

    /** Guards against a test that accepts a store which leaves out a sync. */
    @ParameterizedTest
    @ValueSource(strings = {"log-.*", "meta.*", "snapshot-.*"})
    void aSyncOfFilesThatIsLeftOutIsNoticed(String name) throws IOException {
        int failed =
                failuresOf(
                        history ->
                                history.disk()
                                        .setIgnoredSyncs(
                                                (operation, file) ->
                                                        file.getFileName()
                                                                .toString()
                                                                .matches(name)));
        System.out.printf("no sync of %s: failed=%d%n", name, failed);
        assertTrue(failed > 0);
    }

    /** Guards against a test that accepts a store which does not sync its folder. */
    @Test
    void aSyncOfTheFolderThatIsLeftOutIsNoticed() throws IOException {
        int failed =
                failuresOf(
                        history ->
                                history.disk()
                                        .setIgnoredSyncs(
                                                (operation, file) ->
                                                        operation == DiskOperation.SYNC_FOLDER));
        System.out.printf("no sync of the folder: failed=%d%n", failed);
        assertTrue(failed > 0);
    }

    /** Guards against a test that accepts entries that count as durable before their sync. */
    @Test
    void entriesThatCountBeforeTheirSyncAreNoticed() throws IOException {
        int failed = failuresOf(StoreHistory::countUnsynced);
        System.out.printf("entries count before their sync: failed=%d%n", failed);
        assertTrue(failed > 0);
    }
}
