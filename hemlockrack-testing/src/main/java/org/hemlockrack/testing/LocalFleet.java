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

/** A fleet of real processes on loopback, for tests and benchmarks. */
public final class LocalFleet implements AutoCloseable {
    private static final long POLL_MILLIS = 50;
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;

    /** Starts anywhere, so that test processes that run at the same time rarely meet. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(new SecureRandom().nextInt(PORTS));

    private final Path mFolder;
    private final Closer mCloser = Closer.create();
    private final Map<String, Instance> mInstances = new LinkedHashMap<>();
    private final Map<String, FleetProcess> mBackends = new LinkedHashMap<>();
    private final Map<String, String> mBackendAddresses = new LinkedHashMap<>();
    private final Map<String, Relay> mBackendRelays = new LinkedHashMap<>();
    private @Nullable Links mLinks;

    /** One instance and its addresses. */
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

        /** Returns the running process. */
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

    /** Creates a fleet without processes, with a temporary folder of its own. */
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
     * Returns free ports; they are released before the processes bind them. They lie below the
     * range from which Linux assigns ports, because an assigned one can be assigned again to a
     * connection or another socket in between. None is returned twice.
     */
    static int[] freePorts(int count) {
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            do {
                ports[i] = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
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
     * Plans an instance without starting it.
     *
     * @param id instance id
     * @param zone availability zone
     * @return the instance
     */
    public Instance addInstance(String id, String zone) {
        Instance instance = new Instance(id, zone, freePorts(4));
        mInstances.put(id, instance);
        return instance;
    }

    /**
     * Starts all planned instances; the first ones are voters.
     *
     * @param voters number of voters
     * @param moreSettings TOML tables appended to the settings of each instance
     */
    public void startInstances(int voters, String moreSettings) {
        List<Instance> all = List.copyOf(mInstances.values());
        String seeds = quoted(all.stream().map(Instance::peerAddress).collect(Collectors.toList()));
        String listed =
                quoted(
                        all.stream()
                                .limit(voters)
                                .map(instance -> instance.id() + "=" + instance.peerAddress())
                                .collect(Collectors.toList()));
        for (int i = 0; i < all.size(); i++) {
            String folder = i < voters ? dataFolder(all.get(i).id()).toString() : "";
            start(all.get(i), seeds, folder, listed, moreSettings);
        }
    }

    private static String quoted(List<String> texts) {
        return texts.stream().map(text -> '"' + text + '"').collect(Collectors.joining(", "));
    }

    /** Puts relays between all planned instances, and before backend servers started later. */
    public void link() {
        Links links = Links.open(instances());
        mCloser.register(links::close);
        mLinks = links;
    }

    /**
     * Returns the relays between instances.
     *
     * @throws IllegalStateException without {@link #link}
     */
    public Links links() {
        if (mLinks == null) {
            throw new IllegalStateException("the fleet has no relays");
        }
        return mLinks;
    }

    /**
     * Returns the relay between owners and a backend server.
     *
     * @param id backend server id
     * @return the relay
     */
    public Relay backendRelay(String id) {
        return mBackendRelays.get(id);
    }

    /**
     * Returns the own address of a backend server, for its pages.
     *
     * @param id backend server id
     * @return {@code ip:port}
     */
    public String backendAddress(String id) {
        return mBackendAddresses.get(id);
    }

    /**
     * Ends an instance with SIGKILL, removes its data folder and starts it again.
     *
     * @param id instance id
     */
    public void replaceDisk(String id) {
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
     * @return the folder
     */
    public Path dataFolder(String id) {
        return mFolder.resolve("data-" + id);
    }

    /** Returns the temporary folder. */
    public Path folder() {
        return mFolder;
    }

    private void start(Instance instance, String seeds, String folder, String voters, String more) {
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
                        mLinks == null ? "" : quoted(mLinks.routes(instance.id())),
                        folder,
                        voters,
                        more);
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
                        "256m",
                        "org.hemlockrack.daemon.Main",
                        List.of("--config", file.toString()));
        mCloser.register(instance.mProcess::close);
    }

    /**
     * Starts a stand-in backend server that announces itself to all instances.
     *
     * @param id backend server id
     * @param zone availability zone
     * @param service service
     * @param kind {@code model} or {@code plain}
     * @param more further options of {@link BackendOptions}
     * @return the process
     */
    public FleetProcess startBackend(
            String id, String zone, String service, String kind, String... more) {
        List<String> args =
                new ArrayList<>(
                        List.of("--id", id, "--zone", zone, "--service", service, "--kind", kind));
        args.addAll(List.of(more));
        addAddress(id, args);
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
        mBackends.put(id, process);
        return process;
    }

    private void addAddress(String id, List<String> args) {
        int port = freePorts(1)[0];
        String address = "127.0.0.1:" + port;
        args.addAll(List.of("--port", Integer.toString(port)));
        mBackendAddresses.put(id, address);
        if (mLinks != null) {
            Relay relay = Relay.open(0, Settings.toAddress(address));
            mCloser.register(relay::close);
            mBackendRelays.put(id, relay);
            args.addAll(List.of("--advertise", relay.address()));
        }
    }

    /**
     * Returns an instance.
     *
     * @param id its id
     * @return the instance
     */
    public Instance instance(String id) {
        return mInstances.get(id);
    }

    /** Returns all instances. */
    public List<Instance> instances() {
        return List.copyOf(mInstances.values());
    }

    /**
     * Returns a backend server.
     *
     * @param id its id
     * @return its process
     */
    public FleetProcess backend(String id) {
        return mBackends.get(id);
    }

    /**
     * Waits for a condition.
     *
     * @param what the condition in words, for the message
     * @param seconds longest wait
     * @param condition the condition; an exception counts as not met
     */
    public void await(String what, int seconds, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + seconds * 1_000_000_000L;
        RuntimeException last = null;
        while (System.nanoTime() - endNanos < 0) {
            try {
                if (condition.getAsBoolean()) {
                    return;
                }
            } catch (RuntimeException e) {
                last = e;
            }
            sleep(POLL_MILLIS);
        }
        StringBuilder logs = new StringBuilder();
        for (Instance instance : mInstances.values()) {
            logs.append("\n== ").append(instance.id()).append('\n');
            logs.append(instance.process().log());
        }
        throw new IllegalStateException("not within " + seconds + " s: " + what + logs, last);
    }

    /**
     * Sleeps.
     *
     * @param millis how long
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
