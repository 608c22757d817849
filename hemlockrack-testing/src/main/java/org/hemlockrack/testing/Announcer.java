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

/**
 * Announces a simulated backend server periodically to the instance that owns it. If an instance
 * redirects, the announcement goes to the owner that it names; if one fails, the next configured
 * address is tried.
 */
final class Announcer implements AutoCloseable {
    private static final long PERIOD_MILLIS = 500;
    private static final int MAX_REDIRECTS = 3;
    private static final int STATUS_OK = 200;
    private static final int STATUS_REDIRECT = 307;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final Duration TIMEOUT = Duration.ofMillis(700);

    /**
     * Number of announcements whose send time is kept. At the usual period these cover 32 s, which
     * is far longer than any lease.
     */
    private static final int MAX_TRACKED_ANNOUNCEMENTS = 64;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final BackendOptions mOptions;
    private final BackendServer mServer;
    private final long mIncarnation = System.currentTimeMillis();
    private final HttpClient mClient = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(Announcer::newDaemonThread);

    private final long mStartedNanos = System.nanoTime();
    private final Map<String, String> mOwnerIdsByAddress = new HashMap<>();

    private String mTargetAddress;
    private int mSeedIndex;
    private long mLastSequence;
    private final TreeMap<Long, Long> mPreparedNanosBySequence = new TreeMap<>();
    private volatile long mLeaseDurationNanos = Long.MAX_VALUE;
    private @Nullable SentAnnouncement mCurrentAnnouncement;
    private @Nullable SentAnnouncement mPreviousAnnouncement;
    private @Nullable Acknowledgement mLastAcknowledgement;

    /** An announcement that may have granted its receiver the lease to admit requests. */
    private record SentAnnouncement(String target, long preparedNanos, long sequence) {}

    /** The last acknowledgement, which the next announcement to its sender echoes. */
    private record Acknowledgement(
            String target, long ownerEpoch, long ownerNanos, long receivedNanos) {}

    private Announcer(BackendOptions options, BackendServer server) {
        mOptions = options;
        mServer = server;
        mTargetAddress = options.announceAddresses().get(0);
    }

    private static Thread newDaemonThread(Runnable task) {
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
            for (int redirects = 0; redirects < MAX_REDIRECTS; redirects++) {
                HttpResponse<String> answer = sendAnnouncement(mTargetAddress);
                if (answer.statusCode() == STATUS_OK) {
                    onAccepted(JSON.readTree(answer.body()));
                    return;
                }
                if (answer.statusCode() != STATUS_REDIRECT) {
                    selectNextSeed();
                    return;
                }
                onRedirected(JSON.readTree(answer.body()));
            }
        } catch (IOException | RuntimeException e) {
            selectNextSeed();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private HttpResponse<String> sendAnnouncement(String target)
            throws IOException, InterruptedException {
        if (mCurrentAnnouncement != null && !mCurrentAnnouncement.target().equals(target)) {
            mPreviousAnnouncement = mCurrentAnnouncement;
        }
        if (mPreviousAnnouncement != null && mPreviousAnnouncement.target().equals(target)) {
            mPreviousAnnouncement = null;
        }
        mLastSequence++;
        recordPrepared(mLastSequence, System.nanoTime());
        String body = createBody(target).toString();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + target + "/backend/v1/announce"))
                        .timeout(TIMEOUT)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        SentAnnouncement previousCurrent = mCurrentAnnouncement;
        mCurrentAnnouncement = new SentAnnouncement(target, System.nanoTime(), mLastSequence);
        try {
            return mClient.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (ConnectException e) {
            // The announcement was not received, so it granted no lease.
            mCurrentAnnouncement = previousCurrent;
            throw e;
        }
    }

    private void recordPrepared(long sequence, long preparedNanos) {
        synchronized (mPreparedNanosBySequence) {
            mPreparedNanosBySequence.put(sequence, preparedNanos);
            if (mPreparedNanosBySequence.size() > MAX_TRACKED_ANNOUNCEMENTS) {
                mPreparedNanosBySequence.pollFirstEntry();
            }
        }
    }

