package org.hemlockrack.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Whether the client reports a failed request as sent, and how long it waits for a response. */
class HttpClientSendTest {
    private static final long WAIT_SECONDS = 30;

    private final AtomicInteger mBeforeSendCalls = new AtomicInteger();
    private final CompletableFuture<Boolean> mMayHaveBeenSent = new CompletableFuture<>();
    private final CompletableFuture<Integer> mStatus = new CompletableFuture<>();

    /** Records the events of a call. */
    private final class RecordingListener implements UpstreamListener {
        private final boolean mAllowSend;

        RecordingListener(boolean allowSend) {
            mAllowSend = allowSend;
        }

        @Override
        public boolean beforeSend() {
            mBeforeSendCalls.incrementAndGet();
            return mAllowSend;
        }

        @Override
        public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
            mStatus.complete(status);
        }

        @Override
        public void onBody(ByteBuffer data) {
            data.position(data.limit());
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailed(Exception cause, boolean mayHaveBeenSent) {
            mMayHaveBeenSent.complete(mayHaveBeenSent);
        }
    }

    private void send(HttpClient client, String target, boolean allowSend) {
        client.send(
                target, "POST", "/", List.of(), new byte[] {'x'}, new RecordingListener(allowSend));
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against reporting a command as possibly executed if its connection was refused. */
    @Test
    void refusedConnectionIsReportedAsNotSent() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        try (HttpClient client = HttpClient.open(1, 1_000, 10_000, false)) {
            send(client, "127.0.0.1:" + port, true);
            assertFalse(get(mMayHaveBeenSent));
            assertEquals(0, mBeforeSendCalls.get());
        }
    }

    /** Guards against a lease check that runs before the connection is open. */
    @Test
    void beforeSendIsCalledOnceConnected() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        try (HttpPort port =
                        HttpPort.open(
                                "test",
                                any,
                                HttpLimits.defaults(),
                                (call, responder) -> {
                                    calls.incrementAndGet();
                                    responder.sendJson(200, "{}");
                                });
                HttpClient client = HttpClient.open(1, 1_000, 10_000, false)) {
            String target = "127.0.0.1:" + port.address().getPort();
            send(client, target, false);
            assertFalse(get(mMayHaveBeenSent));
            assertEquals(0, calls.get());
            send(client, target, true);
            assertEquals(200, get(mStatus));
            assertEquals(2, mBeforeSendCalls.get());
            assertEquals(1, calls.get());
        }
    }

    /** Guards against the connect timeout being applied to the wait for the response. */
    @Test
    void responseMayTakeLongerThanConnectTimeout() throws Exception {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        Executor later = CompletableFuture.delayedExecutor(1_500, TimeUnit.MILLISECONDS);
        try (HttpPort port =
                        HttpPort.open(
                                "test",
                                any,
                                HttpLimits.defaults(),
                                (call, responder) ->
                                        later.execute(() -> responder.sendJson(200, "{}")));
                HttpClient client = HttpClient.open(1, 500, 60_000, false)) {
            send(client, "127.0.0.1:" + port.address().getPort(), true);
            assertEquals(200, get(mStatus));
        }
    }

    /**
     * Guards against reporting a request as not sent if the connection closes without a response.
     */
    @Test
    void connectionClosedWithoutResponseMayHaveBeenSent() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpClient client = HttpClient.open(1, 1_000, 10_000, false)) {
            Thread closer = new Thread(() -> readThenClose(socket));
            closer.start();
            send(client, "127.0.0.1:" + socket.getLocalPort(), true);
            assertEquals(true, get(mMayHaveBeenSent));
            closer.join();
        }
    }

    private static void readThenClose(ServerSocket socket) {
        try (var accepted = socket.accept()) {
            accepted.getInputStream().read();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
