package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.settings.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests that are still open when the drain timeout of a stopping instance ends. */
class InstanceStopTest {
    private static final long DRAIN_TIMEOUT_MILLIS = 8_000;
    private static final long DEADLINE_MILLIS = 30_000;
    private static final String CHAT_BODY =
            "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":24,\"messages\":"
                    + "[{\"role\":\"user\",\"content\":\"hello\"}]}";

    private final LocalFleet mFleet = LocalFleet.create();
    private final FleetClient mClient = FleetClient.create();

    private void start(String... moreInstances) {
        LocalFleet.Instance instance = mFleet.addInstance("i1", "a");
        for (String id : moreInstances) {
            mFleet.addInstance(id, "b");
        }
        mFleet.startInstances(1, "[shutdown]\ndrain_timeout_ms = " + DRAIN_TIMEOUT_MILLIS);
        String configuration = mClient.initialConfiguration();
        mFleet.await(
                "first configuration",
                60,
                () ->
                        mClient.patchConfiguration(
                                                instance.operatorAddress(),
                                                0,
                                                "first",
                                                configuration)
                                        .status()
                                == 200);
        mFleet.startBackend("engine", "a", "assistant", "model", "--token-ms", "400");
        mFleet.startBackend("plain", "a", "bookings", "plain", "--token-ms", "20000");
        mFleet.await(
                "two backend servers",
                60,
                () -> mFleet.instances().stream().allMatch(each -> readyServers(each) == 2));
    }

    @AfterEach
    void stop() {
        mFleet.close();
    }

    private int readyServers(LocalFleet.Instance instance) {
        int ready = 0;
        for (var row : mClient.fetchPage(instance.operatorAddress(), "backends").path("backends")) {
            ready += row.path("state").asText().equals("READY") ? 1 : 0;
        }
        boolean isReady =
                mClient.send(instance.callerAddress(), "GET", "/readyz", Map.of(), "").status()
                        == 200;
        return isReady ? ready : 0;
    }

    /** A request on a connection of its own. */
    private final class OpenRequest implements AutoCloseable {
        private final Socket mSocket;

        private OpenRequest(String instance) throws IOException {
            var address = Settings.toAddress(mFleet.instance(instance).callerAddress());
            mSocket = new Socket(address.getAddress(), address.getPort());
            mSocket.setSoTimeout(20_000);
        }

        void sendHead(String path, int lengthBytes) throws IOException {
            write(
                    "POST %s HTTP/1.1\r\nHost: i1\r\nAuthorization: Bearer %s\r\n"
                                    .formatted(path, mClient.bearerKey())
                            + "X-Chat-Id: c1\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
                                    .formatted(DEADLINE_MILLIS, lengthBytes));
        }

