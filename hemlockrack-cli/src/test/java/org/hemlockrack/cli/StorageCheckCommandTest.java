package org.hemlockrack.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
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
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.SnapshotMeta;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class StorageCheckCommandTest {
    private static final String SEGMENT = "log-00000000000000000001.seg";

    @TempDir Path mFolder;

    private static Entry entry(long index) {
        return new Entry(index, 2, EntryKind.COMMAND, index, new byte[50]);
    }

    private LogStore open() {
        return LogStore.open(mFolder, new SplittableRandom(1));
    }

    /** Writes a snapshot at index 2 and entries 1 to 4, of which the last one is not synced. */
    private void writeLog() {
        try (LogStore store = open()) {
            store.append(List.of(entry(1), entry(2), entry(3)));
            store.sync();
            store.saveHardState(store.recovered().hardState().inTerm(2, 0xabc));
            store.saveSnapshot(new SnapshotMeta(2, 2, 2, Membership.NONE, 0, 0), new byte[0]);
            store.append(List.of(entry(4)));
        }
    }

    private Map<String, String> files() throws IOException {
        Map<String, String> files = new TreeMap<>();
        try (Stream<Path> paths = Files.list(mFolder)) {
            for (Path path : paths.toList()) {
                files.put(path.toString(), Arrays.toString(Files.readAllBytes(path)));
            }
        }
        return files;
    }

    private ToolRun check(String... options) {
        String[] args = Stream.of("storage", "check", mFolder.toString()).toArray(String[]::new);
        return ToolRun.of(
                Stream.concat(Arrays.stream(args), Arrays.stream(options)).toArray(String[]::new));
    }

    /** Guards against a check that changes the files, or misses what they hold. */
    @Test
    void aSoundFolderIsDescribedAndLeftAsItIs() throws IOException {
        writeLog();
        Path segment = mFolder.resolve(SEGMENT);
        byte[] whole = Files.readAllBytes(segment);
        Files.write(segment, Arrays.copyOf(whole, whole.length - 1));
        Files.write(mFolder.resolve("meta.tmp"), new byte[1]);
        Map<String, String> before = files();
        ToolRun run = check("--json");
        assertEquals(0, run.exitCode());
        JsonNode json = run.json();
        assertEquals(2, json.path("form_version").asInt());
        assertEquals(2, json.path("term").asInt());
        assertEquals("abc", json.path("vote").asText());
        assertEquals(2, json.at("/snapshot/index").asInt());
        assertEquals(1, json.path("first_index").asInt());
        assertEquals(3, json.path("last_index").asInt());
        assertEquals(SEGMENT, json.at("/segments/0/file").asText());
        int syncedBytes = json.path("synced_bytes").asInt();
        assertEquals(json.at("/segments/0/size_bytes").asInt(), syncedBytes);
        assertTrue(syncedBytes > 150 && syncedBytes < whole.length);
        assertEquals(2, json.path("leftovers").size());
        assertEquals(0, json.path("faults").size());
        ToolRun text = check();
        assertEquals(0, text.exitCode());
        assertTrue(text.out().contains("snapshot: index 2 term 2, 0 bytes"), text.out());
        assertTrue(text.out().contains("bytes of a torn write"), text.out());
        assertEquals(before, files());
    }

    /** Guards against damage that the check does not find, or does not place. */
    @Test
    void damageIsNamedWithItsFile() throws IOException {
        writeLog();
        for (Path file : List.of(mFolder.resolve(SEGMENT), mFolder.resolve("meta"))) {
            byte[] whole = Files.readAllBytes(file);
            byte[] damaged = whole.clone();
            damaged[30] ^= 0x41;
            Files.write(file, damaged);
            ToolRun run = check();
            assertEquals(1, run.exitCode());
            assertTrue(run.out().contains("fault: " + file + " is damaged at byte "), run.out());
            Files.write(file, whole);
        }
        Files.delete(mFolder.resolve(SEGMENT));
        ToolRun run = check("--json");
        assertEquals(1, run.exitCode());
        assertTrue(run.json().at("/faults/0").asText().endsWith(SEGMENT + " is missing"));
    }

    /** Guards against another folder, or one in use, that is reported as damaged or as sound. */
    @Test
    void whatCannotBeCheckedIsAUsageError() throws IOException {
        ToolRun empty = check();
        assertEquals(2, empty.exitCode());
        assertTrue(empty.err().contains("holds no files of a replica"), empty.err());
        Path file = Files.writeString(mFolder.resolve("notes"), "text");
        assertEquals(2, ToolRun.of("storage", "check", file.toString()).exitCode());
        assertEquals(2, ToolRun.of("storage", "check", file + "2").exitCode());
        assertEquals(Map.of(file.toString(), "[116, 101, 120, 116]"), files());
        try (LogStore store = open()) {
            assertTrue(store.recovered().isEmpty());
            ToolRun used = check("--json");
            assertEquals(2, used.exitCode());
            assertEquals("NOT_READY", used.json().at("/error/kind").asText());
        }
    }
}
