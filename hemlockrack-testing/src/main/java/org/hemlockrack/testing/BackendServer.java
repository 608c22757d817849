package org.hemlockrack.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpLimits;
import org.hemlockrack.daemon.http.HttpPort;
import org.hemlockrack.daemon.http.Responder;

/**
 * A simulated backend server: either a model engine that streams tokens and caches chat prefixes,
 * or a plain service that counts how often each command ran. It announces itself to an instance and
 * follows redirects to the instance that owns it.
 *
 * <p>Besides requests it serves {@code GET /stats}, {@code POST /faults}, which injects faults into
 * answers, {@code POST /leave} and {@code POST /orders}, which loads and unloads model versions.
 */
public final class BackendServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STATUS_MISDIRECTED = 421;
    private static final int STATUS_CONFLICT = 409;

    private final BackendOptions mOptions;
    private final ScheduledExecutorService mScheduler;
    private final AtomicInteger mLapsedRequests = new AtomicInteger();
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicInteger mMaxInFlight = new AtomicInteger();
    private final AtomicInteger mCancelledRequests = new AtomicInteger();
    private final AtomicLong mHighestFencingToken = new AtomicLong();
    private final AtomicBoolean mLeaving = new AtomicBoolean();
    private final Map<String, Integer> mExecutionsByCommand = new ConcurrentHashMap<>();
    private final Map<String, Boolean> mCachedChats;
    private final List<String> mAcceptedOrders = new ArrayList<>();

    private final Set<String> mLoadedVersions = ConcurrentHashMap.newKeySet();
    private volatile String mFaultyVersion = "";
    private volatile double mErrorRate;
    private volatile AnswerFault mAnswerFault = AnswerFault.NONE;
    private volatile int mExtraDelayMillis;
    private volatile String mLastRequestId = "none";
    private HttpPort mHttpPort;
    private Announcer mAnnouncer;

    /** Faults that are injected into answers; set by {@code POST /faults}. */
    private enum AnswerFault {
        /** No fault. */
        NONE,
        /** Answers carry the request id of the previous request. */
        WRONG_ID,
        /** Answers carry no request id. */
        NO_ID,
        /** Connections are closed in the middle of the answer. */
        CUT,
        /** Answers start after an additional delay. */
        LATE
    }

    private BackendServer(BackendOptions options) {
        mOptions = options;
        mLoadedVersions.add(options.modelVersion());
        mErrorRate = options.errorRate();
        mScheduler =
                Executors.newScheduledThreadPool(2, task -> newDaemonThread(task, options.id()));
        mCachedChats =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > options.maxCachedChats();
                    }
                };
    }

    private static Thread newDaemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, "backend-" + name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Starts a server on loopback and announces it.
     *
     * @param options options of the server
     * @return the running server
     */
    public static BackendServer open(BackendOptions options) {
        BackendServer server = new BackendServer(options);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", options.port());
        server.mHttpPort = HttpPort.open("backend", address, HttpLimits.defaults(), server::handle);
        server.mAnnouncer = Announcer.open(options, server);
        return server;
    }

    /** Returns {@code ip:port} where the server listens. */
    public String address() {
        return "127.0.0.1:" + mHttpPort.address().getPort();
    }

    /** Returns the {@code ip:port} that the server announces. */
    String advertisedAddress() {
        return mOptions.advertisedAddress().isEmpty() ? address() : mOptions.advertisedAddress();
    }

    int inFlight() {
        return mInFlight.get();
    }

    boolean isLeaving() {
        return mLeaving.get();
    }

    Set<String> loadedVersions() {
        return mLoadedVersions;
    }

    private void handle(HttpCall call, Responder responder) {
        String path = call.path();
        if (path.equals("/stats")) {
            responder.sendJson(200, toStatsJson().toString());
            return;
        }
        if (path.equals("/faults") && call.method().equals("POST")) {
            handleFaultRequest(call.bodyText().trim(), responder);
            return;
        }
        if (path.equals("/leave") && call.method().equals("POST")) {
            mLeaving.set(true);
            mAnnouncer.announceNow();
            responder.sendJson(200, "{}");
            return;
        }
        if (path.equals("/orders") && call.method().equals("POST")) {
            handleOrder(call, responder);
            return;
        }
        serveRequest(call, responder);
    }

    /**
     * Handles {@code POST /faults}. The body is either an error rate between 0 and 1, optionally
     * followed by the only model version that it applies to, or the name of an {@link AnswerFault},
     * followed by the delay in milliseconds for {@code late}.
     */
    private void handleFaultRequest(String body, Responder responder) {
        String[] words = body.split(" ");
        if (words[0].matches("[01](\\.[0-9]+)?")) {
            mFaultyVersion = words.length > 1 ? words[1] : "";
            mErrorRate = Double.parseDouble(words[0]);
        } else {
            mExtraDelayMillis = words.length > 1 ? Integer.parseInt(words[1]) : 0;
            mAnswerFault = AnswerFault.valueOf(words[0].toUpperCase(Locale.ROOT));
        }
        responder.sendJson(200, "{}");
    }

    private ObjectNode toStatsJson() {
        ObjectNode stats = JSON.createObjectNode();
        stats.put("id", mOptions.id());
        stats.put("requests", mRequests.get());
        stats.put("lapsed", mLapsedRequests.get());
        stats.put("in_flight", mInFlight.get());
        stats.put("max_in_flight", mMaxInFlight.get());
        stats.put("cancelled", mCancelledRequests.get());
        mLoadedVersions.forEach(stats.putArray("versions")::add);
        ObjectNode runs = stats.putObject("runs");
        mExecutionsByCommand.forEach(runs::put);
        synchronized (mAcceptedOrders) {
            mAcceptedOrders.forEach(stats.putArray("orders")::add);
        }
        return stats;
    }

    private void loadOrUnload(String kind, String version) {
        if (kind.equals("unload")) {
            mLoadedVersions.remove(version);
        } else {
            mLoadedVersions.add(version);
        }
        mAnnouncer.announceNow();
    }

    private String requestedVersion(HttpCall call) {
        String version = call.header("X-Model-Version");
        return version == null ? mOptions.modelVersion() : version;
    }

    private boolean shouldFail(HttpCall call) {
        boolean versionMatches =
                mFaultyVersion.isEmpty() || mFaultyVersion.equals(requestedVersion(call));
        return versionMatches && Math.random() < mErrorRate;
    }

    private void handleOrder(HttpCall call, Responder responder) {
        JsonNode order;
        try {
            order = JSON.readTree(call.body());
        } catch (IOException e) {
            responder.sendJson(400, "{\"error\":\"not JSON\"}");
            return;
        }
        long fencingToken = order.path("fence").asLong();
        long highestFencingToken = mHighestFencingToken.accumulateAndGet(fencingToken, Math::max);
        if (mOptions.checksFencing() && fencingToken < highestFencingToken) {
            responder.sendJson(STATUS_CONFLICT, "{\"fence\":" + highestFencingToken + "}");
            return;
        }
        synchronized (mAcceptedOrders) {
            mAcceptedOrders.add(order.toString());
        }
        if (order.has("version")) {
            loadOrUnload(order.path("kind").asText(), order.path("version").asText());
        }
        responder.sendJson(200, "{\"fence\":" + highestFencingToken + "}");
    }

    private void serveRequest(HttpCall call, Responder responder) {
        String sequence = call.header("X-Admission-Sequence");
        if (sequence != null && mAnnouncer.isLeaseExpired(Long.parseLong(sequence))) {
            mLapsedRequests.incrementAndGet();
            responder.sendJson(
                    STATUS_MISDIRECTED,
                    "{\"error\":\"the admission has lapsed\"}",
                    requestIdHeader(call));
            return;
        }
        mRequests.incrementAndGet();
        int inFlight = mInFlight.incrementAndGet();
        mMaxInFlight.accumulateAndGet(inFlight, Math::max);
        AtomicBoolean finished = new AtomicBoolean();
        Runnable finish =
                () -> {
                    if (finished.compareAndSet(false, true)) {
                        mInFlight.decrementAndGet();
                    }
                };
        responder.onCancel(
                () -> {
                    mCancelledRequests.incrementAndGet();
                    finish.run();
                });
        if (shouldFail(call)) {
            finish.run();
            responder.sendJson(500, "{\"error\":\"injected fault\"}", requestIdHeader(call));
            return;
        }
        if (mOptions.kind().equals("plain")) {
            servePlain(call, responder, finish);
            return;
        }
        serveChat(call, responder, finish, finished);
    }

    private void servePlain(HttpCall call, Responder responder, Runnable finish) {
        String command = call.method() + " " + call.path() + " " + call.bodyText();
        int runs = mExecutionsByCommand.merge(command, 1, Integer::sum);
        ObjectNode answer = JSON.createObjectNode();
        answer.put("served_by", mOptions.id());
        answer.put("path", call.path());
        answer.put("command", call.bodyText());
        answer.put("run", runs);
        HeaderField requestId = requestIdHeader(call);
        mScheduler.schedule(
                () -> {
                    finish.run();
                    sendPlainAnswer(responder, answer.toString(), requestId);
                },
                mOptions.tokenMillis() + extraDelayMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void sendPlainAnswer(Responder responder, String json, HeaderField requestId) {
        if (mAnswerFault != AnswerFault.CUT) {
            responder.sendJson(200, json, requestId, servedByHeader());
            return;
        }
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        responder.sendHead(200, List.of(requestId, servedByHeader()), bytes.length);
        responder.write(ByteBuffer.wrap(bytes, 0, bytes.length / 2));
        responder.abort();
    }

    private int extraDelayMillis() {
        return mAnswerFault == AnswerFault.LATE ? mExtraDelayMillis : 0;
    }

    private HeaderField requestIdHeader(HttpCall call) {
        String requestId = call.header("X-Request-Id") == null ? "" : call.header("X-Request-Id");
        String previousRequestId = mLastRequestId;
        mLastRequestId = requestId;
        return switch (mAnswerFault) {
            case WRONG_ID -> HeaderField.of("X-Request-Id", previousRequestId);
            case NO_ID -> HeaderField.of("X-No-Request-Id", requestId);
            default -> HeaderField.of("X-Request-Id", requestId);
        };
    }

    private HeaderField servedByHeader() {
        return HeaderField.of("X-Served-By", mOptions.id());
    }

    private void serveChat(
            HttpCall call, Responder responder, Runnable finish, AtomicBoolean finished) {
        JsonNode body;
        try {
            body = JSON.readTree(call.body());
        } catch (IOException e) {
            finish.run();
            responder.sendJson(400, "{\"error\":\"not JSON\"}", requestIdHeader(call));
            return;
        }
        String chat = call.header("X-Chat-Id");
        boolean cacheHit;
        synchronized (mCachedChats) {
            cacheHit = chat != null && mCachedChats.put(chat, true) != null;
        }
        List<HeaderField> headers = new ArrayList<>();
        headers.add(requestIdHeader(call));
        headers.add(servedByHeader());
        headers.add(HeaderField.of("X-Cache", cacheHit ? "hit" : "miss"));
        headers.add(HeaderField.of("X-Model-Version", requestedVersion(call)));
        long firstTokenMillis =
                (cacheHit ? mOptions.tokenMillis() : mOptions.prefillMillis()) + extraDelayMillis();
        int tokens = body.path("max_tokens").asInt(mOptions.answerTokens());
        if (body.path("stream").asBoolean()) {
            headers.add(HeaderField.of("Content-Type", "text/event-stream"));
            TokenStream stream =
                    new TokenStream(responder, finish, finished, tokens, String.valueOf(chat));
            mScheduler.schedule(
                    () -> {
                        responder.sendHead(200, headers, Responder.UNKNOWN_LENGTH);
                        stream.sendNext();
                    },
                    firstTokenMillis,
                    TimeUnit.MILLISECONDS);
            return;
        }
        headers.add(HeaderField.of("Content-Type", "application/json"));
        mScheduler.schedule(
                () -> {
                    finish.run();
                    responder.send(200, headers, createCompletion(tokens));
                },
                firstTokenMillis + (long) tokens * mOptions.tokenMillis(),
                TimeUnit.MILLISECONDS);
    }

    private byte[] createCompletion(int tokens) {
        ObjectNode answer = JSON.createObjectNode();
        answer.put("object", "chat.completion");
        ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0);
        ObjectNode message = choice.putObject("message");
        message.put("role", "assistant");
        message.put("content", "token ".repeat(tokens).trim());
        choice.put("finish_reason", "stop");
        return answer.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Sends the tokens of one streamed answer, one event per token. */
    private final class TokenStream {
        private final Responder mResponder;
        private final Runnable mFinish;
        private final AtomicBoolean mFinished;
        private final int mTotalTokens;
        private final String mChat;
        private int mSentTokens;

        TokenStream(
                Responder responder,
                Runnable finish,
                AtomicBoolean finished,
                int tokens,
                String chat) {
            mChat = chat;
            mResponder = responder;
            mFinish = finish;
            mFinished = finished;
            mTotalTokens = tokens;
        }

        void sendNext() {
            if (mFinished.get()) {
                return;
            }
            if (mSentTokens == mTotalTokens) {
                mFinish.run();
                write("data: [DONE]\n\n");
                mResponder.end();
                return;
            }
            if (mAnswerFault == AnswerFault.CUT && mSentTokens == mTotalTokens / 2) {
                mFinish.run();
                mResponder.abort();
                return;
            }
            mSentTokens++;
            write("id: " + mSentTokens + "\ndata: " + chunk(mSentTokens) + "\n\n");
            mScheduler.schedule(this::sendNext, mOptions.tokenMillis(), TimeUnit.MILLISECONDS);
        }

        private String chunk(int number) {
            return "{\"object\":\"chat.completion.chunk\",\"chat\":\""
                    + mChat
                    + "\",\"choices\":[{\"index\":0,"
                    + "\"delta\":{\"content\":\"token"
                    + number
                    + " \"}}]}";
        }

        private void write(String event) {
            mResponder.write(ByteBuffer.wrap(event.getBytes(StandardCharsets.UTF_8)));
        }
    }

    @Override
    public void close() {
        mAnnouncer.close();
        mHttpPort.close();
        mScheduler.shutdownNow();
    }

    /**
     * Runs a server until the process is terminated.
     *
     * @param args see {@link BackendOptions}
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        BackendServer server = open(BackendOptions.parse(args));
        Runtime.getRuntime().addShutdownHook(new Thread(server::close));
        System.out.println("listening on " + server.address());
        Thread.currentThread().join();
    }
}
