package org.hemlockrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.config.internal.DocumentTrees;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;

class ConfigurationProperties {
    private static final Path PAGE = Path.of("..", "docs", "configuration.md");

    /** Guards against a printed document that parses to another configuration. */
    @Property(tries = 200)
    void printedDocumentsParseToTheSame(@ForAll long seed) {
        Configuration configuration = Configuration.parseToml(TestDocuments.random(seed));
        assertEquals(configuration, Configuration.parseToml(configuration.toToml()));
        assertEquals(configuration, Configuration.parseJson(configuration.toJson()));
    }

    /** Guards against validation that stops at the first error. */
    @Example
    void allErrorsAreReportedAtOnce() {
        String text =
                """
                colour = 1
                [services.s]
                kind = "odd"
                load_multiple = 0.5
                [workspaces.w]
                priority = 7
                keys.k.salt = "zz"
                [zones.z]
                state = "in"
                [[services.s.routes]]
                method = "get"
                """;
        HemlockrackException thrown =
                assertThrows(HemlockrackException.class, () -> Configuration.parseToml(text));
        assertEquals(ErrorKind.CONFIG_INVALID, thrown.kind());
        for (String path :
                List.of(
                        "colour: found unknown key",
                        "services.s.kind: found \"odd\", allowed: one of model, plain",
                        "services.s.load_multiple: found 0.5",
                        "workspaces.w.priority: found 7",
                        "workspaces.w.keys.k.salt",
                        "workspaces.w.keys.k.hash: found nothing",
                        "zones.z.region: found nothing",
                        "services.s.routes[0].method",
                        "services.s.routes[0].prefix: found nothing",
                        "services.s.routes[0].idempotent")) {
            assertTrue(thrown.getMessage().contains(path), path + " in " + thrown.getMessage());
        }
    }

    /** Guards against dangling references and claims that expire while their command runs. */
    @Example
    void rulesAcrossKeysAreChecked() {
        String text =
                """
                [services.m]
                kind = "model"
                [workspaces.a]
                services = ["missing"]
                keys.k = {salt = "%1$s", hash = "%1$s%1$s"}
                [workspaces.b]
                promise = {first_token_ms = 9000, whole_answer_ms = 10}
                keys.k = {salt = "%1$s", hash = "%1$s%1$s"}
                [limits]
                claim_expiry_ms = 7200000
                request_ms = 3600001
                """
                        .formatted("0123456789abcdef0123456789abcdef");
        List<ValidationError> single = Configuration.check(DocumentTrees.parseToml(text)).errors();
        assertEquals(List.of("limits.request_ms"), paths(single));
        List<ValidationError> cross =
                Configuration.check(
                                DocumentTrees.parseToml(text.replace("request_ms = 3600001", "")))
                        .errors();
        assertEquals(
                List.of(
                        "services.m.models",
                        "workspaces.a.services",
                        "workspaces.b.promise.first_token_ms",
                        "workspaces.b.keys.k"),
                paths(cross));
    }

    /** Guards against a key that authenticates as another workspace or with a wrong secret. */
    @Property(tries = 50)
    void bearerKeysFindTheirWorkspaceOnly(@ForAll long seed) {
        BearerKey key = BearerKey.create("id1", new Random(seed));
        BearerKey.SaltedHash stored = key.createSaltedHash(new Random(seed + 1));
        Configuration configuration =
                Configuration.parseToml(
                        "[workspaces.a]\n[workspaces.b.keys.id1]\nsalt = \"%s\"\nhash = \"%s\""
                                .formatted(stored.saltHex(), stored.hashHex()));
        assertEquals(Optional.of(WorkspaceId.of("b")), configuration.authenticate(key.text()));
        BearerKey other = BearerKey.create("id1", new Random(seed + 2));
        assertTrue(configuration.authenticate(other.text()).isEmpty());
        assertTrue(configuration.authenticate(key.text().replace("id1", "id2")).isEmpty());
        assertTrue(configuration.authenticate("ws.id1").isEmpty());
        assertFalse(key.toString().contains(key.secret()));
    }

    /** Guards against a retried command because a route with a shorter prefix is idempotent. */
    @Example
    void longestRouteDecides() {
        ServiceConfig app =
                Configuration.parseToml(TestDocuments.SMALL).services().get(ServiceId.of("app"));
        assertEquals(RequestKind.SERVICE_READ, app.requestKind("POST", "/bookings/search"));
        assertEquals(RequestKind.SERVICE_COMMAND, app.requestKind("POST", "/bookings"));
        assertEquals(RequestKind.SERVICE_READ, app.requestKind("GET", "/bookings"));
    }

    /** Guards against a documentation page whose units, ranges or defaults differ from the code. */
    @Example
    void pageMatchesKeys() throws IOException {
        List<String> documented =
                Files.readAllLines(PAGE).stream().filter(line -> line.startsWith("| `")).toList();
        List<String> actual =
                Arrays.stream(ConfigKey.values())
                        .map(ConfigKey::documentationRow)
                        .collect(Collectors.toList());
        assertEquals(actual, documented);
    }

    /** Guards against an invalid example on the documentation page. */
    @Example
    void exampleOnThePageIsValid() throws IOException {
        String page = Files.readString(PAGE);
        String example = page.split("```toml\n")[1].split("```")[0];
        assertEquals(2, Configuration.parseToml(example).workspaces().size());
    }

    private static List<String> paths(List<ValidationError> errors) {
        return errors.stream().map(ValidationError::path).toList();
    }
}
