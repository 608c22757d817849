package org.hemlockrack.testing;

import com.google.common.io.Closer;
import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.hemlockrack.daemon.settings.Settings;
import org.jspecify.annotations.Nullable;

/** A fleet of instances and backend servers as processes on loopback, for tests and benchmarks. */
public final class LocalFleet implements AutoCloseable {
    private static final long POLL_MILLIS = 50;
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;

    /** Starts at a random port, so that concurrent test processes rarely try the same ports. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(new SecureRandom().nextInt(PORT_COUNT));

    private final Path mFolder;
    private final Closer mCloser = Closer.create();
    private final Map<String, Instance> mInstances = new LinkedHashMap<>();
    private final Map<String, FleetProcess> mBackendProcesses = new LinkedHashMap<>();
    private final Map<String, String> mBackendAddresses = new LinkedHashMap<>();
    private final Map<String, Relay> mBackendRelays = new LinkedHashMap<>();
    private @Nullable InstanceRelays mInstanceRelays;
    private String mInstanceHeap = "256m";

    /** An instance with its addresses and its process. */
    public static final class Instance {
        private final String mId;
        private final String mZone;
        private final int[] mPorts;
        private FleetProcess mProcess;

        private Instance(String id, String zone, int[] ports) {
            mId = id;
            mZone = zone;
            mPorts = ports;
        }

        /** Returns the instance id. */
        public String id() {
            return mId;
        }

        /** Returns the address for callers. */
        public String callerAddress() {
            return address(0);
        }

        /** Returns the address for backend servers and forwarded requests. */
        public String internalAddress() {
            return address(1);
        }

        /** Returns the address for operators. */
        public String operatorAddress() {
            return address(2);
        }

        /** Returns the address for other instances. */
        public String peerAddress() {
            return address(3);
        }

        /** Returns the process of the instance; not set before it is started. */
        public FleetProcess process() {
            return mProcess;
        }

        private String address(int index) {
            return "127.0.0.1:" + mPorts[index];
        }
    }

    private LocalFleet(Path folder) {
        mFolder = folder;
    }

