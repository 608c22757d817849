package org.hemlockrack.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the client against a server that reads and writes a raw socket. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpClientTest {
    private static final int WAIT_SECONDS = 60;

    private static final int LONG_RESPONSE_BYTES = 16 << 20;

    private final HttpClient mClient = HttpClient.open(1, 10_000, 600_000, true);
    private ServerSocket mServer;

    @BeforeEach
    void open() throws IOException {
        mServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        mServer.close();
        mClient.close();
    }

    /** Records the events of a call. */
    private static final class RecordingListener implements UpstreamListener {
        private final CountDownLatch mDone = new CountDownLatch(1);
        private final CountDownLatch mOverWindow = new CountDownLatch(1);
        private final List<Integer> mStatuses = new ArrayList<>();
        private volatile boolean mAllowSend = true;
        private volatile int mBodyBytes;
        private volatile int mMaxBodyBytes = Integer.MAX_VALUE;
        private volatile Boolean mMayHaveBeenSent;
        private volatile Exception mCause;

        @Override
        public boolean beforeSend() {
            return mAllowSend;
        }

        @Override
        public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
            mStatuses.add(status);
        }

        @Override
        public void onBody(ByteBuffer data) {
            mBodyBytes += data.remaining();
            data.position(data.limit());
            if (mBodyBytes > mMaxBodyBytes) {
                mOverWindow.countDown();
            }
        }

        @Override
        public void onEnd() {
            mDone.countDown();
        }

        @Override
        public void onFailed(Exception cause, boolean mayHaveBeenSent) {
            mCause = cause;
            mMayHaveBeenSent = mayHaveBeenSent;
            mDone.countDown();
        }

        void await() throws InterruptedException {
            assertTrue(mDone.await(WAIT_SECONDS, TimeUnit.SECONDS), "the call did not end");
        }
    }

    private UpstreamCall send(RecordingListener recorder) {
        String target = "127.0.0.1:" + mServer.getLocalPort();
        return mClient.send(target, "GET", "/", List.of(), new byte[0], recorder);
    }

    private Socket acceptRequest() throws IOException {
        Socket socket = mServer.accept();
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            assertTrue(next >= 0, "the request is incomplete: " + head);
            head.append((char) next);
        }
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Guards against reporting a command as possibly executed although no connection was opened.
     */
    @Test
    void refusedConnectionIsReportedAsNotSent() throws Exception {
        mServer.close();
        RecordingListener recorder = new RecordingListener();
        send(recorder);
        recorder.await();
        assertEquals(false, recorder.mMayHaveBeenSent);
    }

    /**
     * Guards against sending a request that the listener vetoes, as after the caller's deadline.
     */
    @Test
    void vetoBeforeSendIsReportedAsNotSent() throws Exception {
        RecordingListener recorder = new RecordingListener();
        recorder.mAllowSend = false;
        send(recorder);
        recorder.await();
        assertEquals(false, recorder.mMayHaveBeenSent);
        try (Socket socket = mServer.accept()) {
            assertTrue(isAtEndOfStream(socket), "bytes of the request were sent");
        }
    }

    /** Returns whether the client closes the connection without sending another byte. */
    private static boolean isAtEndOfStream(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    /** Guards against reporting a request as not sent although the server has read it. */
    @Test
    void connectionLostAfterSendMayHaveBeenSent() throws Exception {
        RecordingListener recorder = new RecordingListener();
        send(recorder);
        acceptRequest().close();
        recorder.await();
        assertEquals(true, recorder.mMayHaveBeenSent);
    }

    /** Guards against a server that continues to process a cancelled request. */
    @Test
    void cancelClosesTheConnection() throws Exception {
        RecordingListener recorder = new RecordingListener();
        UpstreamCall call = send(recorder);
        try (Socket socket = acceptRequest()) {
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
            call.cancel();
            assertTrue(isAtEndOfStream(socket));
        }
        assertNull(recorder.mCause, "a cancelled call reported a failure");
        assertEquals(1, recorder.mDone.getCount());
    }

    /** Guards against an interim (1xx) response that is taken for the final one. */
    @Test
    void interimResponsesAreSkipped() throws Exception {
        RecordingListener recorder = new RecordingListener();
        send(recorder);
        try (Socket socket = acceptRequest()) {
            write(socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n");
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            recorder.await();
        }
        assertEquals(List.of(200), recorder.mStatuses);
        assertEquals(2, recorder.mBodyBytes);
    }

    /** Guards against reading a response of known length beyond the flow-control window. */
    @Test
    void windowLimitsFixedLengthResponse() throws Exception {
        assertWindowIsRespected("Content-Length: " + LONG_RESPONSE_BYTES, "x".repeat(16 << 10));
    }

    /** Guards against reading a chunked response beyond the flow-control window. */
    @Test
    void windowLimitsChunkedResponse() throws Exception {
        assertWindowIsRespected(
                "Transfer-Encoding: chunked", "4000\r\n" + "x".repeat(16 << 10) + "\r\n");
    }

    private void assertWindowIsRespected(String framing, String part) throws Exception {
        RecordingListener recorder = new RecordingListener();
        recorder.mMaxBodyBytes = UpstreamCall.WINDOW_BYTES;
        UpstreamCall call = send(recorder);
        Socket socket = acceptRequest();
        Thread writer = new Thread(() -> writeResponse(socket, framing, part));
        writer.start();
        assertFalse(
                recorder.mOverWindow.await(2, TimeUnit.SECONDS),
                () -> recorder.mBodyBytes + " bytes arrived before any was released");
        // If bytes are released in small steps, the whole response arrives.
        int released = 0;
        while (recorder.mDone.getCount() > 0) {
            int arrived = recorder.mBodyBytes;
            recorder.mMaxBodyBytes = arrived + UpstreamCall.WINDOW_BYTES;
            call.releaseWindow(arrived - released);
            released = arrived;
            recorder.mDone.await(1, TimeUnit.MILLISECONDS);
        }
        assertEquals(1, recorder.mOverWindow.getCount(), "more than the window arrived at once");
        assertEquals(LONG_RESPONSE_BYTES, recorder.mBodyBytes);
        assertNull(recorder.mCause);
        writer.join();
        socket.close();
    }

    private static void writeResponse(Socket socket, String framing, String part) {
        try {
            OutputStream out = socket.getOutputStream();
            write(socket, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            byte[] bytes = part.getBytes(StandardCharsets.ISO_8859_1);
            for (int i = 0; i < LONG_RESPONSE_BYTES / (16 << 10); i++) {
                out.write(bytes);
            }
            if (framing.endsWith("chunked")) {
                write(socket, "0\r\n\r\n");
            }
        } catch (IOException ignored) {
            // The client closes the connection early only if the test has failed.
        }
    }
}
