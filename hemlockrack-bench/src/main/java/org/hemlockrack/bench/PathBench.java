package org.hemlockrack.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.UpstreamCall;
import org.hemlockrack.daemon.http.UpstreamListener;
import org.hemlockrack.testing.BackendServer;
import org.hemlockrack.testing.FleetClient;
import org.hemlockrack.testing.FleetProcess;
import org.hemlockrack.testing.LocalFleet;

/**
 * Measures the latency that one instance adds. Requests go alternately to a simulated backend
 * server and through an instance. Then it keeps many streams open at the same time.
 */
public final class PathBench {
    private static final int RATE_PER_SECOND = 500;
    private static final int WARM_UP_REQUESTS = 8_000;
    private static final int REQUESTS = 20_000;
    private static final int STREAMS = 2_000;

    /** The default of 64 MB was too small for 600 concurrent connections. */
    private static final String SERVER_HEAP = "1g";

    /** Enough for all streams: a cold server gets at most 1,024, the highest cold_start_limit. */
    private static final int STREAM_SERVERS = 3;

    /**
     * With this interval 2,000 streams carry 8,000 tokens/s. The projected load is 1.1 million
     * tokens/s on 330 instances, or 3,333 tokens/s for each.
     */
    private static final int STREAM_TOKEN_MILLIS = 250;

    private static final int STREAM_TOKENS = 120;
    private static final int OK_STATUS = 200;
    private static final long MAX_MICROS = 60_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private static final ConcurrentMap<String, LongAdder> FAILURE_COUNTS =
            new ConcurrentHashMap<>();

    private final HttpClient mHttpClient = HttpClient.open(2, 5_000, 60_000, true);
    private final FleetClient mFleetClient = FleetClient.create();
    private final LocalFleet mFleet = LocalFleet.create();

    private final List<FleetProcess> mServers = new ArrayList<>();
    private String mDirectAddress = "";
    private String mRoutedAddress = "";

    private PathBench() {}

    /**
     * Runs the benchmark.
     *
     * @param args ignored
     */
    public static void main(String[] args) {
        PathBench bench = new PathBench();
        try {
            bench.startFleet();
            bench.measureLatency("whole", false);
            bench.measureLatency("streamed", true);
            bench.measureOpenStreams();
        } finally {
            bench.closeServers();
            bench.mFleet.close();
            bench.mHttpClient.close();
        }
    }

    private void closeServers() {
        mServers.forEach(FleetProcess::close);
        mServers.clear();
    }

    private void startFleet() {
        LocalFleet.Instance instance = mFleet.addInstance("i1", "a");
        mFleet.startInstances(1, "[http]\nmax_connections = 20000");
        String configuration =
                mFleetClient
                        .initialConfiguration()
                        .replace(
                                "cold_start_limit = 8",
                                "cold_start_limit = 1024\nload_multiple = 10.0");
        mFleet.await(
                "configuration",
                30,
                () ->
                        mFleetClient
                                        .patchConfiguration(
                                                instance.operatorAddress(),
                                                0,
                                                "first",
                                                configuration)
                                        .status()
                                == 200);
        mRoutedAddress = instance.callerAddress();
        startServer("engine", 1);
        awaitServers(1);
        mDirectAddress =
                mFleetClient
                        .fetchPage(instance.operatorAddress(), "backends")
                        .path("backends")
                        .get(0)
                        .path("address")
                        .asText();
    }

    private void startServer(String id, int tokenMillis) {
        List<String> args = new ArrayList<>();
        args.addAll(List.of("--id", id, "--zone", "a", "--service", "assistant"));
        args.addAll(List.of("--kind", "model", "--limit", "4000", "--prefill-ms", "1"));
        args.addAll(List.of("--tokens", "4", "--token-ms", Integer.toString(tokenMillis)));
        args.addAll(List.of("--announce", mFleet.instance("i1").internalAddress()));
        mServers.add(
                FleetProcess.start(
                        id,
                        mFleet.folder().resolve(id + ".log"),
                        SERVER_HEAP,
                        BackendServer.class.getName(),
                        args));
    }

