package org.hemlockrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.ByteRange;
import net.jqwik.api.constraints.Size;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;

class ConfigStateProperties {
    private static final int RUNS = 1000;

    /**
     * Guards against two accepted commands on one base version, a retry that takes effect twice or
     * gets another result, a snapshot that loses a document or result, and a copy that goes back to
     * a lower version.
     */
    @Example
    void runsAgreeWithOracle() {
        Map<String, Integer> counts = new TreeMap<>();
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < RUNS; seed++) {
            run(seed, command -> command, counts, violations);
        }
        System.out.println("config histories=" + RUNS + " " + counts);
        System.out.println("config violations=" + violations.size());
        assertEquals(List.of(), violations);
    }

    /** Verifies the oracle: it must detect a state that does not recognize retries. */
    @Example
    void oracleDetectsUnrecognizedRetries() {
        List<String> violations = new ArrayList<>();
        int[] unique = new int[1];
        UnaryOperator<ConfigCommand> replaceRequestId =
                c ->
                        ConfigCommand.of(
                                c.requestId() + "-" + unique[0]++,
                                c.author(),
                                c.baseVersion(),
                                c.change());
        for (long seed = 0; seed < 20; seed++) {
            run(seed, replaceRequestId, new TreeMap<>(), violations);
        }
        assertTrue(violations.size() >= 15, "caught " + violations.size());
    }

    private static void run(
            long seed,
            UnaryOperator<ConfigCommand> variant,
            Map<String, Integer> counts,
            List<String> violations) {
        SplittableRandom random = new SplittableRandom(seed);
        ConfigState state = ConfigState.create();
        ConfigReplica replica = ConfigReplica.create();
        // The oracle holds the documents of all versions, as zone names with their states.
        List<Map<String, String>> versions = new ArrayList<>(List.of(Map.of()));
        Map<String, ConfigResult> firstResults = new TreeMap<>();
        List<ConfigCommand> sent = new ArrayList<>();
        for (int step = 0; step < 60; step++) {
            if (random.nextInt(8) == 0) {
                byte[] snapshot = state.snapshot();
                state = ConfigState.create();
                state.restore(snapshot);
                counts.merge("restarts", 1, Integer::sum);
            }
            boolean isRetry = !sent.isEmpty() && random.nextInt(3) == 0;
            ConfigCommand command =
                    isRetry
                            ? sent.get(random.nextInt(sent.size()))
                            : randomCommand(random, "r" + step, versions.size() - 1);
            sent.add(command);
            ConfigResult result =
                    ConfigResult.decode(state.apply(step, step, variant.apply(command).encode()));
            counts.merge(isRetry ? "resends" : "first sends", 1, Integer::sum);
            ConfigResult expected =
                    firstResults.computeIfAbsent(
                            command.requestId(), id -> expectedResult(command, versions));
            counts.merge(expected.outcome().name(), 1, Integer::sum);
            if (result.outcome() != expected.outcome() || result.version() != expected.version()) {
                violations.add("seed " + seed + " step " + step + ": " + result);
                return;
            }
            if (!zones(state.configuration()).equals(versions.get(versions.size() - 1))) {
                violations.add("seed " + seed + " step " + step + ": another document");
                return;
            }
            long before = replica.version();
            long offered = random.nextLong(0, state.version() + 1);
            replica.acceptIfNewer(offered, toml(versions.get((int) offered)));
            if (replica.version() != Math.max(before, offered)
                    || !zones(replica.configuration())
                            .equals(versions.get((int) replica.version()))) {
                violations.add("seed " + seed + " step " + step + ": the copy reverted");
                return;
            }
        }
    }

    private static ConfigCommand randomCommand(SplittableRandom random, String id, long version) {
        long base = Math.max(0, version - Math.max(0, random.nextInt(5) - 3));
        String zone = "z" + random.nextInt(4);
        String state = random.nextInt(6) == 0 ? "odd" : random.nextBoolean() ? "in" : "out";
        String table = "{\"region\": \"r\", \"state\": \"" + state + "\"}";
        ConfigCommand.Change change =
                switch (random.nextInt(5)) {
                    case 0 -> new ConfigCommand.JsonPatch("{\"zones\":{\"" + zone + "\":null}}");
                    case 1 -> new ConfigCommand.TomlPatch("remove = [\"zones." + zone + "\"]");
                    case 2 -> new ConfigCommand.Rollback(random.nextLong(version + 2));
                    case 3 ->
                            new ConfigCommand.TomlPatch(
                                    "[zones." + zone + "]\nregion='r'\nstate='" + state + "'");
                    default ->
                            new ConfigCommand.JsonPatch(
                                    "{\"zones\":{\"" + zone + "\":" + table + "}}");
                };
        return ConfigCommand.of(id, "operator", base, change);
    }

    private static ConfigResult expectedResult(
            ConfigCommand command, List<Map<String, String>> versions) {
        long version = versions.size() - 1;
        if (command.baseVersion() != version) {
            return ConfigResult.of(ConfigOutcome.CONFLICT, version, "");
        }
        Map<String, String> next = new TreeMap<>(versions.get((int) version));
        if (command.change() instanceof ConfigCommand.Rollback rollback) {
            if (rollback.version() > version) {
                return ConfigResult.of(ConfigOutcome.NOT_KEPT, version, "");
            }
            next = versions.get((int) rollback.version());
        } else {
            String text = command.change().toString();
            String zone = text.replaceAll("(?s).*(z[0-9]).*", "$1");
            if (text.contains("odd")) {
                return ConfigResult.of(ConfigOutcome.INVALID, version, "");
            }
            next.remove(zone);
            if (text.contains("state")) {
                next.put(zone, text.contains("out") ? "out" : "in");
            }
        }
        versions.add(next);
        return ConfigResult.of(ConfigOutcome.ACCEPTED, version + 1, "");
    }

    private static Map<String, String> zones(Configuration configuration) {
        Map<String, String> zones = new TreeMap<>();
        configuration.zones().forEach((k, v) -> zones.put(k.value(), v.inService() ? "in" : "out"));
        return zones;
    }

    private static String toml(Map<String, String> zones) {
        StringBuilder text = new StringBuilder();
        zones.forEach((k, v) -> text.append("[zones." + k + "]\nregion='r'\nstate='" + v + "'\n"));
        return text.toString();
    }

    /** Guards against differences between any two documents that a rollback fails to revert. */
    @Property(tries = 200)
    void rollbackRestoresAnyDocument(@ForAll long seed) {
        ConfigState state = ConfigState.create();
        for (int i = 0; i < 3; i++) {
            String whole = Configuration.parseToml(TestDocuments.random(seed + i)).toJson();
            state.apply(i, i, patch("p" + i, i, "{\"workspaces\":null, \"zones\":null}"));
            assertTrue(
                    ConfigResult.decode(state.apply(i, i, patch("q" + i, state.version(), whole)))
                            .isAccepted());
        }
        Configuration wanted = state.configuration();
        long version = state.version();
        state.apply(9, 9, patch("x", version, Configuration.empty().toJson()));
        state.apply(9, 9, patch("y", version + 1, "{\"limits\":null, \"services\":{}}"));
        ConfigCommand back =
                ConfigCommand.of("b", "o", state.version(), new ConfigCommand.Rollback(version));
        assertTrue(ConfigResult.decode(state.apply(9, 9, back.encode())).isAccepted());
        assertEquals(wanted, state.configuration());
    }

    /** Guards against a dry run that changes the state or omits a difference. */
    @Example
    void dryRunNamesDifferencesOnly() {
        ConfigState state = ConfigState.create();
        state.apply(1, 1, patch("a", 0, "{\"zones\":{\"z.1\":{\"region\":\"r\"}}}"));
        ConfigCommand command =
                ConfigCommand.of(
                        "b",
                        "o",
                        1,
                        new ConfigCommand.TomlPatch("zones.'z.1'.region='q'\nlimits.idle_ms=200"));
        ConfigState.DryRun dryRun = state.dryRun(command);
        assertEquals(1, state.version());
        assertEquals(
                List.of(
                        "zones.\"z.1\".region: \"r\" -> \"q\"",
                        "limits: (absent) -> {\"idle_ms\":200}"),
                dryRun.differences().stream().map(Difference::toString).toList());
    }

    /** Guards against malformed commands that make a voter fail instead of answering. */
    @Property(tries = 500)
    void arbitraryBytesAreRefused(@ForAll @Size(max = 64) List<@ByteRange Byte> bytes) {
        byte[] command = new byte[bytes.size()];
        for (int i = 0; i < command.length; i++) {
            command[i] = bytes.get(i);
        }
        ConfigState state = ConfigState.create();
        byte[] answer = state.apply(1, 1, command);
        assertEquals(ConfigOutcome.MALFORMED, ConfigResult.decode(answer).outcome());
        HemlockrackException thrown =
                assertThrows(HemlockrackException.class, () -> state.restore(command));
        assertEquals(ErrorKind.BAD_REQUEST, thrown.kind());
    }

    /** Guards against a wait that ends as in force while an instance lags, or that never ends. */
    @Example
    void propagationNamesLaggingInstances() {
        InstanceId a = InstanceId.of("a");
        InstanceId b = InstanceId.of("b");
        ConfigPropagation propagation = ConfigPropagation.create();
        List<ConfigPropagation.Output> out = new ArrayList<>();
        propagation.onEvent(0, new ConfigPropagation.ReachableChanged(Set.of(a, b)), out::add);
        propagation.onEvent(0, new ConfigPropagation.VersionReported(a, 3), out::add);
        propagation.onEvent(0, new ConfigPropagation.WaitStarted(1, 3, 100), out::add);
        propagation.onEvent(0, new ConfigPropagation.WaitStarted(2, 4, 50), out::add);
        assertEquals(List.of(b), propagation.status(3).lagging());
        assertEquals(List.of(), out);
        assertEquals(50, propagation.nextTimerNanos());
        propagation.onTimer(50, out::add);
        propagation.onEvent(60, new ConfigPropagation.VersionReported(b, 3), out::add);
        assertEquals(
                List.of(
                        new ConfigPropagation.WaitEnded(
                                2, new ConfigPropagation.Status(4, 2, List.of(a, b))),
                        new ConfigPropagation.WaitEnded(
                                1, new ConfigPropagation.Status(3, 2, List.of()))),
                out);
    }

    private static byte[] patch(String id, long base, String json) {
        return ConfigCommand.of(id, "o", base, new ConfigCommand.JsonPatch(json)).encode();
    }
}
