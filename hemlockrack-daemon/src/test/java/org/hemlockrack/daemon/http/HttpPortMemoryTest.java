package org.hemlockrack.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.hemlockrack.limits.RequestMemory;
import org.hemlockrack.limits.RequestMemory.Kind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A port whose memory is enough for one large body, but not for two. */
@Timeout(60)
class HttpPortMemoryTest {
    private static final int BODY_BYTES = 200 << 10;
    private static final long STALL_MILLIS = 100;

    private final RequestMemory mMemory = RequestMemory.of(512 << 10, STALL_MILLIS);
    private final BlockingQueue<Responder> mResponders = new LinkedBlockingQueue<>();
    private HttpPort mPort;

    @BeforeEach
    void open() {
        mPort =
                HttpPort.open(
                        "test",
                        new InetSocketAddress("127.0.0.1", 0),
                        HttpLimits.defaults(),
                        mMemory,
                        (call, responder) -> mResponders.add(responder),
                        null);
    }

    @AfterEach
    void close() {
        mPort.close();
    }

    private RawClient post(int bytes) throws IOException {
        String head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
        return RawClient.connect(mPort).write(head).write("x".repeat(bytes));
    }

    private void awaitHeld(long minBytes, long maxBytes) throws InterruptedException {
        long bytes = -1;
        while (bytes < minBytes || bytes > maxBytes) {
            Thread.sleep(10);
            bytes = mMemory.heldBytes(Kind.BODY) + mMemory.heldBytes(Kind.HEAD);
        }
    }

    private void answer(RawClient client) throws Exception {
        mResponders.take().send(200, List.of(), new byte[0]);
        client.readUntil("HTTP/1.1 200");
    }

    /** Guards against idle connections that keep new ones out, and against ending more than one. */
    @Test
    void longestIdleConnectionEndsForANewOne() throws Exception {
        mPort.close();
        HttpLimits limits = new HttpLimits(1 << 10, 100, 1 << 10, 2, 9_000, 9_000, 9_000, 9_000, 1);
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        mPort =
                HttpPort.open(
                        "test",
                        any,
                        limits,
                        mMemory,
                        (call, responder) -> mResponders.add(responder),
                        null);
        String request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        try (RawClient first = RawClient.connect(mPort).write(request)) {
            answer(first);
            // The port may note the end of a response after the client has read it.
            Thread.sleep(STALL_MILLIS);
            try (RawClient second = RawClient.connect(mPort).write(request)) {
                answer(second);
                Thread.sleep(2 * STALL_MILLIS);
                try (RawClient third = RawClient.connect(mPort).write(request)) {
                    answer(third);
                    first.readAll();
                    answer(second.write(request));
                }
            }
        }
    }

    /** Guards against a refusal of a request that runs, and against memory that is not returned. */
    @Test
    void requestWithoutRoomIsRefusedAsNotRun() throws Exception {
        try (RawClient first = post(BODY_BYTES)) {
            awaitHeld(BODY_BYTES, Long.MAX_VALUE);
            try (RawClient second = post(BODY_BYTES)) {
                String refusal = second.readUntil("not_run");
                assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
            }
            answer(first);
        }
        try (RawClient third = post(BODY_BYTES)) {
            answer(third);
        }
        assertTrue(mResponders.isEmpty());
        awaitHeld(0, 0);
    }

    /** Guards against a stalled request that keeps its memory while another needs it. */
    @Test
    void stalledRequestIsRefusedAsNotRun() throws Exception {
        try (RawClient stalled = post(BODY_BYTES - 1)) {
            awaitHeld(BODY_BYTES, Long.MAX_VALUE);
            Thread.sleep(2 * STALL_MILLIS);
            try (RawClient next = post(BODY_BYTES)) {
                answer(next);
            }
            String refusal = stalled.readUntil("not_run");
            assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
        }
        assertEquals(1, mMemory.evictions());
        awaitHeld(0, 0);
    }
}