    private void awaitServers(int count) {
        mFleet.await("backend servers", 30, () -> readyServerCount() == count);
        mFleet.await(
                "an answer",
                30,
                () -> mFleetClient.sendChat(mRoutedAddress, "warm").status() == OK_STATUS);
    }

    private int readyServerCount() {
        int ready = 0;
        for (JsonNode backend :
                mFleetClient
                        .fetchPage(mFleet.instance("i1").operatorAddress(), "backends")
                        .path("backends")) {
            ready += backend.path("state").asText().equals("READY") ? 1 : 0;
        }
        return ready;
    }

    private void measureLatency(String name, boolean stream) {
        sendAlternating(
                WARM_UP_REQUESTS,
                stream,
                new ConcurrentHistogram(MAX_MICROS, 3),
                new ConcurrentHistogram(MAX_MICROS, 3));
        Histogram direct = new ConcurrentHistogram(MAX_MICROS, 3);
        Histogram routed = new ConcurrentHistogram(MAX_MICROS, 3);
        printFailures();
        int failed = sendAlternating(REQUESTS, stream, direct, routed);
        printFailures();
        double addedMedian =
                (routed.getValueAtPercentile(50) - direct.getValueAtPercentile(50)) / 1_000.0;
        double addedP99 =
                (routed.getValueAtPercentile(99) - direct.getValueAtPercentile(99)) / 1_000.0;
        System.out.printf(
                "%-9s direct p50 %.3f p99 %.3f ms, routed p50 %.3f p99 %.3f ms, failed %d%n",
                name,
                direct.getValueAtPercentile(50) / 1_000.0,
                direct.getValueAtPercentile(99) / 1_000.0,
                routed.getValueAtPercentile(50) / 1_000.0,
                routed.getValueAtPercentile(99) / 1_000.0,
                failed);
        System.out.printf("path_%s_added_median_ms=%.3f%n", name, addedMedian);
        System.out.printf("path_%s_added_p99_ms=%.3f%n", name, addedP99);
        System.out.printf("path_%s_failed=%d%n", name, failed);
        System.out.printf(
                "path_%s_met=%b%n", name, addedMedian <= 1 && addedP99 <= 5 && failed == 0);
    }

    private static void printFailures() {
        FAILURE_COUNTS.forEach(
                (reason, count) -> System.out.printf("  failed %s: %s%n", count, reason));
        FAILURE_COUNTS.clear();
    }

    /** Sends direct and routed requests alternately, each at the full rate; returns failures. */
    private int sendAlternating(int requests, boolean stream, Histogram direct, Histogram routed) {
        AtomicInteger failed = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(2 * requests);
        long startNanos = System.nanoTime();
        for (int i = 0; i < requests; i++) {
            long atNanos = startNanos + i * NANOS_PER_SECOND / RATE_PER_SECOND;
            while (System.nanoTime() - atNanos < 0) {
                LockSupport.parkNanos(atNanos - System.nanoTime());
            }
            sendRequest(mDirectAddress, i, stream, 4, direct, failed, done);
            LockSupport.parkNanos(NANOS_PER_SECOND / RATE_PER_SECOND / 2);
            sendRequest(mRoutedAddress, i, stream, 4, routed, failed, done);
        }
        awaitAll(done, 60);
        return failed.get() + (int) done.getCount();
    }

