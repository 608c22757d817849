package org.hemlockrack.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FleetCommandsTest {
    private static final String ACCEPTED = "{\"version\":8,\"outcome\":\"ACCEPTED\"}";
    private static final String WAIT = "GET /operator/v1/config/wait";

    @ParameterizedTest
    @CsvSource({
        "zone out b, /operator/v1/zones/b/out",
        "zone in rack/1, /operator/v1/zones/rack%2F1/in",
        "drain i2, /operator/v1/instances/i2/drain",
        "undrain a@i2, /operator/v1/instances/a%40i2/undrain"
    })
    void changePrintsTheVersion(String line, String path) {
        try (FakeInstance fake = FakeInstance.open().stub("POST " + path, 200, ACCEPTED)) {
            String[] args = (line + " --address " + fake.address()).split(" ");
            ToolRun text = ToolRun.of(args);
            assertEquals(0, text.exitCode());
            assertEquals("accepted as version 8\n", text.out());
            ToolRun json = ToolRun.of((String.join(" ", args) + " --json").split(" "));
            assertEquals(8, json.json().path("version").asLong());
            assertEquals(2, fake.requests().size());
        }
    }

    /** Guards against a wait that ends before the accepted version is in force in the fleet. */
    @Test
    void changeWithWaitEndsWhenTheVersionIsInForce() {
        try (FakeInstance fake = FakeInstance.open()) {
            fake.stub("POST /operator/v1/zones/b/out", 200, ACCEPTED);
            fake.stub(WAIT, 200, "{\"version\":8,\"in_force\":true}");
            String address = fake.address();
            ToolRun done = ToolRun.of("zone", "out", "b", "--wait", "--address", address);
            assertEquals(0, done.exitCode());
            assertEquals(
                    "accepted as version 8\n"
                            + "version 8 is in force on every reachable instance\n",
                    done.out());
            assertTrue(fake.lastRequest().uri().endsWith("?version=8&timeout_ms=10000"));
            fake.stub(WAIT, 200, "{\"version\":8,\"in_force\":false,\"missing\":[\"i2\"]}");
            ToolRun late = ToolRun.of("zone", "out", "b", "--wait", "--address", address);
            assertEquals(1, late.exitCode());
            ToolRun json = ToolRun.of("zone", "out", "b", "--wait", "--json", "--address", address);
            assertFalse(json.json().path("in_force").asBoolean());
        }
    }

    @Test
    void statusPrintsOneFieldALine() {
        try (FakeInstance fake = FakeInstance.open()) {
            String body = "{\"instance\":\"i1\",\"ready\":true,\"zones_cut\":[]}";
            fake.stub("GET /operator/v1/status", 200, body);
            ToolRun text = ToolRun.of("status", "--address", fake.address());
            assertEquals("instance: i1\nready: true\nzones_cut: []\n", text.out());
            ToolRun json = ToolRun.of("status", "--json", "--address", fake.address());
            assertEquals("i1", json.json().path("instance").asText());
        }
    }

    @Test
    void listsArePrintedAsColumns() {
        try (FakeInstance fake = FakeInstance.open()) {
            fake.stub(
                    "GET /operator/v1/instances",
                    200,
                    "{\"instances\":[{\"id\":\"i1\",\"zone\":\"a\",\"status\":\"ALIVE\"}]}");
            fake.stub(
                    "GET /operator/v1/backends",
                    200,
                    "{\"backends\":[{\"id\":\"engine-a\",\"models\":[\"m/v1\",\"m/v2\"]}]}");
            ToolRun instances = ToolRun.of("instances", "--address", fake.address());
            assertTrue(instances.out().startsWith("id  zone  region"), instances.out());
            ToolRun backends = ToolRun.of("backends", "--address", fake.address());
            assertTrue(backends.out().contains("m/v1,m/v2"), backends.out());
            ToolRun json = ToolRun.of("backends", "--json", "--address", fake.address());
            assertEquals("engine-a", json.json().at("/backends/0/id").asText());
        }
    }

    @Test
    void votersArePrintedWithTheirKind() {
        String body =
                "{\"leader\":\"i1\",\"voters\":[{\"instance\":\"i1\",\"standing\":\"VOTER\","
                        + "\"replica\":\"4f\"}]}";
        try (FakeInstance fake = FakeInstance.open()) {
            fake.stub("GET /operator/v1/voters", 200, body);
            fake.stub("POST /operator/v1/voters/i4/add", 200, body);
            ToolRun list = ToolRun.of("voters", "list", "--address", fake.address());
            assertEquals(
                    "instance  standing  replica\ni1        VOTER     4f\nleader: i1\n",
                    list.out());
            ToolRun add = ToolRun.of("voters", "add", "i4", "--address", fake.address());
            assertEquals(0, add.exitCode());
            assertTrue(fake.lastRequest().uri().endsWith("?timeout_ms=30000"));
            ToolRun json = ToolRun.of("voters", "list", "--json", "--address", fake.address());
            assertEquals("i1", json.json().path("leader").asText());
        }
    }
}
