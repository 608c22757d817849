package org.hemlockrack.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Announces a stand-in backend server to its owner and follows redirects. */
final class Announcer implements AutoCloseable {
    private static final long PERIOD_MILLIS = 500;
    private static final int MAX_REDIRECTS = 3;
    private static final Duration TIMEOUT = Duration.ofMillis(700);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final BackendOptions mOptions;
    private final BackendServer mServer;
    private final long mIncarnation = System.currentTimeMillis();
    private final HttpClient mClient = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(Announcer::daemonThread);

    private String mTarget;
    private int mNextSeed;
    private @Nullable String mOwner;
    private @Nullable String mOwnerTarget;
    private long mOwnerSinceNanos;

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
                if (answer.statusCode() == 200) {
                    accepted(JSON.readTree(answer.body()));
                    return;
                }
                if (answer.statusCode() != 307) {
                    nextSeed();
                    return;
                }
                released();
                mTarget = JSON.readTree(answer.body()).path("owner_address").asText();
            }
        } catch (IOException | RuntimeException e) {
            failed();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private HttpResponse<String> post(String target) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + target + "/backend/v1/announce"))
                        .timeout(TIMEOUT)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body().toString()))
                        .build();
        return mClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private ObjectNode body() {
        ObjectNode body = JSON.createObjectNode();
        body.put("id", mOptions.id());
        body.put("incarnation", mIncarnation);
        body.put("zone", mOptions.zone());
        body.put("address", mServer.address());
        body.put("service", mOptions.service());
        if (mOptions.kind().equals("model")) {
            ObjectNode model = body.putArray("models").addObject();
            model.put("model", mOptions.model());
            model.put("version", mServer.version());
        }
        body.put("limit", mOptions.limit());
        body.put("in_flight", mServer.inFlight());
        body.put("checks_fencing", mOptions.checksFencing());
        if (mOwner != null) {
            body.put("previous_owner", mOwner);
            body.put("previous_age_ms", (System.nanoTime() - mOwnerSinceNanos) / 1_000_000);
        }
        body.put("state", mServer.leaving() ? "leaving" : "ready");
        return body;
    }

    private void accepted(JsonNode answer) {
        mOwner = answer.path("owner").asText();
        mOwnerTarget = mTarget;
        mOwnerSinceNanos = System.nanoTime();
    }

    /** An owner that redirects has given up its admission lease before it answered. */
    private void released() {
        if (mTarget.equals(mOwnerTarget)) {
            mOwner = null;
            mOwnerTarget = null;
        }
    }

    /** The announcement may have arrived although its answer was lost, and renewed the lease. */
    private void failed() {
        if (mTarget.equals(mOwnerTarget)) {
            mOwnerSinceNanos = System.nanoTime();
        }
        nextSeed();
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
