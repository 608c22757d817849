package org.hemlockrack.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what clients receive when the server closes their connections. */
class HttpPortEndTest {
    private static final long LONG_MILLIS = 600_000;
    private static final long SHORT_MILLIS = 200;
    private static final String GET = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String POST = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n";

    /** Fits into the buffers of the kernel, but not into the receive buffer of the client. */
    private static final int MEDIUM_BYTES = 200 << 10;

    /** More than the buffers of the kernel hold. */
    private static final int LARGE_BYTES = 24 << 20;

    private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

    private final BlockingQueue<Responder> mResponders = new LinkedBlockingQueue<>();
    private final CompletableFuture<String> mCancelReason = new CompletableFuture<>();
    private final List<RawClient> mClients = new ArrayList<>();
    private HttpPort mPort;

    @BeforeEach
    void open() {
        open(LONG_MILLIS, LONG_MILLIS);
    }

    private void open(long bodyMillis, long writeMillis) {
        HttpLimits limits =
                new HttpLimits(
                        1 << 20,
                        20,
                        512,
                        100,
                        LONG_MILLIS,
                        LONG_MILLIS,
                        bodyMillis,
                        writeMillis,
                        1);
        mPort = HttpPort.open("test", new InetSocketAddress("127.0.0.1", 0), limits, this::handle);
    }

    private void handle(HttpCall call, Responder responder) {
        responder.onCancel(() -> mCancelReason.complete(responder.cancelReason()));
        mResponders.add(responder);
    }

    @AfterEach
    void close() throws IOException {
        for (RawClient client : mClients) {
            client.close();
        }
        mPort.close();
    }

    private RawClient connect() throws IOException {
        RawClient client = RawClient.connect(mPort, RECEIVE_BUFFER_BYTES);
        mClients.add(client);
        return client;
    }

    private Responder takeResponder() throws InterruptedException {
        Responder responder = mResponders.poll(10, TimeUnit.SECONDS);
        assertNotNull(responder);
        return responder;
    }

