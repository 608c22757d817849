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

    private static void acceptFirstVersion(TestInstance instance) throws InterruptedException {
        FakeResponder first =
                instance.send("PATCH", CONFIG, ZONE, HeaderField.of("If-Match", "\"0\""), JSON);
        assertEquals(1, first.await().json().path("version").asLong());
        // The response is sent at the commit, so the version may not be in force here yet.
        instance.awaitVersion(1);
    }

    /** Guards against malformed numbers that are reported as internal errors. */
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
            FakeResponder.Response response = instance.sendAndAwait("GET", target);
            assertEquals(400, response.status());
            assertEquals("BAD_REQUEST", response.errorKind());
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
    void malformedRequestsAreRejected(String method, String target, String kind) {
        try (TestInstance instance = TestInstance.withoutLog()) {
            assertEquals(kind, instance.sendAndAwait(method, target).errorKind());
        }
    }

    /** Guards against errors that do not name the instances to use instead. */
    @Test
    void instanceWithoutLogListsTheVoters() {
        try (TestInstance instance = TestInstance.withoutLog()) {
            HeaderField base = HeaderField.of("If-Match", "\"0\"");
            String dryRun = CONFIG + "?dry_run=true";
            for (FakeResponder.Response response :
                    new FakeResponder.Response[] {
                        instance.sendAndAwait("GET", CONFIG + "/history"),
                        instance.send("PATCH", dryRun, ZONE, base, JSON).await(),
                        instance.sendAndAwait("GET", "/operator/v1/voters"),
                        instance.sendAndAwait("POST", "/operator/v1/voters/i1/remove")
                    }) {
                assertEquals("NOT_READY", response.errorKind());
                assertTrue(
                        response.errorMessage().endsWith("voter: i1 on 192.0.2.1"),
                        response.errorMessage());
            }
        }
    }

    @Test
    void patchWithoutLeaderIsRejectedAsNotRun() {
        try (TestInstance instance = TestInstance.withoutLog()) {
            FakeResponder.Response response =
                    instance.sendAndAwait("POST", "/operator/v1/zones/a/out");
            assertEquals("NO_QUORUM", response.errorKind());
            assertEquals("not_run", response.json().at("/error/ran").asText());
        }
    }

    /** Guards against a rejection with an empty message. */
    @Test
    void invalidChangeIsRejectedWithItsErrors() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            acceptFirstVersion(instance);
            FakeResponder.Response response =
                    instance.sendAndAwait("POST", "/operator/v1/zones/d/out");
            assertEquals("CONFIG_INVALID", response.errorKind());
            assertEquals("faults in the document: 1", response.errorMessage());
            assertEquals(1, response.json().path("faults").size());
        }
    }

    @Test
    void zoneAndDrainRespondWithTheVersion() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            acceptFirstVersion(instance);
            FakeResponder.Response zone = instance.sendAndAwait("POST", "/operator/v1/zones/a/out");
            assertEquals(2, zone.json().path("version").asLong(), zone.toString());
            FakeResponder.Response drain =
                    instance.sendAndAwait("POST", "/operator/v1/instances/i%2F9/drain");
            assertEquals(3, drain.json().path("version").asLong(), drain.toString());
            FakeResponder.Response history = instance.sendAndAwait("GET", CONFIG + "/history");
            assertEquals(3, history.json().path("versions").size());
        }
    }

    @Test
    void dryRunShowsDifferencesAndChangesNothing() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            acceptFirstVersion(instance);
            FakeResponder dryRun =
                    instance.send(
                            "PATCH",
                            CONFIG + "?dry_run=true",
                            "{\"zones\":{\"a\":{\"state\":\"out\"}}}",
                            HeaderField.of("If-Match", "\"1\""),
                            JSON);
            assertEquals(1, dryRun.await().json().path("differences").size());
            FakeResponder.Response history = instance.sendAndAwait("GET", CONFIG + "/history");
            assertEquals(1, history.json().path("versions").size());
        }
    }

    /** Guards against a wait that ends before another reachable instance has the version. */
    @Test
    void waitEndsWhenTheLastReachableInstanceReports() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            instance.gossipPeerVersion(0);
            assertEquals(0L, instance.peerVersion().orElseThrow());
            acceptFirstVersion(instance);
            FakeResponder wait =
                    instance.send("GET", CONFIG + "/wait?version=1&timeout_ms=600000", "");
            instance.runPendingTasks();
            assertFalse(wait.hasResponse());
            instance.gossipPeerVersion(1);
            FakeResponder.Response response = wait.await();
            assertTrue(response.json().path("in_force").asBoolean(), response.toString());
        }
    }

    @Test
    void waitListsInstancesWithoutTheVersionAtItsTimeout() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            instance.gossipPeerVersion(0);
            acceptFirstVersion(instance);
            FakeResponder.Response late =
                    instance.sendAndAwait("GET", CONFIG + "/wait?version=1&timeout_ms=0");
            assertFalse(late.json().path("in_force").asBoolean());
            assertEquals("i2", late.json().at("/missing/0").asText());
        }
    }

    /** Guards against waits that continue after the operator has disconnected. */
    @Test
    void waitIsCancelledWhenTheOperatorDisconnects() {
        try (TestInstance instance = TestInstance.withoutLog()) {
            FakeResponder wait =
                    instance.send("GET", CONFIG + "/wait?version=9&timeout_ms=600000", "");
            instance.runPendingTasks();
            wait.cancel();
            instance.runPendingTasks();
            assertFalse(wait.hasResponse());
        }
    }

    @Test
    void leaderListsVoters() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            FakeResponder.Response list = instance.sendAndAwait("GET", "/operator/v1/voters");
            assertEquals("i1", list.json().path("leader").asText());
            assertEquals("VOTER", list.json().at("/voters/0/standing").asText());
        }
    }

    /** Guards against repeated changes that fail, and rejected ones that report success. */
    @Test
    void voterChangesAreRepeatableAndRejectionsExplained() throws InterruptedException {
        try (TestInstance instance = TestInstance.leader(mFolder)) {
            String voters = "/operator/v1/voters/";
            assertEquals(200, instance.sendAndAwait("POST", voters + "i1/add").status());
            assertEquals(200, instance.sendAndAwait("POST", voters + "i9/remove").status());
            FakeResponder.Response add =
                    instance.sendAndAwait("POST", voters + "i9/add?timeout_ms=0");
            assertEquals("NOT_READY", add.errorKind());
            assertTrue(
                    add.errorMessage().startsWith("i9 did not become a voter"), add.errorMessage());
            FakeResponder.Response last =
                    instance.sendAndAwait("POST", voters + "i1/remove?timeout_ms=0");
            assertTrue(last.errorMessage().contains("last voter"), last.errorMessage());
            assertEquals(
                    "NOT_FOUND", instance.sendAndAwait("POST", voters + "i1/promote").errorKind());
        }
    }
}
