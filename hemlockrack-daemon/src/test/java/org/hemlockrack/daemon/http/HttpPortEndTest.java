package org.hemlockrack.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;

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