    /**
     * Returns whether the lease that an announcement granted has expired. The time is measured in
     * this process only, so the result is correct even if the owner was suspended for any time.
     *
     * @param sequence sequence number of the announcement under which a request was admitted
     * @return true if the lease has expired and the request must not run
     */
    boolean isLeaseExpired(long sequence) {
        synchronized (mPreparedNanosBySequence) {
            Long preparedNanos = mPreparedNanosBySequence.get(sequence);
            if (preparedNanos == null) {
                return !mPreparedNanosBySequence.isEmpty()
                        && sequence < mPreparedNanosBySequence.firstKey();
            }
            return System.nanoTime() - preparedNanos > mLeaseDurationNanos;
        }
    }

    private ObjectNode createBody(String target) {
        ObjectNode body = JSON.createObjectNode();
        body.put("id", mOptions.id());
        body.put("incarnation", mIncarnation);
        body.put("sequence", mLastSequence);
        body.put("zone", mOptions.zone());
        body.put("address", mServer.advertisedAddress());
        body.put("service", mOptions.service());
        if (mOptions.kind().equals("model")) {
            ArrayNode models = body.putArray("models");
            for (String version : mServer.loadedVersions()) {
                ObjectNode model = models.addObject();
                model.put("model", mOptions.model());
                model.put("version", version);
            }
        }
        body.put("limit", mOptions.concurrencyLimit());
        body.put("in_flight", mServer.inFlight());
        body.put("checks_fencing", mOptions.checksFencing());
        body.put("state", mServer.isLeaving() ? "leaving" : "ready");
        addPrevious(body);
        addEcho(body, target);
        return body;
    }

    private void addPrevious(ObjectNode body) {
        long nowNanos = System.nanoTime();
        SentAnnouncement previous = mPreviousAnnouncement;
        if (previous == null) {
            body.put("previous_age_ms", (nowNanos - mStartedNanos) / NANOS_PER_MILLI);
            return;
        }
        body.put("previous_owner", mOwnerIdsByAddress.getOrDefault(previous.target(), "unknown"));
        body.put("previous_age_ms", (nowNanos - previous.preparedNanos()) / NANOS_PER_MILLI);
        body.put("previous_sequence", previous.sequence());
    }

    private void addEcho(ObjectNode body, String target) {
        Acknowledgement acknowledgement = mLastAcknowledgement;
        if (acknowledgement == null || !acknowledgement.target().equals(target)) {
            return;
        }
        ObjectNode echo = body.putObject("echo");
        echo.put("owner_epoch", acknowledgement.ownerEpoch());
        echo.put("owner_nanos", acknowledgement.ownerNanos());
        echo.put(
                "held_ms", (System.nanoTime() - acknowledgement.receivedNanos()) / NANOS_PER_MILLI);
    }

    private void onAccepted(JsonNode answer) {
        mOwnerIdsByAddress.put(mTargetAddress, answer.path("owner").asText());
        if (answer.has("lease_ms")) {
            mLeaseDurationNanos = answer.path("lease_ms").asLong() * NANOS_PER_MILLI;
        }
        JsonNode ack = answer.path("ack");
        if (ack.isObject()) {
            mLastAcknowledgement =
                    new Acknowledgement(
                            mTargetAddress,
                            ack.path("owner_epoch").asLong(),
                            ack.path("owner_nanos").asLong(),
                            System.nanoTime());
        }
    }

    /** Follows a redirect; an instance that redirects holds no lease. */
    private void onRedirected(JsonNode answer) {
        mCurrentAnnouncement = null;
        mTargetAddress = answer.path("owner_address").asText();
        mOwnerIdsByAddress.put(mTargetAddress, answer.path("owner").asText());
    }

    private void selectNextSeed() {
        List<String> seeds = mOptions.announceAddresses();
        mSeedIndex = (mSeedIndex + 1) % seeds.size();
        mTargetAddress = seeds.get(mSeedIndex);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
