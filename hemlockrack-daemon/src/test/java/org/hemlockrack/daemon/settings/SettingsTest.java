package org.hemlockrack.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.junit.jupiter.api.Test;

class SettingsTest {
    private static final String VALID =
            """
            [instance]
            id = "i1"
            zone = "a"
            [listen]
            callers = "127.0.0.1:8080"
            internal = "127.0.0.1:8081"
            operators = "127.0.0.1:8082"
            peer = "127.0.0.1:8083"
            [voter]
            voters = ["i2=127.0.0.1:1", "i1=127.0.0.1:2"]
            """;

    /** Guards against reordered voters, which could form two clusters. */
    @Test
    void votersKeepTheirOrder() {
        Settings settings = Settings.parse("test", VALID);
        assertEquals("[i2, i1]", settings.voters().keySet().toString());
        assertEquals(1_048_576, settings.integer(SettingKey.HTTP_MAX_BODY_BYTES));
    }

    /** Guards against reporting only the first error. */
    @Test
    void allErrorsAreReportedAtOnce() {
        String invalid =
                VALID.replace("\"i1\"\nzone", "\"\"\nzone")
                        + "\n[http]\nmax_body_bytes = 5\nmax_bodies = 1\n[log]\nformat = \"xml\"";
        HemlockrackException e =
                assertThrows(HemlockrackException.class, () -> Settings.parse("x.toml", invalid));
        assertEquals(ErrorKind.SETTINGS_INVALID, e.kind());
        String text = String.valueOf(e.getMessage());
        for (String key :
                Set.of("instance.id", "http.max_body_bytes", "http.max_bodies", "log.format")) {
            assertTrue(text.contains(key), () -> key + " is not in: " + text);
        }
        assertTrue(text.contains("1024 to 67108864"), text);
        assertEquals(4, text.lines().count());
    }

    /** Guards against a switch that is refused, or ignored, because it is written as a boolean. */
    @Test
    void switchesAreTextsOrBooleans() {
        for (String value : Set.of("true", "\"true\"")) {
            Settings settings = Settings.parse("t", VALID + "[operators]\nexplain = " + value);
            assertEquals("true", settings.text(SettingKey.OPERATORS_EXPLAIN));
        }
        String invalid = VALID + "[log]\nformat = true";
        assertThrows(HemlockrackException.class, () -> Settings.parse("t", invalid));
    }

    /** Guards against two ports with one address, of which only the first can be opened. */
    @Test
    void portsNeedDistinctAddresses() {
        String invalid = VALID.replace("127.0.0.1:8083", "127.0.0.1:8082");
        HemlockrackException e =
                assertThrows(HemlockrackException.class, () -> Settings.parse("x.toml", invalid));
        String text = String.valueOf(e.getMessage());
        assertTrue(text.contains("listen.operators and listen.peer are both"), text);
    }

    /** Guards against requiring the address of a port that the role does not open. */
    @Test
    void rolesRequireOnlyTheirOwnKeys() {
        String gateway =
                VALID.replace("zone = \"a\"", "zone = \"a\"\nrole = \"gateway\"")
                        .replace("internal = \"127.0.0.1:8081\"\n", "")
                        .replace("peer = \"127.0.0.1:8083\"\n", "");
        assertEquals("gateway", Settings.parse("x", gateway).text(SettingKey.INSTANCE_ROLE));
        String full = gateway.replace("\"gateway\"", "\"full\"");
        HemlockrackException e =
                assertThrows(HemlockrackException.class, () -> Settings.parse("x", full));
        assertEquals(2, String.valueOf(e.getMessage()).lines().count());
    }

    /** Guards against peer connections to the control port of a controller. */
    @Test
    void controllerPeersUseThePeerPort() {
        String text = VALID + "[fleet]\ncontrollers = [\"10.0.0.1:80\"]\npeer_port = 7000";
        assertEquals(
                "[10.0.0.1:7000]", Settings.parse("x", text).controllerPeerAddresses().toString());
    }

    /** Guards against accepting TLS without the files that it needs. */
    @Test
    void tlsNeedsAllItsFiles() {
        String invalid = VALID + "[tls]\nmode = \"on\"\nkey_file = \"k\"";
        HemlockrackException e =
                assertThrows(HemlockrackException.class, () -> Settings.parse("x.toml", invalid));
        String text = String.valueOf(e.getMessage());
        assertTrue(text.contains("tls.certificate_file"), text);
        assertTrue(text.contains("tls.trust_file"), text);
        assertEquals(2, text.lines().count());
    }

    /** Guards against a syntax error that is reported without its line. */
    @Test
    void syntaxErrorNamesTheLine() {
        HemlockrackException e =
                assertThrows(
                        HemlockrackException.class,
                        () -> Settings.parse("x.toml", "[instance]\nid = = 1"));
        assertTrue(String.valueOf(e.getMessage()).startsWith("x.toml:2"), e.getMessage());
    }

    /** Guards against keys that are not documented. */
    @Test
    void documentedKeysMatch() throws IOException {
        Path page = Path.of("..", "docs", "settings.md");
        Set<String> documented =
                Files.readAllLines(page).stream()
                        .filter(line -> line.startsWith("| `"))
                        .map(line -> line.substring(0, line.lastIndexOf('|', line.length() - 2)))
                        .collect(Collectors.toSet());
        Set<String> actual =
                Arrays.stream(SettingKey.values())
                        .map(SettingsTest::row)
                        .collect(Collectors.toSet());
        assertEquals(actual, documented);
    }

    private static String row(SettingKey key) {
        String value = key.defaultValue();
        String shown = value == null ? "required" : value.isEmpty() ? "(empty)" : value;
        return String.format(
                "| `%s` | %s | %s ", key.path(), shown, key.allowed().replace("|", ", "));
    }
}
