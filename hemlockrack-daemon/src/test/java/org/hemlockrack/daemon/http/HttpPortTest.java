package org.hemlockrack.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
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
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how the server handles slow, malformed and excessive requests, over raw sockets. */
class HttpPortTest {
    private static final long LONG_MILLIS = 600_000;
    private static final long SHORT_MILLIS = 200;
    private static final String GET = "GET /echo HTTP/1.1\r\nHost: h\r\n\r\n";

    private CountDownLatch mCancelled = new CountDownLatch(1);
    private final AtomicInteger mHandled = new AtomicInteger();
    private final BlockingQueue<Responder> mPendingResponders = new LinkedBlockingQueue<>();
    private final List<RawClient> mClients = new ArrayList<>();
    private HttpPort mPort;

    private static HttpLimits limits(long headMillis, long bodyMillis, long writeMillis) {
        return new HttpLimits(
                1_000, 20, 512, 3, LONG_MILLIS, headMillis, bodyMillis, writeMillis, 1);
    }

    private static HttpLimits longTimeouts() {
        return limits(LONG_MILLIS, LONG_MILLIS, LONG_MILLIS);
    }

    private void open(HttpLimits limits) {
        mPort = HttpPort.open("test", new InetSocketAddress("127.0.0.1", 0), limits, this::handle);
    }

