package org.hemlockrack.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that a stopping port answers all pipelined requests that it has handled. */
class PipelinedStopTest {
    /** A client ignores what follows a response with this field. */
    private static final String CLOSE = "Connection: close";

    private static final int SEEDS = 3;
    private static final int CLIENTS = 24;
    private static final int PIPELINED = 3;
    private static final int MAX_RESPONSE_MILLIS = 60;
    private static final int MAX_PAUSE_MILLIS = 8;
    private static final long DRAIN_MILLIS = 5_000;

    private final Set<String> mHandled = ConcurrentHashMap.newKeySet();
    private final Set<String> mAnswered = ConcurrentHashMap.newKeySet();
    private final BlockingQueue<Responder> mResponders = new LinkedBlockingQueue<>();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final ExecutorService mClients = Executors.newFixedThreadPool(CLIENTS);

    @AfterEach
    void close() {
        mTimer.shutdownNow();
        mClients.shutdownNow();
    }

    private static HttpPort openPort(CallHandler handler) {
        return HttpPort.open(
                "test", new InetSocketAddress("127.0.0.1", 0), HttpLimits.defaults(), handler);
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String bodyFor(String path) {
        return path + ";";
    }

    private static void send(Responder responder, String path) {
        responder.send(200, List.of(), bodyFor(path).getBytes(StandardCharsets.UTF_8));
    }

    private Responder takeResponder() throws InterruptedException {
        Responder responder = mResponders.poll(10, TimeUnit.SECONDS);
        assertNotNull(responder);
        return responder;
    }

    /** Asserts that all responses arrive, and that none says that no more follow but the last. */
    private static void assertAllAnswered(RawClient client) throws IOException {
        String text = client.readAll();
        for (String path : List.of("/a", "/b", "/c")) {
            assertEquals(1, text.split(bodyFor(path), -1).length - 1, path + " in: " + text);
        }
        int closeIndex = text.indexOf(CLOSE);
        assertTrue(closeIndex < 0 || closeIndex > text.indexOf(bodyFor("/b")), text);
    }

    private static void awaitClosed(HttpPort port) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS);
        while (port.openConnections() > 0 && System.nanoTime() - deadlineNanos < 0) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Guards against a first response that closes the connection as the last one is ready. */
    @Test
    void responsesInReverseOrderAreSent() throws Exception {
        HttpPort port = openPort((call, responder) -> mResponders.add(responder));
        try (RawClient client = RawClient.connect(port)) {
            client.write(get("/a") + get("/b") + get("/c"));
            List<Responder> responders = List.of(takeResponder(), takeResponder(), takeResponder());
            port.stopAccepting();
            send(responders.get(2), "/c");
            send(responders.get(1), "/b");
            send(responders.get(0), "/a");
            mTimer.schedule(port::closeNow, DRAIN_MILLIS, TimeUnit.MILLISECONDS);
            assertAllAnswered(client);
        } finally {
            port.closeNow();
        }
    }

    /** Guards against a close, requested during one request, that drops the next ones. */
    @Test
    void requestsAfterTheIdleCloseAreAnswered() throws Exception {
        HttpPort port = openPort((call, responder) -> mResponders.add(responder));
        try (RawClient client = RawClient.connect(port)) {
            client.write(get("/a"));
            Responder first = takeResponder();
            port.stopAccepting();
            port.closeIdleConnections();
            client.write(get("/b") + get("/c"));
            Responder second = takeResponder();
            Responder third = takeResponder();
            send(first, "/a");
            send(second, "/b");
            send(third, "/c");
            mTimer.schedule(port::closeNow, DRAIN_MILLIS, TimeUnit.MILLISECONDS);
            assertAllAnswered(client);
        } finally {
            port.closeNow();
        }
    }

    /** Guards against handled requests that get no response when the port stops at any moment. */
    @Test
    void handledRequestsAreAnsweredAtAnyMomentOfTheStop() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            stopDuringPipelinedRequests(seed);
        }
        assertFalse(mHandled.isEmpty());
        Set<String> lost = new TreeSet<>(mHandled);
        lost.removeAll(mAnswered);
        assertEquals(
                0,
                lost.size(),
                () -> "of " + mHandled.size() + " handled requests no response to " + lost);
    }

    private void stopDuringPipelinedRequests(int seed) throws Exception {
        Random random = new Random(seed);
        HttpPort port = openPort((call, responder) -> answerLater(seed, call.path(), responder));
        List<Future<?>> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String prefix = "/" + seed + "-" + i;
            Random pauses = new Random(random.nextLong());
            clients.add(
                    mClients.submit(
                            () -> {
                                sendRequests(port, prefix, pauses);
                                return null;
                            }));
        }
        TimeUnit.MILLISECONDS.sleep(100 + random.nextInt(200));
        port.stopAccepting();
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_RESPONSE_MILLIS));
        port.closeIdleConnections();
        awaitClosed(port);
        port.closeNow();
        for (Future<?> client : clients) {
            client.get(DRAIN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void answerLater(int seed, String path, Responder responder) {
        mHandled.add(path);
        int delayMillis = new Random(31L * path.hashCode() + seed).nextInt(MAX_RESPONSE_MILLIS);
        mTimer.schedule(() -> send(responder, path), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Sends groups of pipelined requests until the server ends the connection. */
    private void sendRequests(HttpPort port, String prefix, Random pauses)
            throws InterruptedException {
        try (RawClient client = RawClient.connect(port)) {
            for (int group = 0; true; group++) {
                String groupPrefix = prefix + "-" + group + "-";
                writeGroup(client, groupPrefix, pauses);
                for (int i = 0; i < PIPELINED; i++) {
                    String response = client.readUntil(bodyFor(groupPrefix + i));
                    mAnswered.add(groupPrefix + i);
                    if (response.contains(CLOSE)) {
                        return;
                    }
                }
            }
        } catch (IOException ignored) {
            // Expected: the server has ended the connection.
        }
    }

    private static void writeGroup(RawClient client, String groupPrefix, Random pauses)
            throws InterruptedException {
        try {
            for (int i = 0; i < PIPELINED; i++) {
                client.write(get(groupPrefix + i));
                TimeUnit.MILLISECONDS.sleep(pauses.nextInt(MAX_PAUSE_MILLIS));
            }
        } catch (IOException ignored) {
            // The responses to the requests written before can still be read.
        }
    }
}
