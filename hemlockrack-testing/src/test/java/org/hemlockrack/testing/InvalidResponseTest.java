package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What a caller gets through an instance from servers that send invalid responses. One of the two
 * instances owns the server, the other one passes requests on to it.
 */
class InvalidResponseTest {
    /** More than the buffers of a connection hold. */
    private static final String UPLOAD = "x".repeat(12 << 20);

    private static final AtomicInteger KEYS = new AtomicInteger();

    private static final LocalFleet FLEET = LocalFleet.create();
    private static final FleetClient CLIENT = FleetClient.create();
    private static final RawServer SERVER = RawServer.open("X-Request-Id", "");

    @BeforeAll
    static void start() {
        String operators = FLEET.addInstance("i1", "a").operatorAddress();
        FLEET.addInstance("i2", "a");
        FLEET.startInstances(1, "[http]\nmax_body_bytes = 16777216\n");
        String first = CLIENT.initialConfiguration();
        FLEET.await(
                "configuration",
                60,
                () -> CLIENT.patchConfiguration(operators, 0, "first", first).status() == 200);
        FLEET.startBackend("b1", "a", "bookings", "plain", "--advertise", SERVER.address());
        for (String instance : new String[] {"i1", "i2"}) {
            FLEET.await("the server", 60, () -> send(instance, "").status() == 200);
        }
    }

    @AfterAll
    static void stop() throws IOException {
        FLEET.close();
        SERVER.close();
    }

    private static FleetClient.Answer send(String instance, String body) {
        String caller = FLEET.instance(instance).callerAddress();
        return CLIENT.sendBooking(caller, "key-" + KEYS.incrementAndGet(), body);
    }

    /** Guards against a part of a response that a caller takes for the whole one. */
    @ParameterizedTest
    @ValueSource(strings = {"i1", "i2"})
    void resetDuringTheUploadIsNoEndOfTheResponse(String instance) {
        SERVER.setResponse(RawServer.Response.PART_THEN_RESET);
        int requests = SERVER.requests();
        try {
            FleetClient.Answer answer = send(instance, UPLOAD);
            assertNotEquals(200, answer.status(), answer::body);
        } catch (UncheckedIOException e) {
            // A broken connection is no complete response.
        }
        assertTrue(SERVER.requests() > requests);
    }

    /** Guards against a response without a valid status that reaches a caller. */
    @ParameterizedTest
    @ValueSource(strings = {"i1", "i2"})
    void invalidStatusIsNoResponse(String instance) {
        SERVER.setResponse(RawServer.Response.INVALID_STATUS);
        int requests = SERVER.requests();
        FleetClient.Answer answer = send(instance, "body");
        assertTrue(answer.status() >= 500, answer::toString);
        assertEquals("unknown", answer.runState(), answer::body);
        assertTrue(SERVER.requests() > requests, answer::body);
    }

    /** Guards against a malformed response that reaches a caller, or whose refusal is believed. */
    @ParameterizedTest
    @EnumSource(
            value = RawServer.Response.class,
            mode = EnumSource.Mode.MATCH_ANY,
            names = {"MALFORMED_.*", "CONTROL_IN_NAME", "NO_FIELD"})
    void malformedResponseIsNoResponse(RawServer.Response response) {
        for (String instance : List.of("i1", "i2")) {
            SERVER.setResponse(response);
            int requests = SERVER.requests();
            FleetClient.Answer answer = send(instance, "body");
            assertEquals(502, answer.status(), answer::toString);
            assertEquals("unknown", answer.runState(), answer::body);
            assertEquals(1, SERVER.requests() - requests, answer::body);
        }
    }

    /**
     * Guards against an early response that is lost, and against the next request being sent after
     * the unfinished upload on the same connection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"i1", "i2"})
    void earlyResponseArrivesWhole(String instance) {
        SERVER.setResponse(RawServer.Response.COMPLETE);
        for (int i = 0; i < 4; i++) {
            FleetClient.Answer answer = send(instance, i % 2 == 0 ? UPLOAD : "body");
            assertEquals(200, answer.status(), answer::body);
            assertEquals(RawServer.BODY, answer.body());
        }
    }
}
