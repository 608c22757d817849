package org.hemlockrack.bench;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Measures how long gateways are without a confirmed table when all controllers are killed right
 * after they have acknowledged one. Runs three controllers and two gateways as processes.
 */
public final class RestartBench implements AutoCloseable {
    private static final int CONTROLLERS = 3;
    private static final int GATEWAYS = 2;
    private static final long DOWN_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 30_000;
    private static final long POLL_MILLIS = 5;

    /** Longest time from the start of the controllers to a confirmed table on every gateway. */
    private static final long BOUND_MILLIS = 3_000;

    private final Path mFolder = Files.createTempDirectory("restartbench");
    private final int mControlPort = freePort();
    private final int mPeerPort = freePort();
    private final List<Integer> mPagePorts = new ArrayList<>();
    private final Map<String, Process> mProcesses = new HashMap<>();
    private final HttpClient mClient =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private final int mTableBytes;
    private long mVersion;

    private RestartBench(int tableBytes) throws IOException {
        mTableBytes = tableBytes;
    }

    /**
     * Runs the benchmark.
     *
     * @param args {@code --rounds N}, 5 if absent
     * @throws IOException if a process cannot be started
     */
    public static void main(String[] args) throws IOException {
        int rounds = args.length == 2 ? Integer.parseInt(args[1]) : 5;
        System.out.printf(
                "%12s %6s %14s %14s %14s%n",
                "table bytes", "round", "from start ms", "from kill ms", "by leader ms");
        long longestMillis = 0;
        for (int tableBytes : new int[] {4_000, 1_000_000}) {
            try (RestartBench bench = new RestartBench(tableBytes)) {
                bench.start();
                for (int round = 1; round <= rounds; round++) {
                    longestMillis = Math.max(longestMillis, bench.measure(round));
                }
            }
        }
        System.out.printf("confirmed_after_start_ms_max=%d%n", longestMillis);
        System.out.printf("confirmed_after_start_ms_bound=%d%n", BOUND_MILLIS);
        if (longestMillis > BOUND_MILLIS) {
            System.exit(1);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private void start() throws IOException {
        startControllers(true);
        for (int number = 1; number <= GATEWAYS; number++) {
            startGateway(number);
        }
        publishNext();
        await(() -> allGateways("hemlockrack_config_version", version -> version >= mVersion));
    }

    private void startControllers(boolean isFirst) throws IOException {
        for (int number = 1; number <= CONTROLLERS; number++) {
            String ip = "127.0.0." + number;
            start(
                    "controller-" + number,
                    """
                    [instance]
                    id = "%s"
                    zone = "a"
                    role = "controller"
                    [listen]
                    operators = "%s:%d"
                    peer = "%s:%d"
                    [fleet]
                    controllers = [%s]
                    peer_port = %d
                    form_log = "%s"
                    [voter]
                    data_folder = "%s"
                    """
                            .formatted(
                                    ip,
                                    ip,
                                    mControlPort,
                                    ip,
                                    mPeerPort,
                                    controllers(),
                                    mPeerPort,
                                    isFirst,
                                    mFolder.resolve(ip)));
        }
    }

    private String controllers() {
        List<String> addresses = new ArrayList<>();
        for (int number = 1; number <= CONTROLLERS; number++) {
            addresses.add("\"127.0.0." + number + ":" + mControlPort + "\"");
        }
        return String.join(",", addresses);
    }

    private void startGateway(int number) throws IOException {
        mPagePorts.add(freePort());
        start(
                "gateway-" + number,
                """
                [instance]
                id = "g%d"
                zone = "a"
                role = "gateway"
                [listen]
                callers = "127.0.0.1:%d"
                operators = "127.0.0.1:%d"
                [fleet]
                controllers = [%s]
                peer_port = %d
                """
                        .formatted(
                                number,
                                freePort(),
                                mPagePorts.get(number - 1),
                                controllers(),
                                mPeerPort));
    }

    private void start(String name, String settings) throws IOException {
        Path file = Files.writeString(mFolder.resolve(name + ".toml"), settings);
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx160m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        TableInstance.class.getName(),
                        "--config",
                        file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(mFolder.resolve(name + ".log").toFile()));
        mProcesses.put(name, builder.start());
    }

    private void publishNext() {
        mVersion++;
        byte[] document = TableProtocol.document(mVersion, mTableBytes);
        await(() -> publish(document));
    }

    private boolean publish(byte[] document) {
        for (int number = 1; number <= CONTROLLERS; number++) {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://127.0.0." + number + ":" + mControlPort))
                            .PUT(HttpRequest.BodyPublishers.ofByteArray(document))
                            .timeout(Duration.ofSeconds(4))
                            .build();
            if (send(request).isOk()) {
                return true;
            }
        }
        return false;
    }

    /** Kills all controllers after an acknowledgement; returns the time from their start. */
    private long measure(int round) throws IOException {
        publishNext();
        long killNanos = System.nanoTime();
        for (int number = 1; number <= CONTROLLERS; number++) {
            mProcesses.get("controller-" + number).destroyForcibly();
        }
        sleep(DOWN_MILLIS);
        long startNanos = System.nanoTime();
        startControllers(false);
        await(
                () ->
                        allGateways("hemlockrack_config_version", value -> value >= mVersion)
                                && isNewer("hemlockrack_table_age_seconds", startNanos));
        long confirmedNanos = System.nanoTime();
        await(() -> isNewer("hemlockrack_view_age_seconds", startNanos));
        long fromStartMillis = TimeUnit.NANOSECONDS.toMillis(confirmedNanos - startNanos);
        System.out.printf(
                "%12d %6d %14d %14d %14d%n",
                mTableBytes,
                round,
                fromStartMillis,
                TimeUnit.NANOSECONDS.toMillis(confirmedNanos - killNanos),
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
        return fromStartMillis;
    }

    /** Returns whether an age on all gateways is less than the time since the start. */
    private boolean isNewer(String metric, long startNanos) {
        return allGateways(metric, age -> age < (System.nanoTime() - startNanos) / 1e9);
    }

    /** A condition on the value of a metric. */
    private interface Condition {
        boolean test(double value);
    }

    private boolean allGateways(String metric, Condition condition) {
        for (int port : mPagePorts) {
            Reply page =
                    send(
                            HttpRequest.newBuilder(
                                            URI.create("http://127.0.0.1:" + port + "/metrics"))
                                    .timeout(Duration.ofSeconds(1))
                                    .build());
            if (!page.isOk() || !condition.test(page.metric(metric))) {
                return false;
            }
        }
        return true;
    }

    /** Status and body of an answer; status 0 means that there was none. */
    private record Reply(int status, String body) {
        boolean isOk() {
            return status == 200;
        }

        double metric(String name) {
            for (String line : body.split("\n")) {
                if (line.startsWith(name + " ")) {
                    return Double.parseDouble(line.substring(name.length() + 1));
                }
            }
            throw new IllegalStateException(name + " is missing");
        }
    }

    private Reply send(HttpRequest request) {
        try {
            HttpResponse<String> response =
                    mClient.send(request, HttpResponse.BodyHandlers.ofString());
            return new Reply(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Reply(0, "");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Reply(0, "");
        }
    }

    private static void await(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos > 0) {
                throw new IllegalStateException("timed out");
            }
            sleep(POLL_MILLIS);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        mProcesses.values().forEach(Process::destroyForcibly);
    }
}
