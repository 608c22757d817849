package org.hemlockrack.daemon.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.hemlockrack.daemon.http.HeaderField;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class OperatorPortTest {
    private static final String CONFIG = "/operator/v1/config";
    private static final HeaderField JSON = HeaderField.of("Content-Type", "application/json");
    private static final String ZONE = "{\"zones\":{\"a\":{\"region\":\"r1\"}}}";

    @TempDir Path mFolder;

    private static void acceptFirst(TestInstance instance) throws InterruptedException {
        FakeResponder first =
                instance.call("PATCH", CONFIG, ZONE, HeaderField.of("If-Match", "\"0\""), JSON);
        assertEquals(1, first.await().json().path("version").asLong());
        // The answer comes from the log; the instance itself follows a moment later.
        instance.awaitHeld(1);
    }

    /** Guards against malformed numbers that end as an internal fault. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/operator/v1/config/wait",
                "/operator/v1/config/wait?version=x",
                "/operator/v1/config/wait?version=-1",
                "/operator/v1/config/wait?version=1&timeout_ms=x",
                "/operator/v1/config/wait?version=1&timeout_ms=",
                "/operator/v1/config/wait?version=1&timeout_ms=-1",
                "/operator/v1/config/wait?version=1&timeout_ms=600001",
                "/operator/v1/config/wait?version=1&timeout_ms=99999999999999999999"
            })
    void malformedNumbersAreBadRequests(String target) {
        try (TestInstance instance = TestInstance.withoutLog()) {
            FakeResponder.Answer answer = instance.ask("GET", target);
            assertEquals(400, answer.status());
            assertEquals("BAD_REQUEST", answer.kind());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "POST, /operator/v1/zones/a%zz/out, BAD_REQUEST",
        "POST, /operator/v1/zones/a%20b/out, BAD_REQUEST",
        "POST, /operator/v1/zones/a/off, NOT_FOUND",
        "POST, /operator/v1/zones/a, NOT_FOUND",
        "POST, /operator/v1/instances/i1/stop, NOT_FOUND",
        "GET, /operator/v1/voters/i1, NOT_FOUND",
        "GET, /operator/v2/status, NOT_FOUND",
        "PATCH, /operator/v1/config, PRECONDITION_REQUIRED"
    })
    void malformedRequestsAreRefused(String method, String target, String kind) {
        try (TestInstance instance = TestInstance.withoutLog()) {
            assertEquals(kind, instance.ask(method, target).kind());
        }
    }

    /** Guards against refusals that leave the operator guessing whom to ask instead. */
    @Test
    void instanceWithoutLogNamesTheVoters() {
        try (TestInstance instance = TestInstance.withoutLog()) {
            HeaderField base = HeaderField.of("If-Match", "\"0\"");
            String dryRun = CONFIG + "?dry_run=true";
            for (FakeResponder.Answer answer :
                    new FakeResponder.Answer[] {
                        instance.ask("GET", CONFIG + "/history"),
                        instance.call("PATCH", dryRun, ZONE, base, JSON).await(),
                        instance.ask("GET", "/operator/v1/voters"),
                        instance.ask("POST", "/operator/v1/voters/i1/remove")
                    }) {
                assertEquals("NOT_READY", answer.kind());
                assertTrue(answer.message().endsWith("voter: i1 on 192.0.2.1"), answer.message());
            }
        }
    }

    @Test
    void patchWithoutLeaderIsRefusedAsNotRun() {
        try (TestInstance instance = TestInstance.withoutLog()) {
            FakeResponder.Answer answer = instance.ask("POST", "/operator/v1/zones/a/out");
            assertEquals("NO_QUORUM", answer.kind());
            assertEquals("not_run", answer.json().at("/error/ran").asText());
        }
    }

    /** Guards against a refusal with an empty message. */
    @Test
    void faultyChangeIsRefusedWithItsFaults() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            acceptFirst(instance);
            FakeResponder.Answer answer = instance.ask("POST", "/operator/v1/zones/d/out");
            assertEquals("CONFIG_INVALID", answer.kind());
            assertEquals("faults in the document: 1", answer.message());
            assertEquals(1, answer.json().path("faults").size());
        }
    }

    @Test
    void zoneAndDrainAnswerWithTheVersion() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            acceptFirst(instance);
            FakeResponder.Answer zone = instance.ask("POST", "/operator/v1/zones/a/out");
            assertEquals(2, zone.json().path("version").asLong(), zone.toString());
            FakeResponder.Answer drain = instance.ask("POST", "/operator/v1/instances/i%2F9/drain");
            assertEquals(3, drain.json().path("version").asLong(), drain.toString());
            FakeResponder.Answer history = instance.ask("GET", CONFIG + "/history");
            assertEquals(3, history.json().path("versions").size());
        }
    }

    @Test
    void dryRunShowsDifferencesAndChangesNothing() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            acceptFirst(instance);
            FakeResponder run =
                    instance.call(
                            "PATCH",
                            CONFIG + "?dry_run=true",
                            "{\"zones\":{\"a\":{\"state\":\"out\"}}}",
                            HeaderField.of("If-Match", "\"1\""),
                            JSON);
            assertEquals(1, run.await().json().path("differences").size());
            FakeResponder.Answer history = instance.ask("GET", CONFIG + "/history");
            assertEquals(1, history.json().path("versions").size());
        }
    }

    /** Guards against a wait that ends before another reachable instance follows. */
    @Test
    void waitEndsWhenTheLastReachableInstanceReports() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            instance.peerReports(0);
            assertEquals(0L, instance.peerVersion().orElseThrow());
            acceptFirst(instance);
            FakeResponder wait =
                    instance.call("GET", CONFIG + "/wait?version=1&timeout_ms=600000", "");
            instance.settle();
            assertFalse(wait.isAnswered());
            instance.peerReports(1);
            FakeResponder.Answer answer = wait.await();
            assertTrue(answer.json().path("in_force").asBoolean(), answer.toString());
        }
    }

    @Test
    void waitNamesWhoIsMissingAtItsTimeout() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            instance.peerReports(0);
            acceptFirst(instance);
            FakeResponder.Answer late =
                    instance.ask("GET", CONFIG + "/wait?version=1&timeout_ms=0");
            assertFalse(late.json().path("in_force").asBoolean());
            assertEquals("i2", late.json().at("/missing/0").asText());
        }
    }

    /** Guards against waits that outlive their operator. */
    @Test
    void waitOfAnOperatorWhoLeftIsForgotten() {
        try (TestInstance instance = TestInstance.withoutLog()) {
            FakeResponder wait =
                    instance.call("GET", CONFIG + "/wait?version=9&timeout_ms=600000", "");
            instance.settle();
            wait.cancel();
            instance.settle();
            assertFalse(wait.isAnswered());
        }
    }

    @Test
    void leaderListsVoters() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            FakeResponder.Answer list = instance.ask("GET", "/operator/v1/voters");
            assertEquals("i1", list.json().path("leader").asText());
            assertEquals("VOTER", list.json().at("/voters/0/standing").asText());
        }
    }

    /** Guards against repeats that fail, and against refused changes that report success. */
    @Test
    void voterChangesAreRepeatableAndRefusalsExplained() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            String voters = "/operator/v1/voters/";
            assertEquals(200, instance.ask("POST", voters + "i1/add").status());
            assertEquals(200, instance.ask("POST", voters + "i9/remove").status());
            FakeResponder.Answer add = instance.ask("POST", voters + "i9/add?timeout_ms=0");
            assertEquals("NOT_READY", add.kind());
            assertTrue(add.message().startsWith("i9 did not become a voter"), add.message());
            FakeResponder.Answer last = instance.ask("POST", voters + "i1/remove?timeout_ms=0");
            assertTrue(last.message().contains("last voter"), last.message());
            assertEquals("NOT_FOUND", instance.ask("POST", voters + "i1/promote").kind());
        }
    }
}
