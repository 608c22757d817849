package org.hemlockrack.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

final class MainTest {
    private static final String REFUSAL =
            "{\"error\":{\"kind\":\"NO_QUORUM\",\"message\":\"no leader\",\"ran\":\"not_run\"}}";

    /** Every command that asks an instance, with the page it asks for. */
    record Case(String page, List<String> args) {
        String[] with(String... more) {
            return Stream.concat(args.stream(), Stream.of(more)).toArray(String[]::new);
        }
    }

    static Stream<Case> commands() {
        return Stream.of(
                new Case("GET /operator/v1/config", List.of("config", "get")),
                new Case(
                        "PATCH /operator/v1/config",
                        List.of("config", "patch", "--rollback", "3", "--base", "7")),
                new Case("GET /operator/v1/config/history", List.of("config", "history")),
                new Case("GET /operator/v1/config/wait", List.of("config", "wait", "7")),
                new Case("GET /operator/v1/status", List.of("status")),
                new Case("GET /operator/v1/instances", List.of("instances")),
                new Case("GET /operator/v1/backends", List.of("backends")),
                new Case("POST /operator/v1/zones/b/out", List.of("zone", "out", "b")),
                new Case("POST /operator/v1/zones/b/in", List.of("zone", "in", "b")),
                new Case("POST /operator/v1/instances/i2/drain", List.of("drain", "i2")),
                new Case("POST /operator/v1/instances/i2/undrain", List.of("undrain", "i2")),
                new Case("GET /operator/v1/voters", List.of("voters", "list")),
                new Case("POST /operator/v1/voters/i2/add", List.of("voters", "add", "i2")),
                new Case("POST /operator/v1/voters/i2/remove", List.of("voters", "remove", "i2")),
                new Case(
                        "POST /operator/v1/rollouts",
                        List.of(
                                "rollout",
                                "start",
                                "s",
                                "m",
                                "--from",
                                "v1",
                                "--to",
                                "v2",
                                "--deadline-ms",
                                "60000")),
                new Case("GET /operator/v1/rollouts", List.of("rollout", "status")),
                new Case("DELETE /operator/v1/rollouts/s/m", List.of("rollout", "stop", "s", "m")),
                new Case("GET /operator/v1/burn", List.of("report", "burn")));
    }

    /** Guards against a command that reports success after a refusal, or hides its reason. */
    @ParameterizedTest
    @MethodSource("commands")
    void refusalExitsWithOneAndNamesTheReason(Case command) {
        try (FakeInstance fake = FakeInstance.open().plan(command.page(), 503, REFUSAL)) {
            ToolRun text = ToolRun.of(command.with("--address", fake.address()));
            assertEquals(1, text.code());
            assertEquals("hemlockrack: NO_QUORUM: no leader", text.err().strip());
            ToolRun json = ToolRun.of(command.with("--json", "--address", fake.address()));
            assertEquals(1, json.code());
            assertEquals("NO_QUORUM", json.json().at("/error/kind").asText());
        }
    }

    /** Guards against an instance that is down being taken for a refusal, or for success. */
    @ParameterizedTest
    @MethodSource("commands")
    void unreachableInstanceExitsWithOneAndNamesTheAddress(Case command) throws IOException {
        String address = freeAddress();
        ToolRun text = ToolRun.of(command.with("--address", address));
        assertEquals(1, text.code());
        String start = "hemlockrack: NO_BACKEND: instance at " + address + " cannot be reached";
        assertTrue(text.err().startsWith(start), text.err());
        ToolRun json = ToolRun.of(command.with("--json", "--address", address));
        assertEquals(1, json.code());
        assertEquals("not_run", json.json().at("/error/ran").asText());
    }

    /** Guards against an answer of some other server being printed as if it were ours. */
    @ParameterizedTest
    @MethodSource("commands")
    void foreignErrorPageIsNamedAsSuch(Case command) {
        try (FakeInstance fake = FakeInstance.open().plan(command.page(), 404, "<html>")) {
            ToolRun run = ToolRun.of(command.with("--address", fake.address()));
            assertEquals(1, run.code());
            assertTrue(run.err().contains("not one of an operator port: \"<html>\""), run.err());
        }
    }

    /** Guards against help that exits as a usage fault or goes to the wrong stream. */
    @ParameterizedTest
    @MethodSource("commands")
    void helpOfEachCommandExitsWithZero(Case command) {
        ToolRun run = ToolRun.of(command.with("--help"));
        assertEquals(0, run.code());
        assertTrue(run.out().startsWith("usage: hemlockrack "), run.out());
        assertTrue(run.out().contains("--json"), run.out());
        assertEquals("", run.err());
    }

    @Test
    void helpNamesAllCommands() {
        ToolRun run = ToolRun.of("--help");
        assertEquals(0, run.code());
        assertEquals(0, ToolRun.of("config", "check", "--help").code());
        for (String command : List.of("config", "status", "zone", "drain", "voters", "rollout")) {
            assertTrue(run.out().contains(command), command);
        }
    }

    /** Guards against usage faults that end in a stack trace, or look like a refusal. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "config",
                "zone",
                "voters",
                "unknown",
                "status --unknown",
                "status --address here",
                "status --address 127.0.0.1:70000",
                "config check",
                "config wait",
                "config wait soon",
                "config patch --base 1",
                "config patch --rollback 1",
                "config patch --base 1 --rollback 1 --file x.toml",
                "zone out",
                "drain",
                "voters add",
                "rollout",
                "rollout start s m",
                "rollout stop s",
                "report"
            })
    void usageFaultExitsWithTwo(String line) {
        ToolRun run = ToolRun.of(line.isEmpty() ? new String[0] : line.split(" "));
        assertEquals(2, run.code());
        assertFalse(run.err().isBlank());
        assertEquals("", run.out());
    }

    /** Guards against a change reported as not run although the instance may have made it. */
    @Test
    void lostAnswerIsUnknownAndNamesTheRequestId() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> cut = CompletableFuture.runAsync(() -> readAndClose(server));
            ToolRun run =
                    ToolRun.of(
                            "config",
                            "patch",
                            "--rollback",
                            "3",
                            "--base",
                            "7",
                            "--request-id",
                            "change-1",
                            "--address",
                            "127.0.0.1:" + server.getLocalPort());
            cut.join();
            assertEquals(1, run.code());
            assertTrue(run.err().startsWith("hemlockrack: OUTCOME_UNKNOWN: "), run.err());
            assertTrue(run.err().contains("resend with --request-id change-1"), run.err());
        }
    }

    private static void readAndClose(ServerSocket server) {
        try (Socket socket = server.accept();
                InputStream in = socket.getInputStream()) {
            in.read();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