        void write(String text) throws IOException {
            mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Returns all that arrives until the connection ends, and how it ended if by an error. */
        String readAll() {
            StringBuilder answer = new StringBuilder();
            byte[] buffer = new byte[4_096];
            try {
                InputStream in = mSocket.getInputStream();
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    answer.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                return answer + " then " + e;
            }
            return answer.toString();
        }

        /** Returns one answer, of which the last bytes are those of its JSON or its last chunk. */
        String readFirst() {
            StringBuilder answer = new StringBuilder();
            try {
                InputStream in = mSocket.getInputStream();
                for (int next = in.read(); next >= 0; next = in.read()) {
                    answer.append((char) next);
                    boolean isError = answer.indexOf("HTTP/1.1 200 ") != 0;
                    if (answer.toString().endsWith(isError ? "}}" : "0\r\n\r\n")) {
                        return answer.toString();
                    }
                }
            } catch (IOException e) {
                return answer + " then " + e;
            }
            return answer + " then the end of the connection";
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }

    private OpenRequest open(String path, String body, int sentBytes) throws IOException {
        return open("i1", path, body, sentBytes);
    }

    private OpenRequest open(String instance, String path, String body, int sentBytes)
            throws IOException {
        OpenRequest request = new OpenRequest(instance);
        request.sendHead(path, body.length());
        request.write(body.substring(0, sentBytes));
        return request;
    }

    private static String await(CompletableFuture<String> answer) throws Exception {
        return answer.get(30, TimeUnit.SECONDS);
    }

    /**
     * Guards against requests that are cut without an answer at the end of the drain timeout, and
     * against an end of the process that is later than this timeout.
     */
    @Test
    void openRequestsEndWithErrorsWithinDrainTimeout() throws Exception {
        start();
        String booking = "oxygen";
        try (OpenRequest command =
                        open("/v1/services/bookings/cylinders", booking, booking.length());
                OpenRequest stream = open("/v1/chat/completions", CHAT_BODY, CHAT_BODY.length());
                OpenRequest incomplete = open("/v1/services/bookings/cylinders", booking, 3)) {
            CompletableFuture<String> commandAnswer =
                    CompletableFuture.supplyAsync(command::readAll);
            CompletableFuture<String> streamAnswer = CompletableFuture.supplyAsync(stream::readAll);
            CompletableFuture<String> incompleteAnswer =
                    CompletableFuture.supplyAsync(incomplete::readAll);
            LocalFleet.sleep(1_000);
            FleetProcess process = mFleet.instance("i1").process();
            long startNanos = System.nanoTime();
            process.sendSignal("TERM");
            String answer = await(commandAnswer);
            assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
            assertTrue(answer.contains("\"ran\":\"unknown\""), answer);
            assertTrue(answer.endsWith("}"), answer);
            answer = await(streamAnswer);
            assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
            assertTrue(answer.contains("event: error\ndata: {\"error\":"), answer);
            assertTrue(answer.endsWith("0\r\n\r\n"), answer);
            answer = await(incompleteAnswer);
            assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
            assertTrue(answer.contains("\"ran\":\"not_run\""), answer);
            assertEquals(0, process.awaitExit());
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(elapsedMillis < DRAIN_TIMEOUT_MILLIS, "exit after " + elapsedMillis + " ms");
        }
    }

    /** Guards against a stopping instance that takes requests in until its end and cuts them. */
    @Test
    void newConnectionsAreRefusedWhileRequestsAreOpen() throws Exception {
        start();
        try (OpenRequest stream = open("/v1/chat/completions", CHAT_BODY, CHAT_BODY.length())) {
            CompletableFuture<String> answer = CompletableFuture.supplyAsync(stream::readAll);
            LocalFleet.sleep(500);
            mFleet.instance("i1").process().sendSignal("TERM");
            LocalFleet.sleep(3_500);
            try (OpenRequest late = open("/v1/services/bookings/cylinders", "late", 4)) {
                throw new AssertionError("the late request was taken in: " + late.readAll());
            } catch (ConnectException e) {
                assertTrue(!answer.isDone(), "the open request has ended");
            }
            await(answer);
        }
    }

    /** Guards against cut answers of other instances whose requests the stopping one owns. */
    @Test
    void requestsOfOtherInstancesEndWithoutACut() throws Exception {
        start("i2");
        String owner =
                mClient.fetchPage(mFleet.instance("i2").operatorAddress(), "backends")
                        .path("backends")
                        .get(0)
                        .path("owner")
                        .asText();
        assertEquals("i1", owner);
        String booking = "oxygen";
        try (OpenRequest command =
                        open("i2", "/v1/services/bookings/cylinders", booking, booking.length());
                OpenRequest stream =
                        open("i2", "/v1/chat/completions", CHAT_BODY, CHAT_BODY.length())) {
            CompletableFuture<String> commandAnswer =
                    CompletableFuture.supplyAsync(command::readFirst);
            CompletableFuture<String> streamAnswer =
                    CompletableFuture.supplyAsync(stream::readFirst);
            LocalFleet.sleep(1_000);
            mFleet.instance("i1").process().sendSignal("TERM");
            String answer = await(commandAnswer);
            assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
            assertTrue(answer.contains("\"ran\":\"unknown\""), answer);
            answer = await(streamAnswer);
            assertTrue(answer.contains("token24 "), answer);
            assertTrue(answer.contains("data: [DONE]"), answer);
        }
    }
}
