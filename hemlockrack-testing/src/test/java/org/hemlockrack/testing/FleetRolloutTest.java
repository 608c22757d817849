package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Moves of traffic between model versions over real processes. */
class FleetRolloutTest {
    private static final int THREADS = 12;
    private static final long DEADLINE_MILLIS = 45_000;

    private final LocalFleet mFleet = LocalFleet.create();
    private final FleetClient mClient = FleetClient.create();
    private final ExecutorService mCallers = Executors.newFixedThreadPool(THREADS);
    private final AtomicInteger mNextChat = new AtomicInteger();

    @BeforeEach
    void start() {
        mFleet.addInstance("i1", "a");
        mFleet.addInstance("i2", "b");
        mFleet.addInstance("i3", "c");
        mFleet.startInstances(3, "");
        String first = mClient.initialConfiguration();
        mFleet.await(
                "configuration",
                30,
                () ->
                        mClient.patchConfiguration(operators("i1"), 0, "first", first).status()
                                == 200);
        for (String zone : List.of("a", "b", "c")) {
            mFleet.startBackend(
                    "engine-" + zone,
                    zone,
                    "assistant",
                    "model",
                    "--tokens",
                    "2",
                    "--token-ms",
                    "1",
                    "--prefill-ms",
                    "2",
                    "--limit",
                    "64");
        }
        mFleet.await(
                "engines on every instance",
                30,
                () -> mFleet.instances().stream().allMatch(i -> engines(i.id()).size() == 3));
    }

    @AfterEach
    void stop() {
        mCallers.shutdownNow();
        mFleet.close();
    }

    private String operators(String instance) {
        return mFleet.instance(instance).operatorAddress();
    }

    private List<String> engines(String instance) {
        List<String> addresses = new ArrayList<>();
        for (JsonNode row : mClient.fetchPage(operators(instance), "backends").path("backends")) {
            if (row.path("state").asText().equals("READY")) {
                addresses.add(row.path("address").asText());
            }
        }
        return addresses;
    }

    private void startRollout(double firstShare) {
        String body =
                String.format(
                        "{\"service\":\"assistant\",\"model\":\"assistant\",\"from\":\"v1\","
                                + "\"to\":\"v2\",\"deadline_ms\":%d,\"first_share\":%s}",
                        DEADLINE_MILLIS, firstShare);
        FleetClient.Answer answer =
                mClient.send(operators("i2"), "POST", "/operator/v1/rollouts", Map.of(), body);
        assertEquals(200, answer.status(), answer.body());
    }

    private JsonNode rollout(String instance) {
        return mClient.fetchPage(operators(instance), "rollouts").path("rollouts").path(0);
    }

    /** Sends chats over all instances and returns how many each version answered. */
    private Map<String, Integer> chats(int count) throws Exception {
        Map<String, Integer> byVersion = new ConcurrentHashMap<>();
        List<Future<?>> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(
                    mCallers.submit(
                            () -> {
                                int chat = mNextChat.incrementAndGet();
                                String instance = "i" + (1 + chat % 3);
                                FleetClient.Answer answer =
                                        mClient.sendChat(
                                                mFleet.instance(instance).callerAddress(),
                                                "r" + chat);
                                byVersion.merge(answer.header("X-Model-Version"), 1, Integer::sum);
                            }));
        }
        for (Future<?> each : all) {
            each.get();
        }
        return byVersion;
    }

    private String describe() {
        StringBuilder text = new StringBuilder("not ended: ").append(rollout("i1"));
        for (LocalFleet.Instance instance : mFleet.instances()) {
            instance.process()
                    .log()
                    .lines()
                    .filter(line -> line.contains("HR16") || line.contains("HR10"))
                    .forEach(line -> text.append('\n').append(instance.id()).append(line));
        }
        return text.append(" chats ").append(mNextChat).toString();
    }

    /** Guards against a good version that never gets its traffic, or a lost roll-out. */
    @Test
    void goodVersionGetsAllTraffic() throws Exception {
        assertEquals(Map.of("v1", 30), chats(30));
        startRollout(0.5);
        long endNanos = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
        while (!rollout("i1").path("status").asText().equals("COMPLETED")) {
            chats(60);
            assertTrue(System.nanoTime() - endNanos < 0, this::describe);
        }
        mFleet.await(
                "completion on every instance",
                10,
                () ->
                        mFleet.instances().stream()
                                .allMatch(
                                        i ->
                                                rollout(i.id())
                                                        .path("status")
                                                        .asText()
                                                        .equals("COMPLETED")));
        assertEquals(Map.of("v2", 30), chats(30));
    }

    /** Guards against a bad version that keeps getting traffic after its fault showed. */
    @Test
    void badVersionIsRolledBackAndGetsNoMoreTraffic() throws Exception {
        for (String engine : engines("i1")) {
            mClient.send(engine, "POST", "/faults", Map.of(), "1.0 v2");
        }
        startRollout(0.2);
        long endNanos = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
        while (!rollout("i3").path("status").asText().equals("ROLLED_BACK")) {
            chats(30);
            assertTrue(System.nanoTime() - endNanos < 0, this::describe);
        }
        mFleet.await(
                "rollback on every instance within the 2 s of the fleet",
                2,
                () ->
                        mFleet.instances().stream()
                                .allMatch(i -> rollout(i.id()).path("share").asDouble() == 0));
        assertEquals(Map.of("v1", 60), chats(60));
        assertFalse(rollout("i1").path("reason").asText().equals("NONE"));
    }
}
