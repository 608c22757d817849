package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The whole path over real processes. */
class FleetTest {
    private final LocalFleet mFleet = LocalFleet.create();
    private final FleetClient mClient = FleetClient.create();

    @BeforeEach
    void start() {
        mFleet.addInstance("i1", "a");
        mFleet.addInstance("i2", "b");
        mFleet.addInstance("i3", "c");
        mFleet.startInstances(3, "");
        String first = mClient.initialConfiguration();
        mFleet.await("first configuration", 30, () -> patch("i1", 0, "first", first));
        mFleet.startBackend("engine-a", "a", "assistant", "model");
        mFleet.startBackend("engine-b", "b", "assistant", "model");
        mFleet.startBackend("booking-c", "c", "bookings", "plain");
        mFleet.await(
                "all backend servers everywhere",
                30,
                () -> mFleet.instances().stream().allMatch(i -> ready(i, 3)));
    }

    @AfterEach
    void stop() {
        mFleet.close();
    }

    private boolean patch(String instance, long base, String requestId, String toml) {
        String operators = mFleet.instance(instance).operatorAddress();
        return mClient.patchConfiguration(operators, base, requestId, toml).status() == 200;
    }

    private boolean ready(LocalFleet.Instance instance, int count) {
        int ready = 0;
        for (JsonNode row :
                mClient.fetchPage(instance.operatorAddress(), "backends").path("backends")) {
            ready += row.path("state").asText().equals("READY") ? 1 : 0;
        }
        int status =
                mClient.send(instance.callerAddress(), "GET", "/readyz", Map.of(), "").status();
        return ready == count && status == 200;
    }

    private String callers(String instance) {
        return mFleet.instance(instance).callerAddress();
    }

    /** Guards against a returning chat that loses its cache because another instance takes it. */
    @Test
    void returningChatLandsOnTheSameServerThroughAnyInstance() {
        for (int chat = 0; chat < 5; chat++) {
            FleetClient.Answer first = mClient.sendChat(callers("i1"), "chat-" + chat);
            assertEquals(200, first.status(), first.body());
            for (String instance : new String[] {"i2", "i3"}) {
                FleetClient.Answer again = mClient.sendChat(callers(instance), "chat-" + chat);
                assertEquals(first.header("X-Served-By"), again.header("X-Served-By"));
                assertEquals("hit", again.header("X-Cache"));
                assertTrue(again.body().endsWith("data: [DONE]\n\n"), again.body());
            }
        }
    }

    /** Guards against a second run of a command that is repeated after its instance was lost. */
    @Test
    void repeatedCommandRunsOnceThoughItsInstanceIsKilled() {
        FleetClient.Answer first = mClient.book(callers("i1"), "order-1", "{\"cylinders\":3}");
        assertEquals(200, first.status(), first.body());
        mFleet.instance("i1").process().kill();
        mFleet.await(
                "a repeat through another instance is answered from the record",
                20,
                () -> mClient.book(callers("i2"), "order-1", "{\"cylinders\":3}").status() == 200);
        FleetClient.Answer again = mClient.book(callers("i2"), "order-1", "{\"cylinders\":3}");
        assertEquals(first.body(), again.body());
        assertEquals("true", again.header("Idempotency-Replayed"));
        FleetClient.Answer other = mClient.book(callers("i2"), "order-1", "{\"cylinders\":4}");
        assertEquals(422, other.status());
        assertEquals("not_run", other.ran());
    }

    /** Guards against new work in a zone that operators took out, and against lost service. */
    @Test
    void zoneTakenOutGetsNoNewWorkAfterThreeSeconds() {
        FleetClient.Answer out =
                mClient.send(
                        mFleet.instance("i3").operatorAddress(),
                        "POST",
                        "/operator/v1/zones/a/out",
                        Map.of(),
                        "");
        // Zone a is not configured with a region yet, so the change must name its faults.
        assertEquals(422, out.status(), out.body());
        assertTrue(patch("i3", 1, "zones", "[zones.a]\nregion = \"r1\"\nstate = \"out\""));
        LocalFleet.sleep(3_000);
        for (int chat = 0; chat < 20; chat++) {
            FleetClient.Answer answer = mClient.sendChat(callers("i" + (1 + chat % 3)), "z" + chat);
            assertEquals(200, answer.status(), answer.body());
            assertEquals("engine-b", answer.header("X-Served-By"));
        }
    }

    /** Guards against a graceful stop that cuts requests or ends with an error. */
    @Test
    void gracefulStopEndsWithZeroAndCutsNothing() {
        LocalFleet.Instance stopping = mFleet.instance("i2");
        stopping.process().signal("TERM");
        FleetClient.Answer during = mClient.sendChat(stopping.callerAddress(), "during-stop");
        assertEquals(200, during.status(), during.body());
        assertEquals(0, stopping.process().awaitExit());
        for (int chat = 0; chat < 10; chat++) {
            int number = chat;
            mFleet.await(
                    "chat after the stop",
                    10,
                    () -> mClient.sendChat(callers("i1"), "s" + number).status() == 200);
        }
    }
}