    private void handle(HttpCall call, Responder responder) {
        responder.onCancel(mCancelled::countDown);
        mHandled.incrementAndGet();
        if (call.path().equals("/held")) {
            mPendingResponders.add(responder);
            return;
        }
        if (call.path().equals("/endless")) {
            responder.sendHead(200, List.of(), Responder.UNKNOWN_LENGTH);
            responder.onDrain(bytes -> fillWindow(responder));
            fillWindow(responder);
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

    private static void fillWindow(Responder responder) {
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

    private static void assertRefused(String kind, int status, String response) {
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        assertTrue(response.contains("\"kind\":\"" + kind + "\""), response);
        assertTrue(response.contains("\"ran\":\"not_run\""), response);
        assertTrue(response.toLowerCase().contains("connection: close"), response);
    }

    private void assertRefused(String kind, int status, RawClient client) throws IOException {
        assertRefused(kind, status, client.readAll());
    }

    private static String post(String headers, String body) {
        return "POST /echo HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
    }

    /** Guards against lost or reordered responses to pipelined requests. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        open(longTimeouts());
        connect().write(GET.replace("echo", "1") + GET.replace("echo", "2"));
        RawClient client = mClients.get(0);
        client.readUntil("GET /1 ");
        client.readUntil("GET /2 ");
    }

    /** Guards against a client with an unbounded number of open requests on one connection. */
    @Test
    void tooManyPipelinedRequestsAreRefused() throws Exception {
        open(longTimeouts());
        RawClient client = connect();
        client.write(GET.replace("echo", "held") + GET.repeat(40));
        while (mHandled.get() < 16) {
            Thread.sleep(1);
        }
        mPendingResponders.take().send(200, List.of(), new byte[0]);
        String responses = client.readUntil("}}");
        assertEquals(15, responses.split("GET /echo ", -1).length - 1);
        assertTrue(responses.contains("RATE_LIMITED"), responses);
        assertEquals(16, mHandled.get());
    }

    /** Guards against silently ignoring a second access key or idempotency key. */
    @Test
    void repeatedIdentityFieldsAreRefused() throws IOException {
        open(longTimeouts());
        for (String name : List.of("Authorization", "Idempotency-Key")) {
            RawClient client = connect();
            client.write(post(name + ": a\r\n" + name + ": b\r\nContent-Length: 0\r\n", ""));
            assertRefused("BAD_REQUEST", 400, client);
        }
    }

    /** Guards against forwarding a NUL, at which another process may truncate the field value. */
    @Test
    void nulInValueIsReadAsSpace() throws IOException {
        open(longTimeouts());
        String head = GET.replace("echo", "note");
        String field = "X-Note: a" + (char) 0 + "b\r\n\r\n";
        connect().write(head.substring(0, head.length() - 2) + field).readUntil("a b");
    }

    /**
     * Guards against a hanging or truncated response to HEAD, and against counting it as cancelled.
     */
    @Test
    void headGetsNoBodyAndConnectionStaysUsable() throws Exception {
        open(longTimeouts());
        RawClient client = connect().write(GET.replace("GET", "HEAD"));
        String head = client.readUntil("\r\n\r\n");
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        client.write(GET).readUntil("GET /echo ");
        assertFalse(
                mCancelled.await(0, TimeUnit.MILLISECONDS),
                "a HEAD response was counted as cancelled");
    }

    /** Guards against lost or truncated chunked bodies. */
    @Test
    void chunkedBodyIsRead() throws IOException {
        open(longTimeouts());
        connect()
                .write(post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"))
                .readUntil("POST /echo abcde");
    }

    /** Guards against a client that waits forever for "100 Continue" before it sends the body. */
    @Test
    void expectContinueIsAnsweredBeforeTheBody() throws IOException {
        open(longTimeouts());
        RawClient client =
                connect().write(post("Expect: 100-continue\r\nContent-Length: 3\r\n", ""));
        client.readUntil("HTTP/1.1 100 Continue\r\n");
        client.write("abc").readUntil("POST /echo abc");
    }

    /** Guards against request smuggling by a body whose end is ambiguous. */
    @Test
    void ambiguousFramingIsRefused() throws IOException {
        open(longTimeouts());
        String bothFramings = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";
        for (String headers :
                List.of(
                        bothFramings,
                        "Content-Length: 1\r\nContent-Length: 2\r\n",
                        "Content-Length: -1\r\n",
                        "Transfer-Encoding: gzip\r\n",
                        "Transfer-Encoding: chunked, chunked\r\n")) {
            try (RawClient client = RawClient.connect(mPort)) {
                client.write(post(headers, "0\r\n\r\n" + GET));
                String response = client.readUntil("}}");
                assertRefused("BAD_REQUEST", 400, response);
                assertFalse(client.readAll().contains("GET /echo"), headers);
            }
        }
    }

    /** Guards against malformed requests that get no JSON error response. */
    @Test
    void malformedRequestsAreRefused() throws IOException {
        open(longTimeouts());
        for (String request :
                List.of(
                        "nonsense\r\n\r\n",
                        "GET /echo HTTP/3.7\r\nHost: h\r\n\r\n",
                        "GET /echo HTTP/1.1\r\n\r\n",
                        "GET /echo HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n",
                        "GET /echo HTTP/1.1\r\nHost: h\r\nX Y: z\r\n\r\n",
                        "GET /echo HTTP/1.1\r\nHost: h\r\nX\0Y: z\r\n\r\n",
                        "GET /echo HTTP/1.1\r\nHost: h\r\nX(Y): z\r\n\r\n",
                        "GET /echo HTTP/1.1\r\nHost : h\r\n\r\n",
                        "GET /echo HTTP/1.1\r\n X: y\r\nHost: h\r\n\r\n",
                        post("Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n"),
                        post("Transfer-Encoding: chunked\r\n", "+3\r\nabc\r\n0\r\n\r\n"),
                        post("Transfer-Encoding: chunked\r\n", "4\r\nabc\r\n0\r\n\r\n"))) {
            try (RawClient client = RawClient.connect(mPort)) {
                assertRefused("BAD_REQUEST", 400, client.write(request).readUntil("}}"));
            }
        }
    }

    /** Guards against request heads that use unbounded memory. */
    @Test
    void largeHeadsAreRefused() throws IOException {
        open(longTimeouts());
        String longLine = "X: " + "y".repeat(5_000) + "\r\n";
        assertRefused(
                "HEADERS_TOO_LARGE", 431, connect().write(post(longLine, "")).readUntil("}}"));
        String manyFields = "X: y\r\n".repeat(30);
        assertRefused(
                "HEADERS_TOO_LARGE", 431, connect().write(post(manyFields, "")).readUntil("}}"));
    }

    /** Guards against request bodies that use unbounded memory. */
    @Test
    void largeBodiesAreRefused() throws IOException {
        open(longTimeouts());
        String longContentLength = post("Content-Length: 1001\r\n", "x");
        assertRefused("BODY_TOO_LARGE", 413, connect().write(longContentLength).readUntil("}}"));
        String chunk = "1f4\r\n" + "x".repeat(500) + "\r\n";
        String chunked = post("Transfer-Encoding: chunked\r\n", chunk.repeat(3));
        assertRefused("BODY_TOO_LARGE", 413, connect().write(chunked).readUntil("}}"));
    }

    /** Guards against a refused client that keeps its connection open by sending more data. */
    @Test
    void connectionOfRefusedClientIsClosedWhileItSends() throws Exception {
        open(longTimeouts());
        RawClient client = connect().write(post("Content-Length: 100000000\r\n", "x"));
        client.readUntil("}}");
        client.writeUntilClosed("x", 60_000);
        assertEquals("", client.readAll());
    }

    /** Guards against a client that keeps a connection open by sending its head byte by byte. */
    @Test
    void slowHeadIsRefused() throws Exception {
        open(limits(SHORT_MILLIS, LONG_MILLIS, LONG_MILLIS));
        RawClient slowClient = connect();
        slowClient.write("GET / HTTP/1.1\r\n");
        slowClient.writeUntilClosed("X", 500);
        assertRefused("REQUEST_TIMEOUT", 408, slowClient);
        assertRefused("REQUEST_TIMEOUT", 408, connect().write("GET / HT"));
    }

    /** Guards against applying the head timeout to an idle connection between two requests. */
    @Test
    void idleConnectionHasNoHeadTimeout() throws Exception {
        open(limits(SHORT_MILLIS, SHORT_MILLIS, SHORT_MILLIS));
        RawClient client = connect().write(GET);
        client.readUntil("GET /echo ");
        Thread.sleep(4 * SHORT_MILLIS);
        client.write(GET).readUntil("GET /echo ");
    }

    /** Guards against a client that never completes its request body. */
    @Test
    void slowBodyIsRefused() throws IOException {
        open(limits(LONG_MILLIS, SHORT_MILLIS, LONG_MILLIS));
        RawClient client = connect().write(post("Content-Length: 5\r\n", "a"));
        assertRefused("REQUEST_TIMEOUT", 408, client);
    }

    /**
     * Guards against work that goes on for a client that has closed its connection before any byte
     * of the response.
     */
    @Test
    void closedConnectionCancelsTheRequestThatWaits() throws Exception {
        String post = "POST /held HTTP/1.1\r\nHost: h\r\n";
        String held = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n";
        for (String request :
                List.of(
                        held,
                        GET + held,
                        post + "Content-Length: 4\r\n\r\nbody",
                        post + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")) {
            open(longTimeouts());
            mCancelled = new CountDownLatch(1);
            RawClient client = connect().write(request);
            assertNotNull(mPendingResponders.poll(10, TimeUnit.SECONDS), request);
            client.close();
            assertTrue(mCancelled.await(2, TimeUnit.SECONDS), request);
            close();
        }
    }

    /** Guards against idle connections that stay open forever. */
    @Test
    void idleConnectionIsClosed() throws IOException {
        open(
                new HttpLimits(
                        1_000, 20, 512, 3, SHORT_MILLIS, LONG_MILLIS, LONG_MILLIS, LONG_MILLIS, 1));
        assertEquals("", connect().readAll());
    }

    /**
     * Guards against a client that does not read a stream and so keeps the request open forever.
     */
    @Test
    void stalledReaderIsDisconnected() throws Exception {
        open(limits(LONG_MILLIS, LONG_MILLIS, SHORT_MILLIS));
        RawClient client = RawClient.connect(mPort, 4 << 10);
        mClients.add(client);
        client.write(GET.replace("echo", "endless"));
        assertTrue(mCancelled.await(60, TimeUnit.SECONDS), "the stream was not cancelled");
        connect().write(GET).readUntil("GET /echo ");
    }

    /**
     * Guards against clients that use up all connections. A limited number above the limit get an
     * error response, the rest are closed immediately.
     */
    @Test
    void connectionsAboveTheLimitsAreRefusedOrClosed() throws IOException {
        open(longTimeouts());
        for (int i = 0; i < 3; i++) {
            connect().write(GET).readUntil("GET /echo ");
        }
        int refusals = longTimeouts().hardMaxConnections() - 3;
        List<RawClient> refused = new ArrayList<>();
        for (int i = 0; i < refusals; i++) {
            refused.add(connect().write("GET /echo HTTP/1.1\r\n"));
        }
        // A single I/O thread registers connections in the order in which they were accepted, so
        // the next one exceeds both limits.
        assertEquals("", connect().readAll());
        for (RawClient client : refused) {
            assertRefused("RATE_LIMITED", 429, client.write("Host: h\r\n\r\n").readUntil("}}"));
        }
        mClients.get(0).write(GET).readUntil("GET /echo ");
    }

    /**
     * Guards against a stop that closes a connection whose request has not arrived, and against one
     * that keeps connections open after it.
     */
    @Test
    void stoppingPortServesOpenConnectionsOnce() throws Exception {
        open(longTimeouts());
        RawClient accepted = connect();
        RawClient sending = connect();
        sending.write(post("Content-Length: 4\r\n", "bo"));
        awaitOpen(2, 1);
        mPort.stopAccepting();
        accepted.write(GET);
        String answer = accepted.readAll();
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertTrue(answer.contains("Connection: close"), answer);
        mPort.closeIdleConnections();
        TimeUnit.MILLISECONDS.sleep(200);
        awaitOpen(1, 1);
        sending.write("dy");
        assertTrue(sending.readAll().startsWith("HTTP/1.1 200"));
        awaitOpen(0, 0);
    }

    /** Guards against a client whose input never pauses and keeps all others from being read. */
    @Test
    @Timeout(30)
    void clientThatSendsWithoutPauseDoesNotHoldUpOthers() throws Exception {
        open(
                new HttpLimits(
                        Integer.MAX_VALUE,
                        20,
                        512,
                        3,
                        LONG_MILLIS,
                        LONG_MILLIS,
                        LONG_MILLIS,
                        LONG_MILLIS,
                        1));
        RawClient sender = connect();
        sender.write(post("Transfer-Encoding: chunked\r\n", ""));
        String chunks = "1\r\nx\r\n".repeat(50_000);
        CountDownLatch isSending = new CountDownLatch(1);
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    sender.write(chunks);
                                    isSending.countDown();
                                }
                            } catch (IOException e) {
                                // Expected: the test has ended.
                            }
                        });
        thread.start();
        isSending.await();
        RawClient other = connect();
        other.write(GET);
        assertTrue(other.readUntil("GET /echo").startsWith("HTTP/1.1 200 "));
        sender.close();
        thread.join();
    }

    /** Guards against connections that the kernel accepts after the stop and that are reset. */
    @Test
    void stoppedPortRefusesConnectionsAtOnce() throws Exception {
        open(longTimeouts());
        connect();
        awaitOpen(1, 0);
        mPort.stopAccepting();
        assertThrows(ConnectException.class, this::connect);
    }

    /**
     * Guards against a request whose body has not arrived at the end of a stop, and that is cut.
     */
    @Test
    void stoppingPortRefusesIncompleteRequests() throws Exception {
        open(longTimeouts());
        RawClient sending = connect();
        sending.write(post("Content-Length: 4\r\n", "bo"));
        awaitOpen(1, 1);
        mPort.stopAccepting();
        mPort.closeIdleConnections();
        assertEquals(1, mPort.refuseIncompleteRequests());
        assertRefused("NOT_READY", 503, sending.readUntil("}"));
        assertEquals(0, mHandled.get());
        assertEquals(0, mPort.refuseIncompleteRequests());
    }

    private void awaitOpen(int connections, int exchanges) throws InterruptedException {
        for (int i = 0; i < 500; i++) {
            if (mPort.openConnections() == connections && mPort.openExchanges() == exchanges) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertEquals(connections, mPort.openConnections());
        assertEquals(exchanges, mPort.openExchanges());
    }

    /**
     * Guards against a request whose client has broken off its head or its chunks, and that is
     * handled without the rest of its header fields or body.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /echo HTTP/1.1\r\nHost: h\r\n",
                "GET /echo HTTP/1.1\r\nHost: h\r\nX-Note: a",
                "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "2\r\nok\r\n0\r\nX: y\r\n"
            })
    void brokenOffRequestIsNotHandled(String request) throws Exception {
        open(longTimeouts());
        RawClient client = connect();
        client.write(request);
        client.shutdownOutput();
        client.readAll();
        assertEquals(0, mHandled.get());
    }

    /**
     * Guards against an order that is carried out for a client which has left, and against a client
     * that is taken for gone while it waits or sends its next request.
     */
    @Test
    void clientThatHasLeftIsNotConnected() throws Exception {
        open(longTimeouts());
        RawClient client = connect();
        client.write(GET.replace("echo", "held"));
        Responder responder = mPendingResponders.take();
        assertTrue(responder.checkConnected().get(5, TimeUnit.SECONDS));
        client.write(GET.substring(0, 10));
        assertTrue(responder.checkConnected().get(5, TimeUnit.SECONDS));
        client.write(GET.substring(10));
        responder.send(200, List.of(), "one".getBytes(StandardCharsets.UTF_8));
        client.readUntil("one");
        client.readUntil("GET /echo");
        client.write(GET.replace("echo", "held"));
        responder = mPendingResponders.take();
        client.close();
        assertFalse(responder.checkConnected().get(5, TimeUnit.SECONDS));
        assertFalse(responder.checkConnected().get(5, TimeUnit.SECONDS));
    }

    /**
     * Guards against a check of the client that never ends: the client resets its connection while
     * the connection's I/O thread is writing.
     */
    @Test
    void clientThatResetsItsConnectionIsNotConnected() throws Exception {
        open(longTimeouts());
        for (int i = 0; i < 2_000; i++) {
            RawClient client = connect();
            client.write(GET + GET.replace("echo", "held"));
            Responder responder = mPendingResponders.take();
            client.reset();
            assertFalse(responder.checkConnected().get(5, TimeUnit.SECONDS));
        }
    }
}