    private static long afterMillis(long millis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static void assertWhole(int bodyBytes, byte[] response) {
        assertNotNull(response, "the connection was reset");
        int headBytes = new String(response, StandardCharsets.ISO_8859_1).indexOf("\r\n\r\n") + 4;
        assertEquals(bodyBytes, response.length - headBytes);
    }

    /** Guards against a complete response that is cut because its client reads slowly. */
    @Test
    void queuedResponseIsWrittenAtTheEnd() throws Exception {
        RawClient client = connect().write(GET);
        takeResponder().send(200, List.of(), new byte[LARGE_BYTES]);
        CompletableFuture<Integer> untaken =
                CompletableFuture.supplyAsync(() -> mPort.finish(afterMillis(20_000)));
        TimeUnit.MILLISECONDS.sleep(SHORT_MILLIS);
        assertWhole(LARGE_BYTES, client.readToEnd());
        client.close();
        assertEquals(0, untaken.get(5, TimeUnit.SECONDS));
    }

    /** Guards against the loss of what the kernel has not sent yet. */
    @Test
    void responseInTheKernelIsSentAfterTheEnd() throws Exception {
        RawClient client = connect().write(GET);
        takeResponder().send(200, List.of(), new byte[MEDIUM_BYTES]);
        assertEquals(0, mPort.finish(afterMillis(SHORT_MILLIS)));
        assertWhole(MEDIUM_BYTES, client.readToEnd());
    }

    /** Guards against a response that is cut without being counted, and that looks complete. */
    @Test
    void untakenResponseIsCountedAndReset() throws Exception {
        RawClient client = connect().write(GET);
        takeResponder().send(200, List.of(), new byte[LARGE_BYTES]);
        connect().write(GET.replace("1.1", "1.0"));
        Responder unknownLength = takeResponder();
        unknownLength.sendHead(200, List.of(), Responder.UNKNOWN_LENGTH);
        unknownLength.write(ByteBuffer.allocate(LARGE_BYTES));
        unknownLength.end();
        TimeUnit.MILLISECONDS.sleep(SHORT_MILLIS);
        assertEquals(2, mPort.finish(afterMillis(SHORT_MILLIS)));
        assertNull(client.readToEnd());
        assertNull(mClients.get(1).readToEnd());
    }

    /** Guards against an aborted response without a length that looks complete. */
    @Test
    void abortedResponseEndsByReset() throws Exception {
        RawClient client = connect().write(GET.replace("1.1", "1.0"));
        Responder responder = takeResponder();
        responder.sendHead(200, List.of(), Responder.UNKNOWN_LENGTH);
        responder.write(ByteBuffer.allocate(10));
        responder.abort();
        assertEquals(0, mPort.finish(afterMillis(SHORT_MILLIS)));
        assertNull(client.readToEnd());
    }

    /**
     * Guards against input that nobody has read and that turns the close after a response into a
     * reset, which discards the rest of the response.
     */
    @Test
    void unreadInputDoesNotCutTheResponse() throws Exception {
        for (boolean idle : List.of(false, true)) {
            RawClient client = connect().write(GET);
            Responder responder = takeResponder();
            if (!idle) {
                mPort.stopAccepting();
            }
            responder.send(200, List.of(), new byte[MEDIUM_BYTES]);
            TimeUnit.MILLISECONDS.sleep(SHORT_MILLIS);
            if (idle) {
                mPort.closeIdleConnections();
                TimeUnit.MILLISECONDS.sleep(SHORT_MILLIS);
            }
            client.write(POST);
            TimeUnit.MILLISECONDS.sleep(SHORT_MILLIS);
            assertWhole(MEDIUM_BYTES, client.readToEnd());
            mPort.close();
            open();
        }
    }

    /** Guards against an abort that cuts a response whose last byte was passed on already. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void abortDoesNotCutCompleteResponse(boolean ended) throws Exception {
        RawClient client = connect().write(GET);
        Responder responder = takeResponder();
        responder.sendHead(200, List.of(), LARGE_BYTES);
        responder.write(ByteBuffer.allocate(LARGE_BYTES));
        if (ended) {
            responder.end();
        }
        responder.abort();
        responder.end();
        mPort.stopAccepting();
        mPort.closeIdleConnections();
        assertWhole(LARGE_BYTES, client.readToEnd());
    }

    /** Guards against a refusal that is lost because the client sends its body for a while. */
    @Test
    void refusalIsReadAfterTheBodyWasSent() throws Exception {
        RawClient client = connect().write(POST);
        TimeUnit.MILLISECONDS.sleep(SHORT_MILLIS);
        assertEquals(1, mPort.refuseIncompleteRequests());
        for (int i = 0; i < 10; i++) {
            client.write("x");
            TimeUnit.MILLISECONDS.sleep(300);
        }
        byte[] response = client.readToEnd();
        assertNotNull(response, "the connection was reset");
        assertTrue(new String(response, StandardCharsets.UTF_8).startsWith("HTTP/1.1 503 "));
    }

    /** Guards against a closing response that is cut because its client pauses. */
    @Test
    void slowReaderGetsTheClosingResponse() throws Exception {
        RawClient client = connect().write(GET);
        Responder responder = takeResponder();
        mPort.stopAccepting();
        responder.send(200, List.of(), new byte[LARGE_BYTES]);
        TimeUnit.SECONDS.sleep(3);
        assertWhole(LARGE_BYTES, client.readToEnd());
    }

    /** Guards against refused clients that hold their connections for ever. */
    @Test
    void connectionOfSilentRefusedClientIsClosed() throws Exception {
        mPort.close();
        open(SHORT_MILLIS, LONG_MILLIS);
        connect().write(POST);
        for (int i = 0; i < 100 && mPort.openConnections() == 0; i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertEquals(1, mPort.openConnections());
        for (int i = 0; i < 100 && mPort.openConnections() > 0; i++) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        assertEquals(0, mPort.openConnections());
    }

    /** Guards against pipelined requests that are handled and get no response in a stop. */
    @Test
    void pipelinedRequestsAreAnsweredInStop() throws Exception {
        RawClient client = connect().write(GET.repeat(3));
        List<Responder> responders = List.of(takeResponder(), takeResponder(), takeResponder());
        mPort.stopAccepting();
        mPort.closeIdleConnections();
        for (Responder responder : responders) {
            responder.send(200, List.of(), "whole".getBytes(StandardCharsets.UTF_8));
        }
        byte[] response = client.readToEnd();
        assertNotNull(response, "the connection was reset");
        String text = new String(response, StandardCharsets.UTF_8);
        assertEquals(3, text.split("whole", -1).length - 1, text);
    }

    /** Guards against a request that is handled after a response which closes the connection. */
    @Test
    void requestAfterTheClosingResponseIsNotHandled() throws Exception {
        RawClient client = connect().write(GET);
        Responder responder = takeResponder();
        mPort.stopAccepting();
        responder.sendHead(200, List.of(), Responder.UNKNOWN_LENGTH);
        responder.write(ByteBuffer.wrap("part".getBytes(StandardCharsets.UTF_8)));
        client.readUntil("part");
        client.write(GET + POST + "x".repeat(100));
        assertNull(mResponders.poll(SHORT_MILLIS, TimeUnit.MILLISECONDS));
        responder.end();
        byte[] rest = client.readToEnd();
        assertNotNull(rest, "the connection was reset");
        assertEquals("\r\n0\r\n\r\n", new String(rest, StandardCharsets.UTF_8));
    }

    /** Guards against a client that is blamed for a connection which the server has closed. */
    @Test
    void cancelReasonTellsWhoClosed() throws Exception {
        mPort.close();
        open(LONG_MILLIS, SHORT_MILLIS);
        connect().write(GET);
        Responder responder = takeResponder();
        responder.sendHead(200, List.of(), Responder.UNKNOWN_LENGTH);
        responder.write(ByteBuffer.allocate(LARGE_BYTES));
        assertEquals("the caller has stopped reading", mCancelReason.get(30, TimeUnit.SECONDS));
        assertFalse(responder.cancelReason().isEmpty());
    }

    /** Guards against a client that has left and is not named as the one that closed. */
    @Test
    void cancelReasonTellsThatTheClientLeft() throws Exception {
        RawClient client = connect().write(GET);
        takeResponder();
        client.close();
        assertEquals("the caller closed the connection", mCancelReason.get(30, TimeUnit.SECONDS));
    }
}
