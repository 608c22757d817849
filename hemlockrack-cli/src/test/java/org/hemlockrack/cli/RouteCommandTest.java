package org.hemlockrack.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class RouteCommandTest {
    private static final String KEY = "key-4711";
    private static final String ANSWER =
            "{\"table\":7,\"route\":\"r\",\"outcome\":\"refused\",\"refusal\":{\"kind\":"
                    + "\"NO_BACKEND\",\"status\":503,\"cause\":\"NO_SERVER\"},\"servers\":[{"
                    + "\"id\":\"s1\",\"zone\":\"b\",\"excluded\":\"ZONE_EVACUATED\"}]}";

    /** Guards against a key in the arguments or in the output. */
    @Test
    void sendsTheRequestAndPrintsTheAnswer(@TempDir Path folder) throws IOException {
        Path file = Files.writeString(folder.resolve("key"), KEY + "\n");
        try (FakeInstance fake = FakeInstance.open().stub("POST /explain", 200, ANSWER)) {
            String line =
                    ("route shop.example /x --key-file %s --part p1 --part p2 --attempt a"
                                    + " --address %s")
                            .formatted(file, fake.address());
            ToolRun run = ToolRun.of(line.split(" "));
            assertEquals(0, run.exitCode());
            assertEquals(
                    "{\"host\":\"shop.example\",\"path\":\"/x\",\"key\":\"key-4711\","
                            + "\"prompt_part_ids\":[\"p1\",\"p2\"],\"attempt_id\":\"a\"}",
                    fake.lastRequest().body());
            assertTrue(run.out().contains("refusal: NO_BACKEND (503): NO_SERVER\n"), run.out());
            assertTrue(run.out().contains("ZONE_EVACUATED"), run.out());
            assertFalse(run.out().contains(KEY), run.out());
        }
    }

    /** An instance that does not offer this must not look like one without a route. */
    @Test
    void saysThatAnInstanceDoesNotOfferIt() {
        try (FakeInstance fake = FakeInstance.open()) {
            ToolRun run = ToolRun.of("route", "h", "/x", "--address", fake.address());
            assertEquals(1, run.exitCode());
            assertTrue(run.err().contains("operators.explain"), run.err());
        }
    }
}
