package org.hemlockrack.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What slow and bad callers get, over raw sockets. */
class HttpPortTest {
    private static final long LONG_MILLIS = 600_000;
    private static final long SHORT_MILLIS = 200;
    private static final String GET = "GET /echo HTTP/1.1\r\nHost: h\r\n\r\n";

    private final CountDownLatch mCancelled = new CountDownLatch(1);
    private final AtomicInteger mHandled = new AtomicInteger();
    private final BlockingQueue<Responder> mHeld = new LinkedBlockingQueue<>();
    private final List<RawClient> mClients = new ArrayList<>();
    private HttpPort mPort;

    private static HttpLimits limits(long headMillis, long bodyMillis, long writeMillis) {
        return new HttpLimits(
                1_000, 20, 512, 3, LONG_MILLIS, headMillis, bodyMillis, writeMillis, 1);
    }

    private static HttpLimits patient() {
        return limits(LONG_MILLIS, LONG_MILLIS, LONG_MILLIS);
    }

    private void open(HttpLimits limits) {
        mPort = HttpPort.open("test", new InetSocketAddress("127.0.0.1", 0), limits, this::answer);
    }

    private void answer(HttpCall call, Responder responder) {
        responder.onCancel(mCancelled::countDown);
        mHandled.incrementAndGet();
        if (call.path().equals("/held")) {
            mHeld.add(responder);
            return;
        }
        if (call.path().equals("/endless")) {
            responder.sendHead(200, List.of(), Responder.UNKNOWN_LENGTH);
            responder.onDrain(bytes -> fill(responder));
            fill(responder);
            return;
        }
        if (call.path().equals("/note")) {
            byte[] note = String.valueOf(call.header("X-Note")).getBytes(StandardCharsets.UTF_8);
            responder.send(200, List.of(), note);
            return;
        }
        byte[] text =
                (call.method() + " " + call.target() + " " + call.bodyText())
                        .getBytes(StandardCharsets.UTF_8);
        responder.send(200, List.of(), text);
    }

    private static void fill(Responder responder) {
        while (responder.queuedBytes() < UpstreamCall.WINDOW_BYTES) {
            responder.write(ByteBuffer.allocate(8 << 10));
        }
    }

    @AfterEach
    void close() throws IOException {
        for (RawClient client : mClients) {
            client.close();
        }
        mPort.close();
    }

    private RawClient connect() throws IOException {
        RawClient client = RawClient.connect(mPort);
        mClients.add(client);
        return client;
    }

    private static void assertRefused(String kind, int status, String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        assertTrue(answer.contains("\"kind\":\"" + kind + "\""), answer);
        assertTrue(answer.contains("\"ran\":\"not_run\""), answer);
        assertTrue(answer.toLowerCase().contains("connection: close"), answer);
    }

    private void assertRefused(String kind, int status, RawClient client) throws IOException {
        assertRefused(kind, status, client.readAll());
    }

    private static String post(String headers, String body) {
        return "POST /echo HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
    }

    /** Guards against answers of pipelined requests in another order or lost. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        open(patient());
        connect().write(GET.replace("echo", "1") + GET.replace("echo", "2"));
        RawClient client = mClients.get(0);
        client.readUntil("GET /1 ");
        client.readUntil("GET /2 ");
    }

    /** Guards against a caller that holds many requests open over one connection. */
    @Test
    void tooManyPipelinedRequestsAreRefused() throws Exception {
        open(patient());
        RawClient client = connect();
        client.write(GET.replace("echo", "held") + GET.repeat(40));
        while (mHandled.get() < 16) {
            Thread.sleep(1);
        }
        mHeld.take().send(200, List.of(), new byte[0]);
        String answers = client.readUntil("}}");
        assertEquals(15, answers.split("GET /echo ", -1).length - 1);
        assertTrue(answers.contains("RATE_LIMITED"), answers);
        assertEquals(16, mHandled.get());
    }

