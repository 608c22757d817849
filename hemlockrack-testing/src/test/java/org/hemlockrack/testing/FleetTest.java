package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests from the caller to the backend server and back, on real processes. */
class FleetTest {
    private final LocalFleet mFleet = LocalFleet.create();
    private final FleetClient mClient = FleetClient.create();

    @BeforeEach
    void start() {
        mFleet.addInstance("i1", "a");
        mFleet.addInstance("i2", "b");
        mFleet.addInstance("i3", "c");
        mFleet.startInstances(3, "");
        String configuration = mClient.initialConfiguration();
        mFleet.await("first configuration", 30, () -> tryPatch("i1", 0, "first", configuration));
        mFleet.startBackend("engine-a", "a", "assistant", "model");
        mFleet.startBackend("engine-b", "b", "assistant", "model");
        mFleet.startBackend("booking-c", "c", "bookings", "plain");
        mFleet.await(
                "all backend servers ready on all instances",
                30,
                () -> mFleet.instances().stream().allMatch(i -> isReady(i, 3)));
    }

    @AfterEach
    void stop() {
        mFleet.close();
    }

    private boolean tryPatch(String instance, long baseVersion, String requestId, String toml) {
        String operatorAddress = mFleet.instance(instance).operatorAddress();
        return mClient.patchConfiguration(operatorAddress, baseVersion, requestId, toml).status()
                == 200;
    }

    private boolean isReady(LocalFleet.Instance instance, int expectedServers) {
        int readyServers = 0;
        for (JsonNode row :
                mClient.fetchPage(instance.operatorAddress(), "backends").path("backends")) {
            readyServers += row.path("state").asText().equals("READY") ? 1 : 0;
        }
        int status =
                mClient.send(instance.callerAddress(), "GET", "/readyz", Map.of(), "").status();
        return readyServers == expectedServers && status == 200;
    }

    private String callerAddress(String instance) {
        return mFleet.instance(instance).callerAddress();
    }

    /**
     * Guards against a chat that misses its cached prefix when it comes through another instance.
     */
    @Test
    void returningChatIsRoutedToTheSameServerByAnyInstance() {
        for (int chat = 0; chat < 5; chat++) {
            FleetClient.Answer first = mClient.sendChat(callerAddress("i1"), "chat-" + chat);
            assertEquals(200, first.status(), first.body());
            for (String instance : new String[] {"i2", "i3"}) {
                FleetClient.Answer again =
                        mClient.sendChat(callerAddress(instance), "chat-" + chat);
                assertEquals(first.header("X-Served-By"), again.header("X-Served-By"));
                assertEquals("hit", again.header("X-Cache"));
                assertTrue(again.body().endsWith("data: [DONE]\n\n"), again.body());
            }
        }
    }

    /**
     * Guards against a second execution of a command that is repeated after its instance was
     * killed.
     */
    @Test
    void repeatedCommandRunsOnceAlthoughItsInstanceIsKilled() {
        FleetClient.Answer first =
                mClient.sendBooking(callerAddress("i1"), "order-1", "{\"cylinders\":3}");
        assertEquals(200, first.status(), first.body());
        mFleet.instance("i1").process().kill();
        mFleet.await(
                "a replay of the recorded answer through another instance",
                20,
                () ->
                        mClient.sendBooking(callerAddress("i2"), "order-1", "{\"cylinders\":3}")
                                        .status()
                                == 200);
        FleetClient.Answer again =
                mClient.sendBooking(callerAddress("i2"), "order-1", "{\"cylinders\":3}");
        assertEquals(first.body(), again.body());
        assertEquals("true", again.header("Idempotency-Replayed"));
        FleetClient.Answer other =
                mClient.sendBooking(callerAddress("i2"), "order-1", "{\"cylinders\":4}");
        assertEquals(422, other.status());
        assertEquals("not_run", other.runState());
    }

    /**
     * Guards against new requests in an evacuated zone, and against failures during the evacuation.
     */
    @Test
    void evacuatedZoneGetsNoNewRequestsAfterThreeSeconds() {
        FleetClient.Answer out =
                mClient.send(
                        mFleet.instance("i3").operatorAddress(),
                        "POST",
                        "/operator/v1/zones/a/out",
                        Map.of(),
                        "");
        // Zone a is not yet configured with a region, so the change is rejected as invalid.
        assertEquals(422, out.status(), out.body());
        assertTrue(tryPatch("i3", 1, "zones", "[zones.a]\nregion = \"r1\"\nstate = \"out\""));
        LocalFleet.sleep(3_000);
        for (int chat = 0; chat < 20; chat++) {
            FleetClient.Answer answer =
                    mClient.sendChat(callerAddress("i" + (1 + chat % 3)), "z" + chat);
            assertEquals(200, answer.status(), answer.body());
            assertEquals("engine-b", answer.header("X-Served-By"));
        }
    }

    /** Guards against a graceful stop that truncates answers or exits with an error. */
    @Test
    void gracefulStopExitsWithZeroAndTruncatesNothing() {
        LocalFleet.Instance stopping = mFleet.instance("i2");
        stopping.process().sendSignal("TERM");
        FleetClient.Answer during = mClient.sendChat(stopping.callerAddress(), "during-stop");
        assertEquals(200, during.status(), during.body());
        assertEquals(0, stopping.process().awaitExit());
        for (int chat = 0; chat < 10; chat++) {
            int number = chat;
            mFleet.await(
                    "chat after the stop",
                    10,
                    () -> mClient.sendChat(callerAddress("i1"), "s" + number).status() == 200);
        }
    }
}
