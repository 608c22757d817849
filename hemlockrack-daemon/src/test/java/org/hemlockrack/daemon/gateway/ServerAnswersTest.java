package org.hemlockrack.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.daemon.peer.PeerServer;
import org.hemlockrack.dispatch.ServerPool;
import org.hemlockrack.limits.ByteBudget;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.registry.ServerRegistry;
import org.hemlockrack.routing.RerunPolicy;
import org.hemlockrack.routing.Route;
import org.hemlockrack.routing.WeightedService;
import org.hemlockrack.wire.Peer;
import org.hemlockrack.wire.PermitReply;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What callers get for answers that servers write byte by byte over raw sockets. */
class ServerAnswersTest {
    private static final ServiceId SERVICE = ServiceId.of("chat");
    private static final ZoneId ZONE = ZoneId.of("a");
    private static final String ATTEMPT_ID = "request-1";
    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: " + ATTEMPT_ID + "\r\n";
    private static final String FAILURE = "HTTP/1.1 500 Failed\r\nId: " + ATTEMPT_ID + "\r\n";
    private static final String FIRST = "id: 1\ndata: 1\n\n";
    private static final String SECOND = "id: 2\ndata: 2\n\n";

    /** Ends an answer that its server repeats until the gateway closes the connection. */
    private static final String ENDLESS = "\0";

    /** Most bytes of an endless answer that a server may write; includes socket buffers. */
    private static final long MAX_ENDLESS_BYTES = 16 << 20;

    private static final long ANSWER_BUDGET_BYTES = 256 << 10;

    private final EventLoop mLoop = EventLoop.open("test", Throwable::printStackTrace);
    private final DecisionLog mLog = DecisionLog.open("g1", new ByteArrayOutputStream());
    private final HttpClient mClient = HttpClient.open(1, 250, 60_000, true);
    private final HttpClient mSingleUseClient = HttpClient.open(1, 250, 60_000, false);
    private final PeerNetwork mNetwork =
            PeerNetwork.create(InstanceId.of("g1"), Map.of(), null, (address, cause) -> {});
    private final PeerServer mController = startController();
    private final OpenExchanges mOpenExchanges = OpenExchanges.create();
    private final GatewayState mState =
            GatewayState.create(ServerPool.create(ZONE, new SplittableRandom(1)));
    private final ServerRegistry mServers = ServerRegistry.create();
    private final ByteBudget mAnswerBudget = ByteBudget.of(ANSWER_BUDGET_BYTES);
    private final AtomicLong mEndlessBytes = new AtomicLong();
    private final BlockingQueue<String> mAnswers = new LinkedBlockingQueue<>();
    private final List<ServerSocket> mSockets = new ArrayList<>();

    /** Whether connections are kept open and take more than one request. */
    private volatile boolean mKeepsConnections;

    private final Set<Socket> mKeptConnections = ConcurrentHashMap.newKeySet();
    private final Set<Socket> mSilentConnections = ConcurrentHashMap.newKeySet();

    @BeforeEach
    void startServers() throws IOException {
        for (int i = 1; i <= 3; i++) {
            ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            mSockets.add(socket);
            startThread(socket, this::serve);
            String address = "127.0.0.1:" + socket.getLocalPort();
            BackendId id = BackendId.of("server-" + i);
            mServers.recordHeartbeat(
                    mLoop.nowNanos(),
                    new Registration(id, 1, 1, SERVICE, address, ZONE, "v1", 4, false, 0),
                    0);
        }
        mState.mergeServers(mLoop.nowNanos(), mServers.changesSince(mLoop.nowNanos(), 0));
    }

    @AfterEach
    void close() throws IOException {
        for (ServerSocket socket : mSockets) {
            socket.close();
        }
        mClient.close();
        mSingleUseClient.close();
        mNetwork.close();
        mController.close();
        mLoop.close();
        mLog.close();
    }

