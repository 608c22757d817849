package org.hemlockrack.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Announces a stand-in backend server to its owner and follows redirects. */
final class Announcer implements AutoCloseable {
    private static final long PERIOD_MILLIS = 500;
    private static final int MAX_REDIRECTS = 3;
    private static final int STATUS_OK = 200;
    private static final int STATUS_REDIRECT = 307;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final Duration TIMEOUT = Duration.ofMillis(700);

    /** Announcements whose time is known: 32 s at the usual period, far more than any lease. */
    private static final int MAX_REMEMBERED = 64;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final BackendOptions mOptions;
    private final BackendServer mServer;
    private final long mIncarnation = System.currentTimeMillis();
    private final HttpClient mClient = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(Announcer::daemonThread);

    private final long mStartedNanos = System.nanoTime();
    private final Map<String, String> mNames = new HashMap<>();

    private String mTarget;
    private int mNextSeed;
    private long mSequence;
    private final TreeMap<Long, Long> mPreparedNanos = new TreeMap<>();
    private volatile long mLeaseNanos = Long.MAX_VALUE;
    private @Nullable Contact mCurrent;
    private @Nullable Contact mPrevious;
    private @Nullable Acknowledgement mAcknowledgement;

    /** An announcement that may have given its receiver the right to admit. */
    private record Contact(String target, long preparedNanos, long sequence) {}

    /** The last acknowledgement of the current target. */
    private record Acknowledgement(
            String target, long ownerEpoch, long ownerNanos, long receivedNanos) {}

    private Announcer(BackendOptions options, BackendServer server) {
        mOptions = options;
        mServer = server;
        mTarget = options.announceTo().get(0);
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "announcer");
        thread.setDaemon(true);
        return thread;
    }

    static Announcer open(BackendOptions options, BackendServer server) {
        Announcer announcer = new Announcer(options, server);
        announcer.mTimer.scheduleWithFixedDelay(
                announcer::announce, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        return announcer;
    }

    void announceNow() {
        mTimer.execute(this::announce);
    }

    private void announce() {
        try {
            for (int hop = 0; hop < MAX_REDIRECTS; hop++) {
                HttpResponse<String> answer = post(mTarget);
                if (answer.statusCode() == STATUS_OK) {
                    accepted(JSON.readTree(answer.body()));
                    return;
                }
                if (answer.statusCode() != STATUS_REDIRECT) {
                    nextSeed();
                    return;
                }
                redirected(JSON.readTree(answer.body()));
            }
        } catch (IOException | RuntimeException e) {
            nextSeed();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private HttpResponse<String> post(String target) throws IOException, InterruptedException {
        if (mCurrent != null && !mCurrent.target().equals(target)) {
            mPrevious = mCurrent;
        }
        if (mPrevious != null && mPrevious.target().equals(target)) {
            mPrevious = null;
        }
        mSequence++;
        remember(mSequence, System.nanoTime());
        String body = body(target).toString();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + target + "/backend/v1/announce"))
                        .timeout(TIMEOUT)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        Contact before = mCurrent;
        mCurrent = new Contact(target, System.nanoTime(), mSequence);
        try {
            return mClient.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (ConnectException e) {
            // A refused connection gave nobody the right to admit.
            mCurrent = before;
            throw e;
        }
    }

    private void remember(long sequence, long preparedNanos) {
        synchronized (mPreparedNanos) {
            mPreparedNanos.put(sequence, preparedNanos);
            if (mPreparedNanos.size() > MAX_REMEMBERED) {
                mPreparedNanos.pollFirstEntry();
            }
        }
    }

    /**
     * Returns whether the right that an announcement gave has ended. Measured here, between two
     * events of this process, so it holds however long the owner was stopped.
     *
     * @param sequence the announcement on which a request was admitted
     * @return true if the request must not run
     */
    boolean isLapsed(long sequence) {
        synchronized (mPreparedNanos) {
            Long preparedNanos = mPreparedNanos.get(sequence);
            if (preparedNanos == null) {
                return !mPreparedNanos.isEmpty() && sequence < mPreparedNanos.firstKey();
            }
            return System.nanoTime() - preparedNanos > mLeaseNanos;
        }
    }

    private ObjectNode body(String target) {
        ObjectNode body = JSON.createObjectNode();
        body.put("id", mOptions.id());
        body.put("incarnation", mIncarnation);
        body.put("sequence", mSequence);
        body.put("zone", mOptions.zone());
        body.put("address", mServer.advertised());
        body.put("service", mOptions.service());
        if (mOptions.kind().equals("model")) {
            ArrayNode models = body.putArray("models");
            for (String version : mServer.versions()) {
                ObjectNode model = models.addObject();
                model.put("model", mOptions.model());
                model.put("version", version);
            }
        }
        body.put("limit", mOptions.limit());
        body.put("in_flight", mServer.inFlight());
        body.put("checks_fencing", mOptions.checksFencing());
        body.put("state", mServer.leaving() ? "leaving" : "ready");
        addPrevious(body);
        addEcho(body, target);
        return body;
    }

    private void addPrevious(ObjectNode body) {
        long nowNanos = System.nanoTime();
        Contact previous = mPrevious;
        if (previous == null) {
            body.put("previous_age_ms", (nowNanos - mStartedNanos) / NANOS_PER_MILLI);
            return;
        }
        body.put("previous_owner", mNames.getOrDefault(previous.target(), "unknown"));
        body.put("previous_age_ms", (nowNanos - previous.preparedNanos()) / NANOS_PER_MILLI);
        body.put("previous_sequence", previous.sequence());
    }

    private void addEcho(ObjectNode body, String target) {
        Acknowledgement last = mAcknowledgement;
        if (last == null || !last.target().equals(target)) {
            return;
        }
        ObjectNode echo = body.putObject("echo");
        echo.put("owner_epoch", last.ownerEpoch());
        echo.put("owner_nanos", last.ownerNanos());
        echo.put("held_ms", (System.nanoTime() - last.receivedNanos()) / NANOS_PER_MILLI);
    }

    private void accepted(JsonNode answer) {
        mNames.put(mTarget, answer.path("owner").asText());
        if (answer.has("lease_ms")) {
            mLeaseNanos = answer.path("lease_ms").asLong() * NANOS_PER_MILLI;
        }
        JsonNode ack = answer.path("ack");
        if (ack.isObject()) {
            mAcknowledgement =
                    new Acknowledgement(
                            mTarget,
                            ack.path("owner_epoch").asLong(),
                            ack.path("owner_nanos").asLong(),
                            System.nanoTime());
        }
    }

    /** An instance that redirects holds no right to admit. */
    private void redirected(JsonNode answer) {
        mCurrent = null;
        mTarget = answer.path("owner_address").asText();
        mNames.put(mTarget, answer.path("owner").asText());
    }

    private void nextSeed() {
        List<String> seeds = mOptions.announceTo();
        mNextSeed = (mNextSeed + 1) % seeds.size();
        mTarget = seeds.get(mNextSeed);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
