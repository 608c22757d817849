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

/** The client against a server that is a raw socket. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpClientTest {
    private static final int WAIT_SECONDS = 60;

    private static final int LONG_ANSWER_BYTES = 16 << 20;

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

    /** Records what a call reports. */
    private static final class Recorder implements UpstreamListener {
        private final CountDownLatch mDone = new CountDownLatch(1);
        private final CountDownLatch mOverWindow = new CountDownLatch(1);
        private final List<Integer> mHeads = new ArrayList<>();
        private volatile boolean mMaySend = true;
        private volatile int mBodyBytes;
        private volatile int mBoundBytes = Integer.MAX_VALUE;
        private volatile Boolean mMayHaveBeenSent;
        private volatile Exception mCause;

        @Override
        public boolean beforeSend() {
            return mMaySend;
        }

        @Override
        public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
            mHeads.add(status);
        }

        @Override
        public void onBody(ByteBuffer data) {
            mBodyBytes += data.remaining();
            data.position(data.limit());
            if (mBodyBytes > mBoundBytes) {
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

    private UpstreamCall send(Recorder recorder) {
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

    /** Guards against a command reported as unknown though no connection was opened. */
    @Test
    void refusedConnectionIsSurelyNotSent() throws Exception {
        mServer.close();
        Recorder recorder = new Recorder();
        send(recorder);
        recorder.await();
        assertEquals(false, recorder.mMayHaveBeenSent);
    }

    /** Guards against bytes that go out after the caller's deadline. */
    @Test
    void callGivenUpAtTheLastMomentIsSurelyNotSent() throws Exception {
        Recorder recorder = new Recorder();
        recorder.mMaySend = false;
        send(recorder);
        recorder.await();
        assertEquals(false, recorder.mMayHaveBeenSent);
        try (Socket socket = mServer.accept()) {
            assertTrue(readsNothing(socket), "bytes of the request went out");
        }
    }

    private static boolean readsNothing(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    /** Guards against "not run" for a request that the server has read. */
    @Test
    void connectionLostAfterTheRequestMayHaveBeenSent() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder);
        acceptRequest().close();
        recorder.await();
        assertEquals(true, recorder.mMayHaveBeenSent);
    }

    /** Guards against a server that goes on with work nobody waits for. */
    @Test
    void cancelClosesTheConnection() throws Exception {
        Recorder recorder = new Recorder();
        UpstreamCall call = send(recorder);
        try (Socket socket = acceptRequest()) {
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
            call.cancel();
            assertTrue(readsNothing(socket));
        }
        assertNull(recorder.mCause, "a cancelled call reported a failure");
        assertEquals(1, recorder.mDone.getCount());
    }

    /** Guards against an interim answer that is taken for the answer. */
    @Test
    void interimAnswersAreSkipped() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder);
        try (Socket socket = acceptRequest()) {
            write(socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n");
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            recorder.await();
        }
        assertEquals(List.of(200), recorder.mHeads);
        assertEquals(2, recorder.mBodyBytes);
    }

    /** Guards against an answer of known length that is read faster than it is released. */
    @Test
    void windowHoldsForAnAnswerOfKnownLength() throws Exception {
        windowHolds("Content-Length: " + LONG_ANSWER_BYTES, "x".repeat(16 << 10));
    }

    /** Guards against a chunked answer that is read faster than it is released. */
    @Test
    void windowHoldsForAChunkedAnswer() throws Exception {
        windowHolds("Transfer-Encoding: chunked", "4000\r\n" + "x".repeat(16 << 10) + "\r\n");
    }

    private void windowHolds(String framing, String part) throws Exception {
        Recorder recorder = new Recorder();
        recorder.mBoundBytes = UpstreamCall.WINDOW_BYTES;
        UpstreamCall call = send(recorder);
        Socket socket = acceptRequest();
        Thread writer = new Thread(() -> writeAnswer(socket, framing, part));
        writer.start();
        assertFalse(
                recorder.mOverWindow.await(2, TimeUnit.SECONDS),
                () -> recorder.mBodyBytes + " bytes arrived without a release");
        // Released in small steps, every byte arrives.
        int released = 0;
        while (recorder.mDone.getCount() > 0) {
            int arrived = recorder.mBodyBytes;
            recorder.mBoundBytes = arrived + UpstreamCall.WINDOW_BYTES;
            call.releaseWindow(arrived - released);
            released = arrived;
            recorder.mDone.await(1, TimeUnit.MILLISECONDS);
        }
        assertEquals(1, recorder.mOverWindow.getCount(), "more than the window arrived at once");
        assertEquals(LONG_ANSWER_BYTES, recorder.mBodyBytes);
        assertNull(recorder.mCause);
        writer.join();
        socket.close();
    }

    private static void writeAnswer(Socket socket, String framing, String part) {
        try {
            OutputStream out = socket.getOutputStream();
            write(socket, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            byte[] bytes = part.getBytes(StandardCharsets.ISO_8859_1);
            for (int i = 0; i < LONG_ANSWER_BYTES / (16 << 10); i++) {
                out.write(bytes);
            }
            if (framing.endsWith("chunked")) {
                write(socket, "0\r\n\r\n");
            }
        } catch (IOException ignored) {
            // The test has failed and closed the connection.
        }
    }
}