    private static void startThread(ServerSocket socket, Consumer<Socket> handler) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    handler.accept(socket.accept());
                                }
                            } catch (IOException ignored) {
                                // The test has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads the head of one request, and writes the next answer; then closes the connection. */
    private void serve(Socket socket) {
        if (mKeepsConnections) {
            Thread thread = new Thread(() -> serveUntilClosed(socket));
            thread.setDaemon(true);
            thread.start();
            return;
        }
        try (socket) {
            InputStream in = socket.getInputStream();
            if (!readHead(in)) {
                return;
            }
            String answer = mAnswers.poll(10, TimeUnit.SECONDS);
            if (answer.endsWith(ENDLESS)) {
                flood(socket, answer);
                return;
            }
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            socket.shutdownOutput();
            in.readAllBytes();
        } catch (IOException | InterruptedException ignored) {
            // The gateway has closed the connection.
        }
    }

    private static boolean readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        return true;
    }

    private void serveUntilClosed(Socket socket) {
        String answer = HEAD + "Content-Length: 2\r\n\r\nok";
        mKeptConnections.add(socket);
        try (socket) {
            InputStream in = socket.getInputStream();
            while (readHead(in)) {
                if (!mSilentConnections.contains(socket)) {
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        } catch (IOException ignored) {
            // The gateway has closed the connection.
        }
    }

    /**
     * Guards against requests that fail although their servers can be reached, because each attempt
     * meets another pooled connection that fell silent without a reset.
     */
    @Test
    void requestIsAnsweredAfterPooledConnectionsFellSilent() throws Exception {
        mKeepsConnections = true;
        for (int i = 0; i < 100 && mKeptConnections.size() < mSockets.size(); i++) {
            Caller warmUp = send(RerunPolicy.IDEMPOTENT);
            assertTrue(warmUp.mComplete.get(10, TimeUnit.SECONDS));
            warmUp.release();
        }
        assertEquals(mSockets.size(), mKeptConnections.size());
        mSilentConnections.addAll(mKeptConnections);
        Caller caller = send(RerunPolicy.IDEMPOTENT);
        assertTrue(caller.mComplete.get(20, TimeUnit.SECONDS));
        assertEquals(200, caller.mStatus);
    }

    private void flood(Socket socket, String answer) throws IOException {
        OutputStream out = socket.getOutputStream();
        byte[] block = "x".repeat(64 << 10).getBytes(StandardCharsets.ISO_8859_1);
        out.write(answer.replace(ENDLESS, "").getBytes(StandardCharsets.ISO_8859_1));
        while (mEndlessBytes.get() < 2 * MAX_ENDLESS_BYTES) {
            out.write(block);
            mEndlessBytes.addAndGet(block.length);
        }
    }

    /** Reads the id and the status only. */
    private static final class PlainProtocol extends StubProtocol {
        @Override
        public RequestMetadata readRequest(HttpCall call) {
            return new RequestMetadata(ATTEMPT_ID, "chat.example", -1, null, List.of());
        }

        @Override
        public List<HeaderField> forwardHeaders(
                HttpCall call,
                Registration server,
                @Nullable String workspace,
                int rank,
                long remainingMillis,
                @Nullable String resumeAfterEventId) {
            return List.of();
        }

        @Override
        public AnswerMetadata readAnswerHead(int status, List<HeaderField> headers) {
            String id = HeaderField.firstValue(headers, "Id");
            return new AnswerMetadata(id, true, status == 503, status == 421, false, -1);
        }
    }

    /** What the caller gets. */
    private static final class Caller implements Responder {
        final CompletableFuture<Boolean> mComplete = new CompletableFuture<>();
        final StringBuilder mBody = new StringBuilder();
        int mStatus;
        private @Nullable DrainListener mOnDrain;
        private @Nullable Runnable mOnReleased;

        /** Ends the exchange at the connection, as after its last byte. */
        synchronized void release() {
            mOnReleased.run();
        }

        @Override
        public synchronized void onReleased(Runnable action) {
            mOnReleased = action;
        }

        @Override
        public synchronized void sendHead(int status, List<HeaderField> headers, long length) {
            mStatus = status;
        }

        @Override
        public synchronized int write(ByteBuffer data) {
            int bytes = data.remaining();
            mBody.append(StandardCharsets.UTF_8.decode(data));
            if (mOnDrain != null) {
                mOnDrain.onDrained(bytes);
            }
            return 0;
        }

        @Override
        public int queuedBytes() {
            return 0;
        }

        @Override
        public void end() {
            mComplete.complete(true);
        }

        @Override
        public void abort() {
            mComplete.complete(false);
        }

        @Override
        public void onCancel(Runnable action) {}

        @Override
        public synchronized void onDrain(DrainListener action) {
            mOnDrain = action;
        }
    }

    /** Starts a controller that grants every retry. */
    private static PeerServer startController() {
        Peer.Iface controller =
                (Peer.Iface)
                        Proxy.newProxyInstance(
                                Peer.Iface.class.getClassLoader(),
                                new Class<?>[] {Peer.Iface.class},
                                (proxy, method, arguments) -> new PermitReply(5, 1_000));
        return PeerServer.open(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), controller, null);
    }

    private RetryPermits createPermits() {
        RetryPermits permits =
                RetryPermits.create(mLoop, mNetwork, "g1/1", new RetryLimits(1, 100, 10));
        String address = "127.0.0.1:" + mController.address().getPort();
        permits.setControllers(() -> List.of(address));
        return permits;
    }

    private Caller send(RerunPolicy policy) {
        PlainProtocol protocol = new PlainProtocol();
        GatewayContext context =
                new GatewayContext(
                        mLoop,
                        protocol,
                        mState,
                        createPermits(),
                        GatewayQuarantine.create(mLog),
                        DutyReports.create(ZoneId.of("a")),
                        QueueService.create(
                                mLoop, mState, Metrics.create(), new SplittableRandom(1)),
                        mClient,
                        mSingleUseClient,
                        mOpenExchanges,
                        mAnswerBudget,
                        mLog,
                        Metrics.create(),
                        new SplittableRandom(1));
        Route route =
                new Route(
                        "chat",
                        "chat.example",
                        "/",
                        policy,
                        false,
                        10_000,
                        1_000,
                        300,
                        0,
                        List.of(new WeightedService(SERVICE, 1)),
                        2,
                        true,
                        false);
        HttpCall call = new HttpCall("POST", "/chat", null, List.of(), new byte[0]);
        Caller caller = new Caller();
        new GatewayExchange(context, call, caller, protocol.readRequest(call), route, null, 1)
                .start();
        return caller;
    }

    /**
     * Guards against a stream without a length that a server broke off inside an event, and that
     * looks complete to the caller.
     */
    @Test
    void streamThatEndsInsideAnEventIsNotComplete() throws Exception {
        mAnswers.add(HEAD + "\r\n" + FIRST + "id: 2\nda");
        Caller caller = send(RerunPolicy.STREAM);
        assertFalse(caller.mComplete.get(10, TimeUnit.SECONDS), caller.mBody.toString());
    }

    /** Guards against a stream without a length or chunks that is taken for broken off. */
    @Test
    void streamThatEndsWithItsConnectionIsComplete() throws Exception {
        mAnswers.add(HEAD + "\r\n" + FIRST + SECOND);
        Caller caller = send(RerunPolicy.STREAM);
        assertTrue(caller.mComplete.get(10, TimeUnit.SECONDS));
        assertEquals(FIRST + SECOND, caller.mBody.toString());
    }

    /** Guards against an answer without a length or chunks that is lost or cut. */
    @Test
    void answerThatEndsWithItsConnectionIsComplete() throws Exception {
        mAnswers.add(HEAD + "\r\n" + "x".repeat(100_000));
        Caller caller = send(RerunPolicy.AT_MOST_ONCE);
        assertTrue(caller.mComplete.get(10, TimeUnit.SECONDS));
        assertEquals(100_000, caller.mBody.length());
    }

    /**
     * Guards against a late copy of another request's refusal that is taken for the answer to this
     * one: the caller would be told that the request has not run.
     */
    @Test
    void refusalOfAnotherRequestSaysNothingAboutThisOne() throws Exception {
        for (String other : List.of("503 Full\r\nId: earlier", "503 Full", "421 Misdirected")) {
            mAnswers.clear();
            for (int i = 0; i < 5; i++) {
                mAnswers.add("HTTP/1.1 " + other + "\r\nContent-Length: 0\r\n\r\n");
            }
            Caller caller = send(RerunPolicy.IDEMPOTENT);
            assertTrue(caller.mComplete.get(10, TimeUnit.SECONDS));
            assertEquals(502, caller.mStatus, other);
        }
    }

    /**
     * Guards against a failure with a body without end that fills the memory of the gateway, or
     * that keeps its caller waiting although another server can answer.
     */
    @Test
    void failureWithoutEndIsTriedElsewhere() throws Exception {
        mAnswers.add(FAILURE + "\r\n" + ENDLESS);
        mAnswers.add(HEAD + "Content-Length: 2\r\n\r\nok");
        Caller caller = send(RerunPolicy.IDEMPOTENT);
        assertTrue(caller.mComplete.get(5, TimeUnit.SECONDS));
        assertEquals(200, caller.mStatus);
        assertEquals("ok", caller.mBody.toString());
        assertTrue(mEndlessBytes.get() < MAX_ENDLESS_BYTES, () -> mEndlessBytes + " bytes");
    }

    /** Guards against the same failure of a command, which no other server may run. */
    @Test
    void failureWithoutEndEndsACommand() throws Exception {
        mAnswers.add(FAILURE + "\r\n" + ENDLESS);
        Caller caller = send(RerunPolicy.AT_MOST_ONCE);
        assertTrue(caller.mComplete.get(5, TimeUnit.SECONDS));
        assertEquals(502, caller.mStatus);
        assertTrue(mEndlessBytes.get() < MAX_ENDLESS_BYTES, () -> mEndlessBytes + " bytes");
    }

    /** Guards against a refusal whose body has no end and delays the attempt at another server. */
    @Test
    void refusalWithoutEndIsTriedElsewhere() throws Exception {
        mAnswers.add("HTTP/1.1 503 Full\r\nId: " + ATTEMPT_ID + "\r\n\r\n" + ENDLESS);
        mAnswers.add(HEAD + "Content-Length: 2\r\n\r\nok");
        Caller caller = send(RerunPolicy.AT_MOST_ONCE);
        assertTrue(caller.mComplete.get(5, TimeUnit.SECONDS));
        assertEquals(200, caller.mStatus);
        assertTrue(mEndlessBytes.get() < MAX_ENDLESS_BYTES, () -> mEndlessBytes + " bytes");
    }

    /** Guards against the loss of long answers that are no success and do have an end. */
    @Test
    void longClientErrorIsDelivered() throws Exception {
        for (String length : List.of("", "Content-Length: 200000\r\n")) {
            String head = "HTTP/1.1 422 Invalid\r\nId: " + ATTEMPT_ID + "\r\n" + length;
            mAnswers.add(head + "\r\n" + "x".repeat(200_000));
            Caller caller = send(RerunPolicy.STREAM);
            assertTrue(caller.mComplete.get(5, TimeUnit.SECONDS));
            assertEquals(422, caller.mStatus);
            assertEquals(200_000, caller.mBody.length());
        }
    }

    /**
     * Guards against answers that fit the limit one by one and together exceed the memory, and
     * against memory that is never returned.
     */
    @Test
    void answersOfAllConnectionsKeepWithinTheBudget() throws Exception {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            mAnswers.add(HEAD + "Content-Length: 60000\r\n\r\n" + "x".repeat(60_000));
            callers.add(send(RerunPolicy.IDEMPOTENT));
        }
        for (Caller caller : callers) {
            assertTrue(caller.mComplete.get(10, TimeUnit.SECONDS));
            assertEquals(200, caller.mStatus);
            assertEquals(60_000, caller.mBody.length());
        }
        long reservedBytes = mAnswerBudget.reservedBytes();
        assertTrue(reservedBytes > 0 && reservedBytes <= ANSWER_BUDGET_BYTES);
        callers.forEach(Caller::release);
        assertEquals(0, mAnswerBudget.reservedBytes());
    }

    /**
     * Guards against failures that are kept without memory for them, and against requests that fail
     * for it although another server can answer.
     */
    @Test
    void failureWithoutMemoryIsTriedElsewhere() throws Exception {
        try (ByteBudget.Reservation others = mAnswerBudget.tryReserve(ANSWER_BUDGET_BYTES - 10)) {
            mAnswers.add(FAILURE + "Content-Length: 500\r\n\r\n" + "x".repeat(500));
            mAnswers.add(HEAD + "Content-Length: 500\r\n\r\n" + "y".repeat(500));
            Caller caller = send(RerunPolicy.IDEMPOTENT);
            assertTrue(caller.mComplete.get(5, TimeUnit.SECONDS));
            assertEquals(200, caller.mStatus);
            assertEquals("y".repeat(500), caller.mBody.toString());
        }
    }

    private static String chunked(String text, String end) {
        String size = Integer.toHexString(text.length());
        return "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + text + "\r\n" + end;
    }

    /** Guards against a malformed answer that a caller gets although another server can answer. */
    @Test
    void malformedAnswerIsTriedElsewhere() throws Exception {
        for (String fields :
                List.of(
                        "Content Length: 4",
                        "X\1Y: z\r\nContent-Length: 4",
                        "no field\r\nContent-Length: 4",
                        "Content-Length: +4")) {
            mAnswers.clear();
            mAnswers.add(HEAD + fields + "\r\n\r\nlost");
            mAnswers.add(HEAD + "Content-Length: 2\r\n\r\nok");
            Caller caller = send(RerunPolicy.IDEMPOTENT);
            assertTrue(caller.mComplete.get(10, TimeUnit.SECONDS));
            assertEquals(200, caller.mStatus, fields);
            assertEquals("ok", caller.mBody.toString(), fields);
        }
    }

    /**
     * Guards against a command that is run twice, because the malformed answer of a server was
     * taken for a refusal. Its head may belong to another request, or may have been changed.
     */
    @Test
    void malformedRefusalSaysNothing() throws Exception {
        for (String status : List.of("503 Full", "421 Misdirected")) {
            for (String rest :
                    List.of(
                            "X Y: z\r\nContent-Length: 0\r\n\r\n",
                            "Content-Length: -0\r\n\r\n",
                            "Transfer-Encoding: chunked\r\n\r\n5\r\nfull\r\n0\r\n\r\n",
                            chunked("full", "+0\r\n\r\n"),
                            chunked("full", "0\r\nX Y: z\r\n\r\n"))) {
                mAnswers.clear();
                mAnswers.add("HTTP/1.1 " + status + "\r\nId: " + ATTEMPT_ID + "\r\n" + rest);
                mAnswers.add(HEAD + "Content-Length: 2\r\n\r\nok");
                Caller caller = send(RerunPolicy.AT_MOST_ONCE);
                assertTrue(caller.mComplete.get(10, TimeUnit.SECONDS));
                assertEquals(502, caller.mStatus, rest);
                assertTrue(caller.mBody.toString().contains("\"ran\":\"unknown\""), rest);
                assertEquals(1, mAnswers.size(), rest);
            }
        }
    }

    /**
     * Guards against a stream that looks complete although its chunks or trailers are malformed.
     */
    @Test
    void malformedChunksAreNotComplete() throws Exception {
        for (String end : List.of("+0\r\n\r\n", "0\r\nX Y: z\r\n\r\n", "0\n\r\n", "no size\r\n")) {
            mAnswers.clear();
            for (RerunPolicy policy : List.of(RerunPolicy.STREAM, RerunPolicy.IDEMPOTENT)) {
                mAnswers.add(HEAD + chunked(FIRST, end));
                Caller caller = send(policy);
                assertFalse(caller.mComplete.get(10, TimeUnit.SECONDS), end);
            }
        }
    }
}
