package org.hemlockrack.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {
    @TempDir Path mFolder;

    private String write(String name, String... lines) throws IOException {
        return Files.write(mFolder.resolve(name), List.of(lines)).toString();
    }

    /** Guards against omitting a cause that was logged by another instance. */
    @Test
    void timelineIncludesOtherInstances() throws IOException {
        String gateway =
                write(
                        "g1.log",
                        "{\"time_ms\":2000,\"instance\":\"g1\",\"event\":\"answer_cut\","
                                + "\"request\":\"r1\",\"server\":\"s1\",\"elapsed_ms\":300}",
                        "{\"time_ms\":2100,\"instance\":\"g1\",\"event\":\"answered\","
                                + "\"request\":\"r2\",\"server\":\"s1\"}",
                        "not a log line");
        String controller =
                write(
                        "c1.log",
                        "{\"time_ms\":1500,\"instance\":\"c1\",\"event\":\"server_leaving\","
                                + "\"server\":\"s1\"}",
                        "{\"time_ms\":1500,\"instance\":\"c1\",\"event\":\"server_leaving\","
                                + "\"server\":\"s2\"}");
        ToolRun run = ToolRun.of("explain", "r1", gateway, controller);
        assertEquals(0, run.exitCode(), run.err());
        List<String> lines = run.out().lines().toList();
        assertEquals(2, lines.size(), run.out());
        assertTrue(lines.get(0).startsWith("1500 c1 server_leaving"), run.out());
        assertTrue(lines.get(1).startsWith("2000 g1 answer_cut"), run.out());
    }

    /** Guards against success with no output for a request that no file names. */
    @Test
    void unknownRequestFails() throws IOException {
        ToolRun run = ToolRun.of("explain", "r9", write("empty.log", ""));
        assertEquals(1, run.exitCode());
        assertTrue(run.err().contains("no line of these files names the request r9"), run.err());
    }
}