    /** Guards against a second key or command key that is dropped silently. */
    @Test
    void repeatedIdentityFieldsAreRefused() throws IOException {
        open(patient());
        for (String name : List.of("Authorization", "Idempotency-Key")) {
            RawClient client = connect();
            client.write(post(name + ": a\r\n" + name + ": b\r\nContent-Length: 0\r\n", ""));
            assertRefused("BAD_REQUEST", 400, client);
        }
    }

    /** Guards against a NUL that ends a field value early at a reader behind this one. */
    @Test
    void nulInValueIsReadAsSpace() throws IOException {
        open(patient());
        String head = GET.replace("echo", "note");
        String field = "X-Note: a" + (char) 0 + "b\r\n\r\n";
        connect().write(head.substring(0, head.length() - 2) + field).readUntil("a b");
    }

    /** Guards against a hanging or cut answer to HEAD and to a request without a body. */
    @Test
    void headGetsNoBodyAndTheConnectionGoesOn() throws Exception {
        open(patient());
        RawClient client = connect().write(GET.replace("GET", "HEAD"));
        String head = client.readUntil("\r\n\r\n");
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        client.write(GET).readUntil("GET /echo ");
        assertFalse(
                mCancelled.await(0, TimeUnit.MILLISECONDS), "a HEAD answer counts as cancelled");
    }

