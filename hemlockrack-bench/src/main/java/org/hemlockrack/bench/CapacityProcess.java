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

/** Idle processes on loopback: processor time, memory, threads; announcements of workers. */
final class CapacityProcess {
    private static final int TCP_HEADER_BYTES = 52;
    private static final int[] WORKERS = {1, 2, 3, 4};
    private static final int SETTLE_MILLIS = 20_000;
    private static final int IDLE_MILLIS = 60_000;

    /** Compilation takes a good part of the first minute. */
    private static final int IDLE_WINDOWS = 3;

    private static final int ANNOUNCE_MILLIS = 10_000;

    private final FleetClient mClient = FleetClient.create();

    void run() throws IOException {
        try (LocalFleet fleet = LocalFleet.create()) {
            fleet.addInstance("i1", "a");
            fleet.addInstance("i2", "b");
            fleet.addInstance("i3", "c");
            fleet.startInstances(3, "");
            String first = mClient.initialConfiguration();
            fleet.await(
                    "first configuration",
                    60,
                    () ->
                            mClient.patchConfiguration(
                                                    fleet.instance("i1").operatorAddress(),
                                                    0,
                                                    "first",
                                                    first)
                                            .status()
                                    == 200);
            idle(fleet);
            announcements(fleet);
        }
    }

    private static void idle(LocalFleet fleet) throws IOException {
        LocalFleet.sleep(SETTLE_MILLIS);
        for (int window = 1; window <= IDLE_WINDOWS; window++) {
            processorTime(fleet, "_minute_" + window + "_core_percent");
        }
        for (LocalFleet.Instance instance : fleet.instances()) {
            FleetProcess process = instance.process();
            String prefix = "idle_" + instance.id() + "_";
            CapacityBench.value(prefix + "rss_mb", status(process, "VmRSS:") / 1024.0);
            CapacityBench.value(prefix + "threads", status(process, "Threads:"));
            heap(prefix, process);
        }
    }

    /** Prints the processor time of each process over one window. */
    private static void processorTime(LocalFleet fleet, String name) {
        List<Duration> before = new ArrayList<>();
        for (LocalFleet.Instance instance : fleet.instances()) {
            before.add(cpu(instance.process()));
        }
        long start = System.nanoTime();
        LocalFleet.sleep(IDLE_MILLIS);
        double seconds = (System.nanoTime() - start) / 1e9;
        for (int i = 0; i < before.size(); i++) {
            LocalFleet.Instance instance = fleet.instances().get(i);
            double used = cpu(instance.process()).minus(before.get(i)).toNanos() / 1e9;
            CapacityBench.value("idle_" + instance.id() + name, 100 * used / seconds);
        }
    }

    private static Duration cpu(FleetProcess process) {
        return ProcessHandle.of(process.pid())
                .flatMap(handle -> handle.info().totalCpuDuration())
                .orElseThrow();
    }

    private static long status(FleetProcess process, String field) throws IOException {
        Path file = Path.of("/proc", Long.toString(process.pid()), "status");
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(field)) {
                return Long.parseLong(line.substring(field.length()).replace("kB", "").trim());
            }
        }
        throw new IllegalStateException("no " + field + " in " + file);
    }

    /** Prints the used heap before and after a collection. */
    private static void heap(String prefix, FleetProcess process) throws IOException {
        CapacityBench.value(prefix + "heap_used_mb", usedMegabytes(process));
        diagnose(process, "GC.run");
        CapacityBench.value(prefix + "heap_live_mb", usedMegabytes(process));
    }

    private static double usedMegabytes(FleetProcess process) throws IOException {
        String info = diagnose(process, "GC.heap_info");
        int at = info.indexOf("used ") + "used ".length();
        return Long.parseLong(info.substring(at, info.indexOf('K', at))) / 1024.0;
    }

    private static String diagnose(FleetProcess process, String command) throws IOException {
        String tool = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process run =
                new ProcessBuilder(tool, Long.toString(process.pid()), command)
                        .redirectErrorStream(true)
                        .start();
        try (InputStream in = run.getInputStream()) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void announcements(LocalFleet fleet) throws IOException {
        LinearFit.Series bytes = LinearFit.points("announcement_bytes_per_s_by_workers");
        LinearFit.Series cpu = LinearFit.points("announcement_owner_core_percent_by_workers");
        FleetProcess owner = fleet.instance("i1").process();
        List<FleetProcess> started = new ArrayList<>();
        try (Relay relay = Relay.open(0, target(fleet.instance("i1").internalAddress()))) {
            for (int workers : WORKERS) {
                started.add(startWorker(fleet, workers, relay.address()));
                LocalFleet.sleep(ANNOUNCE_MILLIS);
                Duration before = cpu(owner);
                long bytesBefore = wireBytes(relay);
                LocalFleet.sleep(ANNOUNCE_MILLIS);
                double seconds = ANNOUNCE_MILLIS / 1e3;
                bytes.add(workers, (wireBytes(relay) - bytesBefore) / seconds);
                cpu.add(workers, cpu(owner).minus(before).toNanos() / 1e7 / seconds);
            }
            // The points above include the compilation of the path; this window comes after it.
            processorTime(fleet, "_after_announcements_core_percent");
        } finally {
            started.forEach(FleetProcess::close);
        }
        bytes.print(3);
        cpu.print(3);
    }

    private static InetSocketAddress target(String address) {
        HostAndPort parsed = HostAndPort.fromString(address);
        return new InetSocketAddress(parsed.getHost(), parsed.getPort());
    }

    /** Adds the headers of each segment and of its acknowledgement. */
    private static long wireBytes(Relay relay) {
        return relay.forwardedBytes() + 2 * TCP_HEADER_BYTES * relay.forwardedReads();
    }

    private static FleetProcess startWorker(LocalFleet fleet, int number, String announceTo) {
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
