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

/** Roll-outs of a new model version, on real processes. */
class FleetRolloutTest {
    private static final int THREADS = 12;
    private static final long DEADLINE_MILLIS = 45_000;

    private final LocalFleet mFleet = LocalFleet.create();
    private final FleetClient mClient = FleetClient.create();
    private final ExecutorService mCallers = Executors.newFixedThreadPool(THREADS);
    private final AtomicInteger mLastChatNumber = new AtomicInteger();

    @BeforeEach
    void start() {
        mFleet.addInstance("i1", "a");
        mFleet.addInstance("i2", "b");
        mFleet.addInstance("i3", "c");
        mFleet.startInstances(3, "");
        String configuration = mClient.initialConfiguration();
        mFleet.await(
                "configuration",
                30,
                () ->
                        mClient.patchConfiguration(operatorAddress("i1"), 0, "first", configuration)
                                        .status()
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
                () ->
                        mFleet.instances().stream()
                                .allMatch(i -> readyEngineAddresses(i.id()).size() == 3));
    }

    @AfterEach
    void stop() {
        mCallers.shutdownNow();
        mFleet.close();
    }

    private String operatorAddress(String instance) {
        return mFleet.instance(instance).operatorAddress();
    }

    private List<String> readyEngineAddresses(String instance) {
        List<String> addresses = new ArrayList<>();
        for (JsonNode row :
                mClient.fetchPage(operatorAddress(instance), "backends").path("backends")) {
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
                mClient.send(
                        operatorAddress("i2"), "POST", "/operator/v1/rollouts", Map.of(), body);
        assertEquals(200, answer.status(), answer.body());
    }

    private JsonNode fetchRollout(String instance) {
        return mClient.fetchPage(operatorAddress(instance), "rollouts").path("rollouts").path(0);
    }

    /** Sends chats to all instances and returns the number of answers by model version. */
    private Map<String, Integer> sendChats(int count) throws Exception {
        Map<String, Integer> byVersion = new ConcurrentHashMap<>();
        List<Future<?>> answers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            answers.add(
                    mCallers.submit(
                            () -> {
                                int chat = mLastChatNumber.incrementAndGet();
                                String instance = "i" + (1 + chat % 3);
                                FleetClient.Answer answer =
                                        mClient.sendChat(
                                                mFleet.instance(instance).callerAddress(),
                                                "r" + chat);
                                byVersion.merge(answer.header("X-Model-Version"), 1, Integer::sum);
                            }));
        }
        for (Future<?> answer : answers) {
            answer.get();
        }
        return byVersion;
    }

    private String describeState() {
        StringBuilder text = new StringBuilder("rollout not finished: ").append(fetchRollout("i1"));
        for (LocalFleet.Instance instance : mFleet.instances()) {
            instance.process()
                    .readLog()
                    .lines()
                    .filter(line -> line.contains("HR16") || line.contains("HR10"))
                    .forEach(line -> text.append('\n').append(instance.id()).append(line));
        }
        return text.append(" chats ").append(mLastChatNumber).toString();
    }

    /** Guards against a roll-out of a good version that stalls, or that an instance misses. */
    @Test
    void goodVersionGetsAllTraffic() throws Exception {
        assertEquals(Map.of("v1", 30), sendChats(30));
        startRollout(0.5);
        long deadlineNanos = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
        while (!fetchRollout("i1").path("status").asText().equals("COMPLETED")) {
            sendChats(60);
            assertTrue(System.nanoTime() - deadlineNanos < 0, this::describeState);
        }
        mFleet.await(
                "completion on every instance",
                10,
                () ->
                        mFleet.instances().stream()
                                .allMatch(
                                        i ->
                                                fetchRollout(i.id())
                                                        .path("status")
                                                        .asText()
                                                        .equals("COMPLETED")));
        assertEquals(Map.of("v2", 30), sendChats(30));
    }

    /**
     * Guards against a version with failing requests that is not rolled back, or that an instance
     * still uses 2 s after the rollback.
     */
    @Test
    void badVersionIsRolledBackAndGetsNoMoreTraffic() throws Exception {
        for (String engine : readyEngineAddresses("i1")) {
            mClient.send(engine, "POST", "/faults", Map.of(), "1.0 v2");
        }
        startRollout(0.2);
        long deadlineNanos = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
        while (!fetchRollout("i3").path("status").asText().equals("ROLLED_BACK")) {
            sendChats(30);
            assertTrue(System.nanoTime() - deadlineNanos < 0, this::describeState);
        }
        mFleet.await(
                "rollback on every instance within 2 s",
                2,
                () ->
                        mFleet.instances().stream()
                                .allMatch(i -> fetchRollout(i.id()).path("share").asDouble() == 0));
        assertEquals(Map.of("v1", 60), sendChats(60));
        assertFalse(fetchRollout("i1").path("reason").asText().equals("NONE"));
    }
}