    /** Guards against chunked bodies that are lost or cut. */
    @Test
    void chunkedBodyIsRead() throws IOException {
        open(patient());
        connect()
                .write(post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"))
                .readUntil("POST /echo abcde");
    }

    /** Guards against a caller that waits with its body for an interim answer. */
    @Test
    void expectationIsAnsweredBeforeTheBody() throws IOException {
        open(patient());
        RawClient client =
                connect().write(post("Expect: 100-continue\r\nContent-Length: 3\r\n", ""));
        client.readUntil("HTTP/1.1 100 Continue\r\n");
        client.write("abc").readUntil("POST /echo abc");
    }

    /** Guards against request smuggling by two framings. */
    @Test
    void ambiguousFramingIsRefused() throws IOException {
        open(patient());
        String two = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";
        for (String headers :
                List.of(
                        two,
                        "Content-Length: 1\r\nContent-Length: 2\r\n",
                        "Content-Length: -1\r\n",
                        "Transfer-Encoding: gzip\r\n",
                        "Transfer-Encoding: chunked, chunked\r\n")) {
            try (RawClient client = RawClient.connect(mPort)) {
                client.write(post(headers, "0\r\n\r\n" + GET));
                String answer = client.readUntil("}}");
                assertRefused("BAD_REQUEST", 400, answer);
                assertFalse(client.readAll().contains("GET /echo"), headers);
            }
        }
    }

    /** Guards against malformed requests without a JSON answer. */
    @Test
    void malformedRequestsAreRefused() throws IOException {
        open(patient());
        for (String request :
                List.of(
                        "nonsense\r\n\r\n",
                        "GET /echo HTTP/3.7\r\nHost: h\r\n\r\n",
                        "GET /echo HTTP/1.1\r\n\r\n",
                        "GET /echo HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n",
                        post("Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n"))) {
            try (RawClient client = RawClient.connect(mPort)) {
                assertRefused("BAD_REQUEST", 400, client.write(request).readUntil("}}"));
            }
        }
    }

    /** Guards against heads that take memory without bound. */
    @Test
    void largeHeadsAreRefused() throws IOException {
        open(patient());
        String longLine = "X: " + "y".repeat(5_000) + "\r\n";
        assertRefused(
                "HEADERS_TOO_LARGE", 431, connect().write(post(longLine, "")).readUntil("}}"));
        String many = "X: y\r\n".repeat(30);
        assertRefused("HEADERS_TOO_LARGE", 431, connect().write(post(many, "")).readUntil("}}"));
    }

    /** Guards against bodies that take memory without bound. */
    @Test
    void largeBodiesAreRefused() throws IOException {
        open(patient());
        String stated = post("Content-Length: 1001\r\n", "x");
        assertRefused("BODY_TOO_LARGE", 413, connect().write(stated).readUntil("}}"));
        String chunk = "1f4\r\n" + "x".repeat(500) + "\r\n";
        String chunked = post("Transfer-Encoding: chunked\r\n", chunk.repeat(3));
        assertRefused("BODY_TOO_LARGE", 413, connect().write(chunked).readUntil("}}"));
    }

    /** Guards against a connection that stays open after a refusal though its caller sends on. */
    @Test
    void refusedCallerIsClosedThoughItSendsOn() throws Exception {
        open(patient());
        RawClient client = connect().write(post("Content-Length: 100000000\r\n", "x"));
        client.readUntil("}}");
        client.writeUntilClosed("x", 60_000);
        assertEquals("", client.readAll());
    }

    /** Guards against a caller that holds a connection by sending its head byte by byte. */
    @Test
    void slowHeadIsRefused() throws Exception {
        open(limits(SHORT_MILLIS, LONG_MILLIS, LONG_MILLIS));
        RawClient dripping = connect();
        dripping.write("GET / HTTP/1.1\r\n");
        dripping.writeUntilClosed("X", 500);
        assertRefused("REQUEST_TIMEOUT", 408, dripping);
        assertRefused("REQUEST_TIMEOUT", 408, connect().write("GET / HT"));
    }

    /** Guards against a head timeout that hits idle connections between two requests. */
    @Test
    void idleConnectionHasNoHeadTimeout() throws Exception {
        open(limits(SHORT_MILLIS, SHORT_MILLIS, SHORT_MILLIS));
        RawClient client = connect().write(GET);
        client.readUntil("GET /echo ");
        Thread.sleep(4 * SHORT_MILLIS);
        client.write(GET).readUntil("GET /echo ");
    }

    /** Guards against a caller that never completes its body. */
    @Test
    void slowBodyIsRefused() throws IOException {
        open(limits(LONG_MILLIS, SHORT_MILLIS, LONG_MILLIS));
        RawClient client = connect().write(post("Content-Length: 5\r\n", "a"));
        assertRefused("REQUEST_TIMEOUT", 408, client);
    }

    /** Guards against a connection that nobody uses for ever. */
    @Test
    void idleConnectionIsClosed() throws IOException {
        open(
                new HttpLimits(
                        1_000, 20, 512, 3, SHORT_MILLIS, LONG_MILLIS, LONG_MILLIS, LONG_MILLIS, 1));
        assertEquals("", connect().readAll());
    }

    /** Guards against a caller that does not read its stream and holds the work for ever. */
    @Test
    void callerThatDoesNotReadIsCutOff() throws Exception {
        open(limits(LONG_MILLIS, LONG_MILLIS, SHORT_MILLIS));
        RawClient client = RawClient.connect(mPort, 4 << 10);
        mClients.add(client);
        client.write(GET.replace("echo", "endless"));
        assertTrue(mCancelled.await(60, TimeUnit.SECONDS), "the stream was not given up");
        connect().write(GET).readUntil("GET /echo ");
    }

    /** Guards against callers that take all connections: some are told, the rest is closed. */
    @Test
    void connectionsAboveTheLimitsAreRefusedOrClosed() throws IOException {
        open(patient());
        for (int i = 0; i < 3; i++) {
            connect().write(GET).readUntil("GET /echo ");
        }
        int refusals = patient().hardMaxConnections() - 3;
        List<RawClient> refused = new ArrayList<>();
        for (int i = 0; i < refusals; i++) {
            refused.add(connect().write("GET /echo HTTP/1.1\r\n"));
        }
        // One I/O thread takes connections over in their order, so the next one is above both
        // limits.
        assertEquals("", connect().readAll());
        for (RawClient client : refused) {
            assertRefused("RATE_LIMITED", 429, client.write("Host: h\r\n\r\n").readUntil("}}"));
        }
        mClients.get(0).write(GET).readUntil("GET /echo ");
    }
}
