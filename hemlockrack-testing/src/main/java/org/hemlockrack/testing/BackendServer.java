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
 * A small stand-in for a backend server: a model engine that streams tokens and caches chat
 * prefixes, or a plain service that counts how often each command ran. It announces itself to an
 * instance and follows redirects to its owner.
 */
public final class BackendServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STATUS_MISDIRECTED = 421;
    private static final int STATUS_CONFLICT = 409;

    private final BackendOptions mOptions;
    private final ScheduledExecutorService mTimers;
    private final AtomicInteger mLapsed = new AtomicInteger();
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicInteger mMaxInFlight = new AtomicInteger();
    private final AtomicInteger mCancelled = new AtomicInteger();
    private final AtomicLong mFence = new AtomicLong();
    private final AtomicBoolean mLeaving = new AtomicBoolean();
    private final Map<String, Integer> mRunsByCommand = new ConcurrentHashMap<>();
    private final Map<String, Boolean> mCachedChats;
    private final List<String> mOrders = new ArrayList<>();

    private final Set<String> mVersions = ConcurrentHashMap.newKeySet();
    private volatile String mFaultyVersion = "";
    private volatile double mErrorRate;
    private volatile AnswerFault mFault = AnswerFault.NONE;
    private volatile int mLateMillis;
    private volatile String mLastRequestId = "none";
    private HttpPort mPort;
    private Announcer mAnnouncer;

    /** How answers are spoiled; set by {@code POST /faults}. */
    private enum AnswerFault {
        /** Answers are right. */
        NONE,
        /** Answers carry the id of the request before. */
        WRONG_ID,
        /** Answers carry no id. */
        NO_ID,
        /** Answers end in the middle. */
        CUT,
        /** Answers start late. */
        LATE
    }

    private BackendServer(BackendOptions options) {
        mOptions = options;
        mVersions.add(options.version());
        mErrorRate = options.errorRate();
        mTimers = Executors.newScheduledThreadPool(2, task -> daemonThread(task, options.id()));
        mCachedChats =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > options.cacheChats();
                    }
                };
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, "backend-" + name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Starts a server.
     *
     * @param options its options
     * @return the running server
     */
    public static BackendServer open(BackendOptions options) {
        BackendServer server = new BackendServer(options);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", options.port());
        server.mPort = HttpPort.open("backend", address, HttpLimits.defaults(), server::handle);
        server.mAnnouncer = Announcer.open(options, server);
        return server;
    }

    /** Returns {@code ip:port} of the server. */
    public String address() {
        return "127.0.0.1:" + mPort.address().getPort();
    }

    /** Returns {@code ip:port} that the server announces. */
    String advertised() {
        return mOptions.advertised().isEmpty() ? address() : mOptions.advertised();
    }

    int inFlight() {
        return mInFlight.get();
    }

    boolean leaving() {
        return mLeaving.get();
    }

    Set<String> versions() {
        return mVersions;
    }

    private void handle(HttpCall call, Responder responder) {
        String path = call.path();
        if (path.equals("/stats")) {
            responder.sendJson(200, stats().toString());
            return;
        }
        if (path.equals("/faults") && call.method().equals("POST")) {
            takeFault(call.bodyText().trim(), responder);
            return;
        }
        if (path.equals("/leave") && call.method().equals("POST")) {
            mLeaving.set(true);
            mAnnouncer.announceNow();
            responder.sendJson(200, "{}");
            return;
        }
        if (path.equals("/orders") && call.method().equals("POST")) {
            takeOrder(call, responder);
            return;
        }
        serve(call, responder);
    }

    /**
     * Takes a share of failed requests and optionally their version, or a mode and the milliseconds
     * that it needs.
     */
    private void takeFault(String text, Responder responder) {
        String[] words = text.split(" ");
        if (words[0].matches("[01](\\.[0-9]+)?")) {
            mFaultyVersion = words.length > 1 ? words[1] : "";
            mErrorRate = Double.parseDouble(words[0]);
        } else {
            mLateMillis = words.length > 1 ? Integer.parseInt(words[1]) : 0;
            mFault = AnswerFault.valueOf(words[0].toUpperCase(Locale.ROOT));
        }
        responder.sendJson(200, "{}");
    }

    private ObjectNode stats() {
        ObjectNode stats = JSON.createObjectNode();
        stats.put("id", mOptions.id());
        stats.put("requests", mRequests.get());
        stats.put("lapsed", mLapsed.get());
        stats.put("in_flight", mInFlight.get());
        stats.put("max_in_flight", mMaxInFlight.get());
        stats.put("cancelled", mCancelled.get());
        mVersions.forEach(stats.putArray("versions")::add);
        ObjectNode runs = stats.putObject("runs");
        mRunsByCommand.forEach(runs::put);
        synchronized (mOrders) {
            mOrders.forEach(stats.putArray("orders")::add);
        }
        return stats;
    }

    private void loadOrUnload(String kind, String version) {
        if (kind.equals("unload")) {
            mVersions.remove(version);
        } else {
            mVersions.add(version);
        }
        mAnnouncer.announceNow();
    }

    private String requestedVersion(HttpCall call) {
        String version = call.header("X-Model-Version");
        return version == null ? mOptions.version() : version;
    }

    private boolean isFaulty(HttpCall call) {
        boolean concerned =
                mFaultyVersion.isEmpty() || mFaultyVersion.equals(requestedVersion(call));
        return concerned && Math.random() < mErrorRate;
    }

    private void takeOrder(HttpCall call, Responder responder) {
        JsonNode order;
        try {
            order = JSON.readTree(call.body());
        } catch (IOException e) {
            responder.sendJson(400, "{\"error\":\"not JSON\"}");
            return;
        }
        long fence = order.path("fence").asLong();
        long highest = mFence.accumulateAndGet(fence, Math::max);
        if (mOptions.checksFencing() && fence < highest) {
            responder.sendJson(STATUS_CONFLICT, "{\"fence\":" + highest + "}");
            return;
        }
        synchronized (mOrders) {
            mOrders.add(order.toString());
        }
        if (order.has("version")) {
            loadOrUnload(order.path("kind").asText(), order.path("version").asText());
        }
        responder.sendJson(200, "{\"fence\":" + highest + "}");
    }

    private void serve(HttpCall call, Responder responder) {
        String sequence = call.header("X-Admission-Sequence");
        if (sequence != null && mAnnouncer.isLapsed(Long.parseLong(sequence))) {
            mLapsed.incrementAndGet();
            responder.sendJson(
                    STATUS_MISDIRECTED, "{\"error\":\"the admission has lapsed\"}", identity(call));
            return;
        }
        mRequests.incrementAndGet();
        int running = mInFlight.incrementAndGet();
        mMaxInFlight.accumulateAndGet(running, Math::max);
        AtomicBoolean done = new AtomicBoolean();
        Runnable finish =
                () -> {
                    if (done.compareAndSet(false, true)) {
                        mInFlight.decrementAndGet();
                    }
                };
        responder.onCancel(
                () -> {
                    mCancelled.incrementAndGet();
                    finish.run();
                });
        if (isFaulty(call)) {
            finish.run();
            responder.sendJson(500, "{\"error\":\"injected fault\"}", identity(call));
            return;
        }
        if (mOptions.kind().equals("plain")) {
            servePlain(call, responder, finish);
            return;
        }
        serveChat(call, responder, finish, done);
    }

    private void servePlain(HttpCall call, Responder responder, Runnable finish) {
        String command = call.method() + " " + call.path() + " " + call.bodyText();
        int runs = mRunsByCommand.merge(command, 1, Integer::sum);
        ObjectNode answer = JSON.createObjectNode();
        answer.put("served_by", mOptions.id());
        answer.put("path", call.path());
        answer.put("command", call.bodyText());
        answer.put("run", runs);
        HeaderField identity = identity(call);
        mTimers.schedule(
                () -> {
                    finish.run();
                    sendPlain(responder, answer.toString(), identity);
                },
                mOptions.tokenMillis() + lateMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void sendPlain(Responder responder, String json, HeaderField identity) {
        if (mFault != AnswerFault.CUT) {
            responder.sendJson(200, json, identity, served());
            return;
        }
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        responder.sendHead(200, List.of(identity, served()), bytes.length);
        responder.write(ByteBuffer.wrap(bytes, 0, bytes.length / 2));
        responder.abort();
    }

    private int lateMillis() {
        return mFault == AnswerFault.LATE ? mLateMillis : 0;
    }

    private HeaderField identity(HttpCall call) {
        String own = call.header("X-Request-Id") == null ? "" : call.header("X-Request-Id");
        String before = mLastRequestId;
        mLastRequestId = own;
        return switch (mFault) {
            case WRONG_ID -> HeaderField.of("X-Request-Id", before);
            case NO_ID -> HeaderField.of("X-No-Request-Id", own);
            default -> HeaderField.of("X-Request-Id", own);
        };
    }

    private HeaderField served() {
        return HeaderField.of("X-Served-By", mOptions.id());
    }

    private void serveChat(
            HttpCall call, Responder responder, Runnable finish, AtomicBoolean done) {
        JsonNode body;
        try {
            body = JSON.readTree(call.body());
        } catch (IOException e) {
            finish.run();
            responder.sendJson(400, "{\"error\":\"not JSON\"}", identity(call));
            return;
        }
        String chat = call.header("X-Chat-Id");
        boolean hit;
        synchronized (mCachedChats) {
            hit = chat != null && mCachedChats.put(chat, true) != null;
        }
        List<HeaderField> headers = new ArrayList<>();
        headers.add(identity(call));
        headers.add(served());
        headers.add(HeaderField.of("X-Cache", hit ? "hit" : "miss"));
        headers.add(HeaderField.of("X-Model-Version", requestedVersion(call)));
        long firstMillis = (hit ? mOptions.tokenMillis() : mOptions.prefillMillis()) + lateMillis();
        int tokens = body.path("max_tokens").asInt(mOptions.tokens());
        if (body.path("stream").asBoolean()) {
            headers.add(HeaderField.of("Content-Type", "text/event-stream"));
            TokenStream stream =
                    new TokenStream(responder, finish, done, tokens, String.valueOf(chat));
            mTimers.schedule(
                    () -> {
                        responder.sendHead(200, headers, Responder.UNKNOWN_LENGTH);
                        stream.next();
                    },
                    firstMillis,
                    TimeUnit.MILLISECONDS);
            return;
        }
        headers.add(HeaderField.of("Content-Type", "application/json"));
        mTimers.schedule(
                () -> {
                    finish.run();
                    responder.send(200, headers, wholeAnswer(tokens));
                },
                firstMillis + (long) tokens * mOptions.tokenMillis(),
                TimeUnit.MILLISECONDS);
    }

    private byte[] wholeAnswer(int tokens) {
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

    /** Sends the tokens of one streamed answer, one event each. */
    private final class TokenStream {
        private final Responder mResponder;
        private final Runnable mFinish;
        private final AtomicBoolean mDone;
        private final int mTokens;
        private final String mChat;
        private int mSent;

        TokenStream(
                Responder responder, Runnable finish, AtomicBoolean done, int tokens, String chat) {
            mChat = chat;
            mResponder = responder;
            mFinish = finish;
            mDone = done;
            mTokens = tokens;
        }

        void next() {
            if (mDone.get()) {
                return;
            }
            if (mSent == mTokens) {
                mFinish.run();
                write("data: [DONE]\n\n");
                mResponder.end();
                return;
            }
            if (mFault == AnswerFault.CUT && mSent == mTokens / 2) {
                mFinish.run();
                mResponder.abort();
                return;
            }
            mSent++;
            write("id: " + mSent + "\ndata: " + chunk(mSent) + "\n\n");
            mTimers.schedule(this::next, mOptions.tokenMillis(), TimeUnit.MILLISECONDS);
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
        mPort.close();
        mTimers.shutdownNow();
    }

    /**
     * Runs a server until the process is ended.
     *
     * @param args see {@link BackendOptions}
     * @throws InterruptedException if interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        BackendServer server = open(BackendOptions.parse(args));
        Runtime.getRuntime().addShutdownHook(new Thread(server::close));
        System.out.println("listening on " + server.address());
        Thread.currentThread().join();
    }
}
