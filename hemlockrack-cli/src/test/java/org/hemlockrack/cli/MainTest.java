package org.hemlockrack.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

final class MainTest {
    private static final String ERROR_BODY =
            "{\"error\":{\"kind\":\"NO_QUORUM\",\"message\":\"no leader\",\"ran\":\"not_run\"}}";

    /** A command that sends a request to an instance, with the method and path of the request. */
    record CommandCase(String request, List<String> args) {
        String[] argsWith(String... more) {
            return Stream.concat(args.stream(), Stream.of(more)).toArray(String[]::new);
        }
    }

    static Stream<CommandCase> commands() {
        return Stream.of(
                new CommandCase("GET /operator/v1/config", List.of("config", "get")),
                new CommandCase(
                        "PATCH /operator/v1/config",
                        List.of("config", "patch", "--rollback", "3", "--base", "7")),
                new CommandCase("GET /operator/v1/config/history", List.of("config", "history")),
                new CommandCase("GET /operator/v1/config/wait", List.of("config", "wait", "7")),
                new CommandCase("GET /operator/v1/status", List.of("status")),
                new CommandCase("GET /operator/v1/instances", List.of("instances")),
                new CommandCase("GET /operator/v1/backends", List.of("backends")),
                new CommandCase("POST /operator/v1/zones/b/out", List.of("zone", "out", "b")),
                new CommandCase("POST /operator/v1/zones/b/in", List.of("zone", "in", "b")),
                new CommandCase("POST /operator/v1/instances/i2/drain", List.of("drain", "i2")),
                new CommandCase("POST /operator/v1/instances/i2/undrain", List.of("undrain", "i2")),
                new CommandCase("GET /operator/v1/voters", List.of("voters", "list")),
                new CommandCase("POST /operator/v1/voters/i2/add", List.of("voters", "add", "i2")),
                new CommandCase(
                        "POST /operator/v1/voters/i2/remove", List.of("voters", "remove", "i2")),
                new CommandCase(
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
                new CommandCase("GET /operator/v1/rollouts", List.of("rollout", "status")),
                new CommandCase(
                        "DELETE /operator/v1/rollouts/s/m", List.of("rollout", "stop", "s", "m")),
                new CommandCase("GET /operator/v1/burn", List.of("report", "burn")));
    }

    /** Guards against success or a missing reason after an error response. */
    @ParameterizedTest
    @MethodSource("commands")
    void errorResponseExitsWithOneAndNamesTheReason(CommandCase command) {
        try (FakeInstance fake = FakeInstance.open().stub(command.request(), 503, ERROR_BODY)) {
            ToolRun text = ToolRun.of(command.argsWith("--address", fake.address()));
            assertEquals(1, text.exitCode());
            assertEquals("hemlockrack: NO_QUORUM: no leader", text.err().strip());
            ToolRun json = ToolRun.of(command.argsWith("--json", "--address", fake.address()));
            assertEquals(1, json.exitCode());
            assertEquals("NO_QUORUM", json.json().at("/error/kind").asText());
        }
    }

    /** Guards against reporting an unreachable instance as a rejection or as success. */
    @ParameterizedTest
    @MethodSource("commands")
    void unreachableInstanceExitsWithOneAndNamesTheAddress(CommandCase command) throws IOException {
        String address = freeAddress();
        ToolRun text = ToolRun.of(command.argsWith("--address", address));
        assertEquals(1, text.exitCode());
        String start = "hemlockrack: NO_BACKEND: instance at " + address + " cannot be reached";
        assertTrue(text.err().startsWith(start), text.err());
        ToolRun json = ToolRun.of(command.argsWith("--json", "--address", address));
        assertEquals(1, json.exitCode());
        assertEquals("not_run", json.json().at("/error/ran").asText());
    }

    /** Guards against printing the response of another server as a result. */
    @ParameterizedTest
    @MethodSource("commands")
    void errorPageOfAnotherServerIsReported(CommandCase command) {
        try (FakeInstance fake = FakeInstance.open().stub(command.request(), 404, "<html>")) {
            ToolRun run = ToolRun.of(command.argsWith("--address", fake.address()));
            assertEquals(1, run.exitCode());
            assertTrue(run.err().contains("not one of an operator port: \"<html>\""), run.err());
        }
    }

    /** Guards against help that exits with the code of a usage error or uses the error stream. */
    @ParameterizedTest
    @MethodSource("commands")
    void helpOfEachCommandExitsWithZero(CommandCase command) {
        ToolRun run = ToolRun.of(command.argsWith("--help"));
        assertEquals(0, run.exitCode());
        assertTrue(run.out().startsWith("usage: hemlockrack "), run.out());
        assertTrue(run.out().contains("--json"), run.out());
        assertEquals("", run.err());
    }

    @Test
    void helpNamesAllCommands() {
        ToolRun run = ToolRun.of("--help");
        assertEquals(0, run.exitCode());
        assertEquals(0, ToolRun.of("config", "check", "--help").exitCode());
        for (String command : List.of("config", "status", "zone", "drain", "voters", "rollout")) {
            assertTrue(run.out().contains(command), command);
        }
    }

    /** Guards against usage errors that print a stack trace or exit as a rejection does. */
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
                "report",
                "storage",
                "storage check"
            })
    void usageErrorExitsWithTwo(String line) {
        ToolRun run = ToolRun.of(line.isEmpty() ? new String[0] : line.split(" "));
        assertEquals(2, run.exitCode());
        assertFalse(run.err().isBlank());
        assertEquals("", run.out());
    }

    /**
     * Guards against a lost response that is reported as "not run": the change may have been made.
     */
    @Test
    void lostResponseIsUnknownAndNamesTheRequestId() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> connectionClosed =
                    CompletableFuture.runAsync(() -> readAndClose(server));
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
            connectionClosed.join();
            assertEquals(1, run.exitCode());
            assertTrue(run.err().startsWith("hemlockrack: OUTCOME_UNKNOWN: "), run.err());
            assertTrue(run.err().contains("resend with --request-id change-1"), run.err());
        }
    }

    /**
     * Guards against a malformed or incomplete response that is printed as if it came from an
     * instance.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nX\1Y: z\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length: 2",
                "HTTP/1.1 200 OK\r\nX: y\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n"
                        + "2\r\n"
                        + "{}\r\n"
                        + "0\r\n"
                        + "X Y: z\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
                "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"
            })
    void malformedResponseIsUnknown(String response) throws Exception {
        ToolRun run = runWithResponse(response, "status");
        assertEquals(1, run.exitCode(), run.out());
        assertTrue(run.err().startsWith("hemlockrack: OUTCOME_UNKNOWN: "), run.err());
        assertEquals("", run.out());
    }

    /** Guards against a sound response that is refused. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\nContent-Length: 02\n\n{}",
                "HTTP/1.1 200\r\n"
                        + "X-Empty:\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n"
                        + "02;a\r\n"
                        + "{}\r\n"
                        + "0\r\n"
                        + "X: y\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\n\r\n{}"
            })
    void soundResponseIsPrinted(String response) throws Exception {
        ToolRun run = runWithResponse(response, "status", "--json");
        assertEquals(0, run.exitCode(), run.err());
        assertEquals("{}", run.out().trim());
    }

    private static ToolRun runWithResponse(String response, String... command) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> responded =
                    CompletableFuture.runAsync(() -> respond(server, response));
            String address = "127.0.0.1:" + server.getLocalPort();
            CommandCase status = new CommandCase("", List.of(command));
            ToolRun run = ToolRun.of(status.argsWith("--address", address));
            responded.join();
            return run;
        }
    }

    private static void respond(ServerSocket server, String response) {
        try (Socket socket = server.accept();
                InputStream in = socket.getInputStream()) {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) in.read());
            }
            socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            in.readAllBytes();
        } catch (IOException e) {
            // The tool closes the connection at a malformed line.
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