    private static void awaitAll(CountDownLatch done, int seconds) {
        try {
            done.await(seconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendRequest(
            String target,
            int chatNumber,
            boolean stream,
            int tokens,
            Histogram latency,
            AtomicInteger failed,
            CountDownLatch done) {
        List<HeaderField> headers = new ArrayList<>();
        headers.add(HeaderField.of("Authorization", "Bearer " + mFleetClient.bearerKey()));
        headers.add(HeaderField.of("X-Chat-Id", "chat-" + chatNumber % 1_000));
        headers.add(HeaderField.of("X-Deadline-Ms", "60000"));
        headers.add(HeaderField.of("X-Request-Id", "r" + chatNumber));
        String body =
                String.format(
                        "{\"model\":\"assistant\",\"stream\":%b,\"max_tokens\":%d,\"messages\":"
                                + "[{\"role\":\"user\",\"content\":\"hello\"}]}",
                        stream, tokens);
        TimedExchange exchange =
                new TimedExchange(
                        target.equals(mDirectAddress) ? "direct" : "routed",
                        stream,
                        latency,
                        failed,
                        done);
        exchange.mCall =
                mHttpClient.send(
                        target,
                        "POST",
                        "/v1/chat/completions",
                        headers,
                        body.getBytes(StandardCharsets.UTF_8),
                        exchange);
    }

    private void measureOpenStreams() {
        Histogram latency = new ConcurrentHistogram(MAX_MICROS, 3);
        AtomicInteger failed = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(STREAMS);
        closeServers();
        for (int i = 1; i <= STREAM_SERVERS; i++) {
            startServer("stream-" + i, STREAM_TOKEN_MILLIS);
        }
        awaitServers(STREAM_SERVERS);
        for (int i = 0; i < STREAMS; i++) {
            sendRequest(mRoutedAddress, i, true, STREAM_TOKENS, latency, failed, done);
            LockSupport.parkNanos(NANOS_PER_SECOND / RATE_PER_SECOND);
        }
        long openCount = done.getCount();
        awaitAll(done, 120);
        int lost = failed.get() + (int) done.getCount();
        printFailures();
        System.out.printf("open streams: %d at once, %d lost%n", openCount, lost);
        System.out.printf("path_open_streams=%d%n", openCount);
        System.out.printf("path_open_streams_lost=%d%n", lost);
    }

    /** Measures the time of one exchange and checks that a stream is complete. */
    private static final class TimedExchange implements UpstreamListener {
        private static final byte[] STREAM_END =
                "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

        private static final int MAX_BODY_CHARS = 120;

        private final StringBuilder mErrorBody = new StringBuilder();
        private final String mTarget;
        private final boolean mIsStream;
        private final Histogram mLatency;
        private final AtomicInteger mFailed;
        private final CountDownLatch mDone;
        private final long mStartNanos = System.nanoTime();
        private final byte[] mLastBytes = new byte[STREAM_END.length];
        private volatile UpstreamCall mCall;
        private int mStatus;

        TimedExchange(
                String target,
                boolean stream,
                Histogram latency,
                AtomicInteger failed,
                CountDownLatch done) {
            mTarget = target;
            mIsStream = stream;
            mLatency = latency;
            mFailed = failed;
            mDone = done;
        }

        private void fail(String reason) {
            mFailed.incrementAndGet();
            FAILURE_COUNTS
                    .computeIfAbsent(mTarget + ": " + reason, key -> new LongAdder())
                    .increment();
        }

        @Override
        public boolean beforeSend() {
            return true;
        }

        @Override
        public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
            mStatus = status;
        }

        @Override
        public void onBody(ByteBuffer data) {
            int bytes = data.remaining();
            for (int i = 0; i < bytes; i++) {
                byte nextByte = data.get();
                if (mStatus != OK_STATUS && mErrorBody.length() < MAX_BODY_CHARS) {
                    mErrorBody.append((char) nextByte);
                }
                if (bytes - i <= mLastBytes.length) {
                    System.arraycopy(mLastBytes, 1, mLastBytes, 0, mLastBytes.length - 1);
                    mLastBytes[mLastBytes.length - 1] = nextByte;
                }
            }
            UpstreamCall call = mCall;
            if (call != null) {
                call.releaseWindow(bytes);
            }
        }

        @Override
        public void onEnd() {
            mLatency.recordValue((System.nanoTime() - mStartNanos) / 1_000);
            boolean isComplete = !mIsStream || Arrays.equals(STREAM_END, mLastBytes);
            if (mStatus != OK_STATUS || !isComplete) {
                fail("status " + mStatus + " " + mErrorBody);
            }
            mDone.countDown();
        }

        @Override
        public void onFailed(Exception cause, boolean mayHaveBeenSent) {
            fail(cause.toString());
            mDone.countDown();
        }
    }
}
