package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Three controllers and some gateways as separate processes, started with the commands of the
 * deploy file. Every machine has a loopback address of its own, and ports are the same on all
 * machines. Machine numbers start at 1; machine N is in zone N.
 */
final class Fleet implements AutoCloseable {
    static final int CONTROLLERS = 3;

    private static final String SETTINGS_PLACE = "/etc/hemlockrack/local.json";

    private final Path mRoot;
    private final Path mFolder;
    private final EventRecord mRecord;
    private final int mGateways;
    private final int mFirstPort;
    private final Map<String, Process> mProcesses = new LinkedHashMap<>();
    private volatile boolean mClosing;

    Fleet(Path root, Path folder, EventRecord record, int gateways) throws IOException {
        mRoot = root;
        mFolder = folder;
        mRecord = record;
        mGateways = gateways;
        mFirstPort = freePorts();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static String controllerIp(int number) {
        return "127.0." + number + ".1";
    }

    static String gatewayIp(int number) {
        return "127.0." + number + ".2";
    }

    static String workerIp(int zone) {
        return "127.0." + zone + ".64";
    }

    static String zone(int number) {
        return "zone-" + number;
    }

    int adminPort() {
        return mFirstPort;
    }

    int frontPort() {
        return mFirstPort + 1;
    }

    int readinessPort() {
        return mFirstPort + 2;
    }

    /** Returns the first of 20 ports that are free on all addresses. */
    private int freePorts() throws IOException {
        Random random = new Random();
        for (int tries = 0; tries < 100; tries++) {
            int first = 14_000 + 20 * random.nextInt(800);
            if (areFree(first)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private boolean areFree(int first) {
        for (int number = 1; number <= Math.max(CONTROLLERS, mGateways); number++) {
            for (String ip : List.of(controllerIp(number), gatewayIp(number))) {
                for (int port = first; port < first + 20; port++) {
                    try (ServerSocket socket =
                            new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                        continue;
                    } catch (IOException e) {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    void startAll() throws IOException {
        for (int number = 1; number <= CONTROLLERS; number++) {
            startController(number, true);
        }
        for (int number = 1; number <= mGateways; number++) {
            startGateway(number);
        }
    }

    void startController(int number, boolean bootstrap) throws IOException {
        Path data = mFolder.resolve("data-" + number);
        Files.createDirectories(data);
        Map<String, Object> fields = settings(controllerIp(number), number, "core-" + number);
        fields.put("bind_addresses.admin", controllerIp(number) + ":" + adminPort());
        fields.put("bootstrap", bootstrap);
        fields.put("data_path", data.toString());
        start("controller-" + number, "controller", fields);
    }

    void startGateway(int number) throws IOException {
        Map<String, Object> fields = settings(gatewayIp(number), number, "edge-" + number);
        fields.put("bind_addresses.front_address", gatewayIp(number) + ":" + frontPort());
        fields.put("bind_addresses.readiness", gatewayIp(number) + ":" + readinessPort());
        fields.put("bootstrap", false);
        start("gateway-" + number, "gateway", fields);
    }

    /** The fields of the settings file, with the bounds of the site balon-hq. */
    private Map<String, Object> settings(String ip, int zone, String name) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("node_name", name);
        fields.put("ip", ip);
        fields.put("zone", zone(zone));
        fields.put("region", "region-1");
        fields.put("internal_port_range.0", mFirstPort + 4);
        List<String> seeds = new ArrayList<>();
        for (int number = 1; number <= CONTROLLERS; number++) {
            seeds.add(controllerIp(number) + ":" + adminPort());
        }
        fields.put("seed_nodes", seeds);
        fields.put("fault_tolerance.machines", 1);
        fields.put("timing_bounds.retry_budget_ratio", 0.2);
        fields.put("timing_bounds.budget_slack", 56);
        fields.put("timing_bounds.retry_window_s", 10);
        fields.put("timing_bounds.grace_period_s", 8);
        return fields;
    }

    private void start(String name, String role, Map<String, Object> fields) throws IOException {
        String deploy = Files.readString(mRoot.resolve("deploy/system.toml"));
        String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
        String template = Files.readString(mRoot.resolve(quoted(section, "template")));
        Path settings = mFolder.resolve(name + ".settings");
        Files.writeString(settings, fill(template, fields));
        List<String> command = new ArrayList<>();
        for (String word : quoted(section, "run").split(" ")) {
            command.add(word.equals(SETTINGS_PLACE) ? settings.toString() : word);
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(mRoot.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("HEMLOCKRACK_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(mFolder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        mProcesses.put(name, process);
        mRecord.line("%s started, process %d", name, process.pid());
        process.onExit()
                .thenAccept(
                        ended -> {
                            if (!mClosing) {
                                mRecord.line("%s ended with code %d", name, ended.exitValue());
                            }
                        });
    }

    private static String quoted(String section, String key) {
        Matcher matcher =
                Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(section);
        if (!matcher.find()) {
            throw new IllegalStateException("the deploy file has no " + key);
        }
        return matcher.group(1);
    }

    /** Fills in a template by those rules of the platform that the two templates use. */
    private static String fill(String template, Map<String, Object> fields) {
        String text = template;
        Matcher section =
                Pattern.compile("\\{\\{#([a-z_.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL)
                        .matcher(text);
        StringBuilder filled = new StringBuilder();
        while (section.find()) {
            List<String> entries = new ArrayList<>();
            Object value = fields.get(section.group(1));
            List<?> values = value instanceof List<?> list ? list : present(value);
            for (int i = 0; i < values.size(); i++) {
                entries.add(
                        section.group(2)
                                .replace("{{.}}", values.get(i).toString())
                                .replace("{{,}}", i + 1 < values.size() ? "," : ""));
            }
            section.appendReplacement(
                    filled, Matcher.quoteReplacement(String.join("", entries)));
        }
        section.appendTail(filled);
        Matcher name = Pattern.compile("\\{\\{([a-z_.0-9]+)}}").matcher(filled.toString());
        StringBuilder result = new StringBuilder();
        while (name.find()) {
            Object value = fields.get(name.group(1));
            name.appendReplacement(
                    result, Matcher.quoteReplacement(value == null ? "" : value.toString()));
        }
        name.appendTail(result);
        return result.toString();
    }

    /** A section is left out without a value, and rendered once for a single one. */
    private static List<?> present(Object value) {
        return value == null ? List.of() : List.of(value);
    }

    Process process(String name) {
        return mProcesses.get(name);
    }

    /** Sends a signal, such as STOP, to a process of this fleet. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        long pid = mProcesses.get(name).pid();
        mRecord.line("signal %s to %s", signal, name);
        // The shell's own kill, as there may be no program of that name.
        String command = "kill -" + signal + " " + pid;
        if (new ProcessBuilder("sh", "-c", command).start().waitFor() != 0) {
            throw new IOException(command + " failed");
        }
    }

    /** Returns whether a gateway answers the platform's readiness check within a second. */
    boolean isReady(int gateway) {
        try {
            return Http.call(
                                    gatewayIp(gateway),
                                    readinessPort(),
                                    "GET",
                                    "/readyz",
                                    List.of(new Http.Field("Host", gatewayIp(gateway))),
                                    new byte[0],
                                    1_000,
                                    1_000)
                            .status()
                    == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Waits until all gateways are ready. Returns false after a timeout. */
    boolean awaitReady(int timeoutSeconds) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        for (int number = 1; number <= mGateways; number++) {
            while (!isReady(number)) {
                if (System.nanoTime() - endNanos > 0) {
                    return false;
                }
                Thread.sleep(100);
            }
        }
        return true;
    }

    private void killAll() {
        mClosing = true;
        mProcesses.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws InterruptedException {
        killAll();
        for (Process process : mProcesses.values()) {
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
