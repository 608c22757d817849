package org.hemlockrack.bench;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.testing.FleetClient;
import org.hemlockrack.testing.FleetProcess;
import org.hemlockrack.testing.LocalFleet;
import org.hemlockrack.testing.Relay;

/** Measures idle processes on loopback and the announcements of backend servers. */
final class CapacityProcess {
    private static final int TCP_HEADER_BYTES = 52;
    private static final int[] SERVER_COUNTS = {1, 2, 3, 4};
    private static final int SETTLE_MILLIS = 20_000;
    private static final int IDLE_MILLIS = 60_000;

    /** More than one, as just-in-time compilation takes much of the first minute. */
    private static final int IDLE_WINDOWS = 3;

    private static final int ANNOUNCE_MILLIS = 10_000;

    private final FleetClient mClient = FleetClient.create();

    void run() throws IOException {
        try (LocalFleet fleet = LocalFleet.create()) {
            fleet.addInstance("i1", "a");
            fleet.addInstance("i2", "b");
            fleet.addInstance("i3", "c");
            fleet.startInstances(3, "");
            String configuration = mClient.initialConfiguration();
            fleet.await(
                    "first configuration",
                    60,
                    () ->
                            mClient.patchConfiguration(
                                                    fleet.instance("i1").operatorAddress(),
                                                    0,
                                                    "first",
                                                    configuration)
                                            .status()
                                    == 200);
            measureIdle(fleet);
            measureAnnouncements(fleet);
        }
    }

    private static void measureIdle(LocalFleet fleet) throws IOException {
        LocalFleet.sleep(SETTLE_MILLIS);
        for (int window = 1; window <= IDLE_WINDOWS; window++) {
            measureCpuTime(fleet, "_minute_" + window + "_core_percent");
        }
        for (LocalFleet.Instance instance : fleet.instances()) {
            FleetProcess process = instance.process();
            String prefix = "idle_" + instance.id() + "_";
            CapacityBench.printValue(
                    prefix + "rss_mb", readStatusField(process, "VmRSS:") / 1024.0);
            CapacityBench.printValue(prefix + "threads", readStatusField(process, "Threads:"));
            printHeap(prefix, process);
        }
    }

    /** Prints the CPU time of each process during one window. */
    private static void measureCpuTime(LocalFleet fleet, String suffix) {
        List<Duration> before = new ArrayList<>();
        for (LocalFleet.Instance instance : fleet.instances()) {
            before.add(cpuTime(instance.process()));
        }
        long start = System.nanoTime();
        LocalFleet.sleep(IDLE_MILLIS);
        double seconds = (System.nanoTime() - start) / 1e9;
        for (int i = 0; i < before.size(); i++) {
            LocalFleet.Instance instance = fleet.instances().get(i);
            double usedSeconds = cpuTime(instance.process()).minus(before.get(i)).toNanos() / 1e9;
            CapacityBench.printValue("idle_" + instance.id() + suffix, 100 * usedSeconds / seconds);
        }
    }

    private static Duration cpuTime(FleetProcess process) {
        return ProcessHandle.of(process.pid())
                .flatMap(handle -> handle.info().totalCpuDuration())
                .orElseThrow();
    }

    private static long readStatusField(FleetProcess process, String field) throws IOException {
        Path file = Path.of("/proc", Long.toString(process.pid()), "status");
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(field)) {
                return Long.parseLong(line.substring(field.length()).replace("kB", "").trim());
            }
        }
        throw new IllegalStateException("no " + field + " in " + file);
    }

    /** Prints the used heap before and after a garbage collection. */
    private static void printHeap(String prefix, FleetProcess process) throws IOException {
        CapacityBench.printValue(prefix + "heap_used_mb", readUsedHeapMegabytes(process));
        runJcmd(process, "GC.run");
        CapacityBench.printValue(prefix + "heap_live_mb", readUsedHeapMegabytes(process));
    }

    private static double readUsedHeapMegabytes(FleetProcess process) throws IOException {
        String heapInfo = runJcmd(process, "GC.heap_info");
        int at = heapInfo.indexOf("used ") + "used ".length();
        return Long.parseLong(heapInfo.substring(at, heapInfo.indexOf('K', at))) / 1024.0;
    }

    private static String runJcmd(FleetProcess process, String command) throws IOException {
        String jcmdPath = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process jcmd =
                new ProcessBuilder(jcmdPath, Long.toString(process.pid()), command)
                        .redirectErrorStream(true)
                        .start();
        try (InputStream in = jcmd.getInputStream()) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void measureAnnouncements(LocalFleet fleet) throws IOException {
        LinearFit.Series bytes = LinearFit.series("announcement_bytes_per_s_by_workers");
        LinearFit.Series cpu = LinearFit.series("announcement_owner_core_percent_by_workers");
        FleetProcess owner = fleet.instance("i1").process();
        List<FleetProcess> startedServers = new ArrayList<>();
        try (Relay relay = Relay.open(0, parseAddress(fleet.instance("i1").internalAddress()))) {
            for (int servers : SERVER_COUNTS) {
                startedServers.add(startServer(fleet, servers, relay.address()));
                LocalFleet.sleep(ANNOUNCE_MILLIS);
                Duration before = cpuTime(owner);
                long bytesBefore = wireBytes(relay);
                LocalFleet.sleep(ANNOUNCE_MILLIS);
                double seconds = ANNOUNCE_MILLIS / 1e3;
                bytes.add(servers, (wireBytes(relay) - bytesBefore) / seconds);
                cpu.add(servers, cpuTime(owner).minus(before).toNanos() / 1e7 / seconds);
            }
            // Just-in-time compilation is part of the points above, but not of this later window.
            measureCpuTime(fleet, "_after_announcements_core_percent");
        } finally {
            startedServers.forEach(FleetProcess::close);
        }
        bytes.fitAndPrint(3);
        cpu.fitAndPrint(3);
    }

    private static InetSocketAddress parseAddress(String address) {
        HostAndPort parsed = HostAndPort.fromString(address);
        return new InetSocketAddress(parsed.getHost(), parsed.getPort());
    }

    /** Returns the forwarded bytes with the headers of each segment and its acknowledgement. */
    private static long wireBytes(Relay relay) {
        return relay.forwardedBytes() + 2 * TCP_HEADER_BYTES * relay.forwardedReads();
    }

    private static FleetProcess startServer(LocalFleet fleet, int number, String announceTo) {
        String id = "worker-" + number;
        return FleetProcess.start(
                id,
                fleet.folder().resolve(id + ".log"),
                "64m",
                "org.hemlockrack.testing.BackendServer",
                List.of(
                        "--id",
                        id,
                        "--zone",
                        "a",
                        "--service",
                        "assistant",
                        "--kind",
                        "model",
                        "--announce",
                        announceTo));
    }
}