    /** Creates a fleet without processes in a new temporary folder. */
    public static LocalFleet create() {
        try {
            LocalFleet fleet = new LocalFleet(Files.createTempDirectory("fleet"));
            fleet.mCloser.register(() -> deleteFolder(fleet.mFolder));
            return fleet;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void deleteFolder(Path folder) throws IOException {
        MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
    }

    /**
     * Returns ports that are free now; the started processes bind them later. They lie below the
     * ephemeral port range of Linux, because the kernel could assign an ephemeral port to another
     * socket before it is bound. No port is returned twice before the range is used up.
     */
    static int[] freePorts(int count) {
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            do {
                ports[i] = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORT_COUNT);
            } while (!isFree(ports[i]));
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Adds an instance without starting it.
     *
     * @param id instance id
     * @param zone availability zone
     * @return the instance with its addresses
     */
    public Instance addInstance(String id, String zone) {
        Instance instance = new Instance(id, zone, freePorts(4));
        mInstances.put(id, instance);
        return instance;
    }

    /**
     * Starts all added instances. The first ones are voters of the consensus group.
     *
     * @param voterCount number of voters
     * @param extraSettings TOML tables that are appended to the settings of each instance
     */
    public void startInstances(int voterCount, String extraSettings) {
        List<Instance> instances = List.copyOf(mInstances.values());
        String seeds =
                joinQuoted(
                        instances.stream().map(Instance::peerAddress).collect(Collectors.toList()));
        String voters =
                joinQuoted(
                        instances.stream()
                                .limit(voterCount)
                                .map(instance -> instance.id() + "=" + instance.peerAddress())
                                .collect(Collectors.toList()));
        for (int i = 0; i < instances.size(); i++) {
            String dataFolder = i < voterCount ? dataFolder(instances.get(i).id()).toString() : "";
            startInstance(instances.get(i), seeds, dataFolder, voters, extraSettings);
        }
    }

    /**
     * Sets the maximum heap of the instances that are started from now on.
     *
     * @param heap size, such as {@code 64m}
     */
    public void setInstanceHeap(String heap) {
        mInstanceHeap = heap;
    }

    private static String joinQuoted(List<String> values) {
        return values.stream().map(value -> '"' + value + '"').collect(Collectors.joining(", "));
    }

    /**
     * Opens relays between all added instances, and from now on one for each backend server that is
     * started. Call this before the instances are started.
     */
    public void openRelays() {
        InstanceRelays relays = InstanceRelays.open(instances());
        mCloser.register(relays::close);
        mInstanceRelays = relays;
    }

    /**
     * Returns the relays between instances.
     *
     * @throws IllegalStateException if {@link #openRelays} was not called
     */
    public InstanceRelays instanceRelays() {
        if (mInstanceRelays == null) {
            throw new IllegalStateException("the fleet has no relays");
        }
        return mInstanceRelays;
    }

    /**
     * Returns the relay through which owners reach a backend server.
     *
     * @param id backend server id
     * @return the relay
     */
    public Relay backendRelay(String id) {
        return mBackendRelays.get(id);
    }

    /**
     * Returns the address of a backend server itself, not of its relay.
     *
     * @param id backend server id
     * @return {@code ip:port} where the server listens
     */
    public String backendAddress(String id) {
        return mBackendAddresses.get(id);
    }

    /**
     * Simulates the loss of a disk: kills a voter, deletes its data folder and restarts it.
     *
     * @param id instance id
     */
    public void restartWithEmptyDisk(String id) {
        mInstances.get(id).process().kill();
        try {
            deleteFolder(dataFolder(id));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mInstances.get(id).process().restart();
    }

    /**
     * Returns the data folder of a voter.
     *
     * @param id instance id
     * @return path of the folder
     */
    public Path dataFolder(String id) {
        return mFolder.resolve("data-" + id);
    }

    /** Returns the temporary folder, which is deleted when the fleet is closed. */
    public Path folder() {
        return mFolder;
    }

    private void startInstance(
            Instance instance,
            String seeds,
            String dataFolder,
            String voters,
            String extraSettings) {
        String settings =
                String.format(
                        """
                        [instance]
                        id = "%s"
                        zone = "%s"
                        region = "r1"
                        [listen]
                        callers = "%s"
                        internal = "%s"
                        operators = "%s"
                        peer = "%s"
                        [peers]
                        seeds = [%s]
                        routes = [%s]
                        [voter]
                        data_folder = "%s"
                        voters = [%s]
                        %s
                        """,
                        instance.id(),
                        instance.mZone,
                        instance.callerAddress(),
                        instance.internalAddress(),
                        instance.operatorAddress(),
                        instance.peerAddress(),
                        seeds,
                        mInstanceRelays == null
                                ? ""
                                : joinQuoted(mInstanceRelays.routeSettings(instance.id())),
                        dataFolder,
                        voters,
                        extraSettings);
        Path file = mFolder.resolve(instance.id() + ".toml");
        try {
            Files.writeString(file, settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        instance.mProcess =
                FleetProcess.start(
                        instance.id(),
                        mFolder.resolve(instance.id() + ".log"),
                        mInstanceHeap,
                        "org.hemlockrack.daemon.Main",
                        List.of("--config", file.toString()));
        mCloser.register(instance.mProcess::close);
    }

    /**
     * Starts a simulated backend server with the addresses of all instances.
     *
     * @param id backend server id
     * @param zone availability zone
     * @param service service that it belongs to
     * @param kind {@code model} or {@code plain}
     * @param moreOptions further command line options, see {@link BackendOptions}
     * @return the process
     */
    public FleetProcess startBackend(
            String id, String zone, String service, String kind, String... moreOptions) {
        List<String> args =
                new ArrayList<>(
                        List.of("--id", id, "--zone", zone, "--service", service, "--kind", kind));
        args.addAll(List.of(moreOptions));
        assignAddress(id, args);
        args.add("--announce");
        mInstances.values().forEach(instance -> args.add(instance.internalAddress()));
        FleetProcess process =
                FleetProcess.start(
                        id,
                        mFolder.resolve(id + ".log"),
                        "64m",
                        "org.hemlockrack.testing.BackendServer",
                        args);
        mCloser.register(process::close);
        mBackendProcesses.put(id, process);
        return process;
    }

    private void assignAddress(String id, List<String> args) {
        int port = freePorts(1)[0];
        String address = "127.0.0.1:" + port;
        args.addAll(List.of("--port", Integer.toString(port)));
        mBackendAddresses.put(id, address);
        if (mInstanceRelays != null) {
            Relay relay = Relay.open(0, Settings.toAddress(address));
            mCloser.register(relay::close);
            mBackendRelays.put(id, relay);
            args.addAll(List.of("--advertise", relay.address()));
        }
    }

    /**
     * Returns an instance.
     *
     * @param id instance id
     * @return the instance
     */
    public Instance instance(String id) {
        return mInstances.get(id);
    }

    /** Returns all instances in the order in which they were added. */
    public List<Instance> instances() {
        return List.copyOf(mInstances.values());
    }

    /**
     * Returns the process of a backend server.
     *
     * @param id backend server id
     * @return the process
     */
    public FleetProcess backendProcess(String id) {
        return mBackendProcesses.get(id);
    }

    /**
     * Polls a condition until it is met.
     *
     * @param description description of the condition for the error message
     * @param timeoutSeconds timeout
     * @param condition the condition; it counts as not met while it throws an exception
     * @throws IllegalStateException if the timeout expires; its message contains the logs of all
     *     instances
     */
    public void await(String description, int timeoutSeconds, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + timeoutSeconds * 1_000_000_000L;
        RuntimeException lastFailure = null;
        while (System.nanoTime() - deadlineNanos < 0) {
            try {
                if (condition.getAsBoolean()) {
                    return;
                }
            } catch (RuntimeException e) {
                lastFailure = e;
            }
            sleep(POLL_MILLIS);
        }
        StringBuilder logs = new StringBuilder();
        for (Instance instance : mInstances.values()) {
            logs.append("\n== ").append(instance.id()).append('\n');
            logs.append(instance.process().readLog());
        }
        throw new IllegalStateException(
                "not within " + timeoutSeconds + " s: " + description + logs, lastFailure);
    }

    /**
     * Sleeps.
     *
     * @param millis duration
     * @throws IllegalStateException if the thread is interrupted
     */
    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        try {
            mCloser.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
