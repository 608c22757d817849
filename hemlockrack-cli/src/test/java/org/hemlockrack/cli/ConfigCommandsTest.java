package org.hemlockrack.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ConfigCommandsTest {
    private static final String PATCH = "PATCH /operator/v1/config";
    private static final String WAIT = "GET /operator/v1/config/wait";

    @TempDir Path mFolder;

    private String file(String text) throws IOException {
        return Files.writeString(mFolder.resolve("document.toml"), text).toString();
    }

    @Test
    void getPrintsTheVersionWithTheDocument() {
        try (FakeInstance fake = FakeInstance.open()) {
            fake.stub("GET /operator/v1/config", 200, "[zones.a]");
            ToolRun text = ToolRun.of("config", "get", "--address", fake.address());
            assertEquals(0, text.exitCode());
            assertEquals("# version 7\n[zones.a]\n", text.out());
            fake.stub("GET /operator/v1/config", 200, "{\"zones\":{}}");
            ToolRun json = ToolRun.of("config", "get", "--json", "--address", fake.address());
            assertEquals(7, json.json().path("version").asLong());
            assertTrue(json.json().at("/configuration/zones").isObject());
        }
    }

    @Test
    void checkAcceptsAValidDocument() throws IOException {
        String valid = file("[zones.a]\nregion = \"r1\"\n");
        ToolRun text = ToolRun.of("config", "check", "-f", valid);
        assertEquals(0, text.exitCode());
        assertEquals("the configuration is valid\n", text.out());
        ToolRun json = ToolRun.of("config", "check", "--json", "-f", valid);
        assertTrue(json.json().path("valid").asBoolean());
    }

    /** Guards against a check that reports only the first error. */
    @Test
    void checkReportsAllErrors() throws IOException {
        String invalid = file("[zones.a]\nstate = \"off\"\n[limits]\nidle_ms = -1\n");
        ToolRun text = ToolRun.of("config", "check", "-f", invalid);
        assertEquals(1, text.exitCode());
        assertTrue(text.err().contains("zones.a.state"), text.err());
        assertTrue(text.err().contains("zones.a.region"), text.err());
        assertTrue(text.err().contains("limits.idle_ms"), text.err());
        ToolRun json = ToolRun.of("config", "check", "--json", "-f", invalid);
        assertEquals(1, json.exitCode());
        assertFalse(json.json().path("valid").asBoolean());
        assertEquals(3, json.json().path("faults").size());
    }

    @Test
    void checkOfInvalidTomlOrMissingFileFails() throws IOException {
        ToolRun broken = ToolRun.of("config", "check", "-f", file("[zones"));
        assertEquals(1, broken.exitCode());
        assertTrue(broken.err().startsWith("hemlockrack: BAD_REQUEST: "), broken.err());
        ToolRun missing = ToolRun.of("config", "check", "--json", "-f", mFolder + "/none");
        assertEquals(1, missing.exitCode());
        assertEquals("BAD_REQUEST", missing.json().at("/error/kind").asText());
    }

    @Test
    void patchSendsBaseIdAndDocument() throws IOException {
        try (FakeInstance fake = FakeInstance.open()) {
            fake.stub(PATCH, 200, "{\"version\":8,\"outcome\":\"ACCEPTED\",\"faults\":[]}");
            ToolRun run =
                    ToolRun.of(
                            "config",
                            "patch",
                            "-f",
                            file("[zones.a]\n"),
                            "--base",
                            "7",
                            "--request-id",
                            "change-1",
                            "--address",
                            fake.address());
            assertEquals(0, run.exitCode());
            assertEquals("accepted as version 8\n", run.out());
            assertEquals("\"7\"", fake.lastRequest().ifMatch());
            assertEquals("change-1", fake.lastRequest().requestId());
            assertEquals("[zones.a]\n", fake.lastRequest().body());
        }
    }

    @Test
    void dryRunPrintsTheDifferences() {
        String body =
                "{\"version\":8,\"differences\":[{\"key\":\"zones.b.state\",\"before\":null,"
                        + "\"after\":\"out\"}]}";
        try (FakeInstance fake = FakeInstance.open().stub(PATCH, 200, body)) {
            ToolRun run =
                    ToolRun.of(
                            "config",
                            "patch",
                            "--rollback",
                            "3",
                            "--base",
                            "7",
                            "--dry-run",
                            "--address",
                            fake.address());
            assertEquals(0, run.exitCode());
            assertEquals("zones.b.state: (absent) -> out\nwould become version 8\n", run.out());
            assertTrue(
                    fake.lastRequest().uri().contains("dry_run=true&rollback=3"),
                    fake.lastRequest().uri());
        }
    }

    /** Guards against a rejected patch whose errors are not printed. */
    @Test
    void rejectedPatchPrintsAllErrors() {
        String body =
                "{\"error\":{\"kind\":\"CONFIG_INVALID\",\"message\":\"2 faults\","
                        + "\"ran\":\"not_run\"},\"faults\":[\"first\",\"second\"]}";
        try (FakeInstance fake = FakeInstance.open().stub(PATCH, 422, body)) {
            ToolRun run = patch(fake);
            assertEquals(1, run.exitCode());
            assertEquals("hemlockrack: CONFIG_INVALID: 2 faults\n  first\n  second\n", run.err());
        }
    }

    /** Guards against hiding the request id, without which the operator cannot resend safely. */
    @Test
    void patchWithUnknownOutcomePrintsTheRequestId() {
        String body =
                "{\"error\":{\"kind\":\"NO_QUORUM\",\"message\":\"late\",\"ran\":\"unknown\"}}";
        try (FakeInstance fake = FakeInstance.open().stub(PATCH, 503, body)) {
            ToolRun run = patch(fake);
            assertEquals(1, run.exitCode());
            String hint = "resend with --request-id " + fake.lastRequest().requestId();
            assertTrue(run.err().contains(hint), run.err());
        }
    }

    private static ToolRun patch(FakeInstance fake) {
        return ToolRun.of(
                "config", "patch", "--rollback", "3", "--base", "7", "--address", fake.address());
    }

    /** Guards against times in the local time zone or in milliseconds. */
    @Test
    void historyPrintsTimesInUtc() {
        String body =
                """
                {"versions":[{"version":2,"time_ms":1800000000123,"author":"ana",
                "request_id":"r-2","differences":["zones.a.state: in -> out"]}]}
                """;
        try (FakeInstance fake = FakeInstance.open()) {
            fake.stub("GET /operator/v1/config/history", 200, body);
            ToolRun run = ToolRun.of("config", "history", "--address", fake.address());
            assertEquals(0, run.exitCode());
            assertEquals(
                    "version 2  2027-01-15T08:00:00Z  ana  request r-2\n"
                            + "    zones.a.state: in -> out\n",
                    run.out());
        }
    }

    @Test
    void waitExitsByWhetherTheVersionIsInForce() {
        try (FakeInstance fake = FakeInstance.open()) {
            fake.stub(WAIT, 200, "{\"in_force\":true,\"missing\":[],\"unreachable\":[\"i9\"]}");
            ToolRun done = ToolRun.of("config", "wait", "7", "--address", fake.address());
            assertEquals(0, done.exitCode());
            assertTrue(done.out().contains("unreachable: i9"), done.out());
            fake.stub(WAIT, 200, "{\"in_force\":false,\"missing\":[\"i2\"],\"unreachable\":[]}");
            ToolRun late = ToolRun.of("config", "wait", "7", "--address", fake.address());
            assertEquals(1, late.exitCode());
            assertTrue(late.out().contains("without it: i2"), late.out());
            ToolRun json = ToolRun.of("config", "wait", "7", "--json", "--address", fake.address());
            assertEquals(1, json.exitCode());
            assertFalse(json.json().path("in_force").asBoolean());
        }
    }
}
