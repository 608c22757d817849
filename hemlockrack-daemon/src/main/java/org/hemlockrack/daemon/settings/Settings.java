package org.hemlockrack.daemon.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.daemon.http.HttpLimits;
import org.hemlockrack.daemon.http.HttpPort;
import org.hemlockrack.daemon.tls.PemFiles;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.RequestMemory;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ZoneId;
import org.jspecify.annotations.Nullable;

/** The validated settings of one daemon. Immutable. */
public final class Settings {
    /** I/O reactor threads of the caller port; two suffice for 500 requests per second. */
    private static final int CALLER_IO_THREADS = 2;

    private static final String TLS_ON = "on";
    private static final List<SettingKey> TLS_FILES =
            List.of(
                    SettingKey.TLS_CERTIFICATE_FILE,
                    SettingKey.TLS_KEY_FILE,
                    SettingKey.TLS_TRUST_FILE);

    private final Map<SettingKey, JsonNode> mValues;

    private Settings(Map<SettingKey, JsonNode> values) {
        mValues = values;
    }

    /**
     * Reads and validates a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws HemlockrackException with {@link ErrorKind#SETTINGS_INVALID} whose message names the
     *     file and every error, one per line
     */
    public static Settings load(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID, file + ": cannot be read: " + e, e);
        }
        return parse(file.toString(), text);
    }

    /**
     * Parses and validates settings.
     *
     * @param name name of the source, for error messages
     * @param toml the settings in TOML
     * @return the settings
     * @throws HemlockrackException as {@link #load}
     */
    public static Settings parse(String name, String toml) {
        Map<String, JsonNode> leaves = new LinkedHashMap<>();
        try {
            collectLeaves("", new TomlMapper().readTree(toml), leaves);
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            String line = at == null ? "" : ":" + at.getLineNr();
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID,
                    name + line + ": not TOML: " + e.getOriginalMessage(),
                    e);
        }
        return validate(name, leaves);
    }

    private static void collectLeaves(String prefix, JsonNode table, Map<String, JsonNode> leaves) {
        for (Map.Entry<String, JsonNode> field : table.properties()) {
            String path = prefix + field.getKey();
            if (field.getValue().isObject()) {
                collectLeaves(path + ".", field.getValue(), leaves);
                continue;
            }
            leaves.put(path, field.getValue());
        }
    }

    private static Settings validate(String name, Map<String, JsonNode> leaves) {
        List<String> errors = new ArrayList<>();
        JsonNode role = leaves.get(SettingKey.INSTANCE_ROLE.path());
        String roleName = role == null ? "full" : role.asText();
        Map<SettingKey, JsonNode> values = new EnumMap<>(SettingKey.class);
        for (SettingKey key : SettingKey.values()) {
            JsonNode value = leaves.remove(key.path());
            if (value == null) {
                if (!key.isOptionalFor(roleName)) {
                    errors.add(name + ": " + key.path() + " is missing; allowed: " + key.allowed());
                }
                continue;
            }
            if (!key.type().accepts(key, value)) {
                errors.add(
                        String.format(
                                "%s: %s is %s; allowed: %s",
                                name, key.path(), value, key.allowed()));
                continue;
            }
            values.put(key, value);
        }
        for (String unknown : leaves.keySet()) {
            errors.add(name + ": " + unknown + " is not a known key");
        }
        checkTls(name, values, errors);
        checkPorts(name, values, errors);
        if (!errors.isEmpty()) {
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID, String.join(System.lineSeparator(), errors));
        }
        return new Settings(values);
    }

    /** Reports ports with the same address, of which only the first could be opened. */
    private static void checkPorts(
            String name, Map<SettingKey, JsonNode> values, List<String> errors) {
        Map<String, SettingKey> keysByAddress = new HashMap<>();
        for (Map.Entry<SettingKey, JsonNode> entry : values.entrySet()) {
            String address = entry.getValue().asText();
            if (entry.getKey().type() != SettingType.ADDRESS || address.endsWith(":0")) {
                continue;
            }
            SettingKey other = keysByAddress.putIfAbsent(address, entry.getKey());
            if (other != null) {
                errors.add(
                        String.format(
                                "%s: %s and %s are both %s",
                                name, other.path(), entry.getKey().path(), address));
            }
        }
    }

    private static void checkTls(
            String name, Map<SettingKey, JsonNode> values, List<String> errors) {
        JsonNode mode = values.get(SettingKey.TLS_MODE);
        if (mode == null || !mode.textValue().equals(TLS_ON)) {
            return;
        }
        for (SettingKey file : TLS_FILES) {
            JsonNode value = values.get(file);
            if (value == null || value.textValue().isEmpty()) {
                errors.add(name + ": " + file.path() + " is missing; tls.mode is on");
            }
        }
    }

    /** Returns the files for TLS between instances, or null if it is off. */
    public @Nullable PemFiles tlsFiles() {
        if (!text(SettingKey.TLS_MODE).equals(TLS_ON)) {
            return null;
        }
        return new PemFiles(
                Path.of(text(SettingKey.TLS_CERTIFICATE_FILE)),
                Path.of(text(SettingKey.TLS_KEY_FILE)),
                Path.of(text(SettingKey.TLS_TRUST_FILE)));
    }

    /**
     * Returns the text of a setting.
     *
     * @param key a key whose type is text
     * @return the value or its default
     */
    public String text(SettingKey key) {
        JsonNode value = mValues.get(key);
        return value == null ? requireDefault(key) : value.asText();
    }

    /**
     * Returns a number.
     *
     * @param key a key of type {@link SettingType#INTEGER}
     * @return the value or its default, in the unit of the key
     */
    public long integer(SettingKey key) {
        JsonNode value = mValues.get(key);
        return value == null ? Long.parseLong(requireDefault(key)) : value.longValue();
    }

    /**
     * Returns a number that may have a fraction.
     *
     * @param key a key of type {@link SettingType#DECIMAL}
     * @return the value or its default, in the unit of the key
     */
    public double decimal(SettingKey key) {
        JsonNode value = mValues.get(key);
        return value == null ? Double.parseDouble(requireDefault(key)) : value.doubleValue();
    }

    /**
     * Returns a list of strings.
     *
     * @param key a key of a list type
     * @return the elements, empty by default
     */
    public List<String> list(SettingKey key) {
        List<String> elements = new ArrayList<>();
        JsonNode value = mValues.get(key);
        if (value != null) {
            value.forEach(element -> elements.add(element.textValue()));
        }
        return elements;
    }

    /**
     * Returns an address to listen on.
     *
     * @param key a key of type {@link SettingType#ADDRESS}
     * @return the address
     */
    public InetSocketAddress address(SettingKey key) {
        return toAddress(text(key));
    }

    /**
     * Converts {@code ip:port} to an address.
     *
     * @param text the text, which must be valid
     * @return the address
     */
    public static InetSocketAddress toAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns the id of this instance. */
    public InstanceId instanceId() {
        return InstanceId.of(text(SettingKey.INSTANCE_ID));
    }

    /** Returns the availability zone of this instance. */
    public ZoneId zone() {
        return ZoneId.of(text(SettingKey.INSTANCE_ZONE));
    }

    /** Returns the data folder, or null if this instance keeps no replicated state. */
    public @Nullable Path dataFolder() {
        String folder = text(SettingKey.VOTER_DATA_FOLDER);
        return folder.isEmpty() ? null : Path.of(folder);
    }

    /** Returns the file for the burn accounts, or null if they are not stored. */
    public @Nullable Path burnFile() {
        String file = text(SettingKey.BURN_FILE);
        return file.isEmpty() ? null : Path.of(file);
    }

    /** Returns the listed voters and their peer addresses, in the order of the file. */
    public Map<InstanceId, String> voters() {
        Map<InstanceId, String> voters = new LinkedHashMap<>();
        for (String voter : list(SettingKey.VOTER_VOTERS)) {
            int eq = voter.indexOf('=');
            voters.put(InstanceId.of(voter.substring(0, eq)), voter.substring(eq + 1));
        }
        return voters;
    }

    /**
     * Returns the peer addresses of the listed controllers. The listed addresses are those of their
     * control ports; the peer port is the same on all instances.
     */
    public List<String> controllerPeerAddresses() {
        List<String> peers = new ArrayList<>();
        for (String address : list(SettingKey.FLEET_CONTROLLERS)) {
            peers.add(controllerPeerAddress(address.substring(0, address.lastIndexOf(':'))));
        }
        return peers;
    }

    /**
     * Returns the peer address of a controller.
     *
     * @param host its host, which is also its instance id
     * @return {@code host:port}
     */
    public String controllerPeerAddress(String host) {
        return host + ":" + integer(SettingKey.FLEET_PEER_PORT);
    }

    /**
     * Returns the addresses to connect to instead of the peer addresses that other instances
     * advertise, by advertised address.
     */
    public Map<String, String> peerAddressOverrides() {
        Map<String, String> routes = new LinkedHashMap<>();
        for (String route : list(SettingKey.PEERS_ROUTES)) {
            int eq = route.indexOf('=');
            routes.put(route.substring(0, eq), route.substring(eq + 1));
        }
        return routes;
    }

    /**
     * Returns how many descriptors a part of this process may use.
     *
     * @param share the part
     * @return at least 1
     */
    public int descriptors(DescriptorShare share) {
        long all = integer(SettingKey.PROCESS_MAX_DESCRIPTORS);
        return share.of(all == 0 ? DescriptorLimit.read() : all);
    }

    /** Returns the HTTP limits of the caller port. */
    public HttpLimits callerLimits() {
        return new HttpLimits(
                (int) integer(SettingKey.HTTP_MAX_BODY_BYTES),
                (int) integer(SettingKey.HTTP_MAX_HEADER_COUNT),
                (int) integer(SettingKey.HTTP_MAX_HEADER_LINE_BYTES),
                (int) integer(SettingKey.HTTP_MAX_CONNECTIONS),
                integer(SettingKey.HTTP_IDLE_TIMEOUT_MS),
                integer(SettingKey.HTTP_HEAD_TIMEOUT_MS),
                integer(SettingKey.HTTP_BODY_TIMEOUT_MS),
                integer(SettingKey.HTTP_WRITE_TIMEOUT_MS),
                CALLER_IO_THREADS);
    }

    /** Returns memory for the requests to all ports; 0 in the settings is a share of the heap. */
    public RequestMemory requestMemory() {
        long bytes = integer(SettingKey.HTTP_REQUEST_MEMORY_BYTES);
        return RequestMemory.of(
                bytes == 0 ? HttpPort.requestHeapBytes() : bytes,
                integer(SettingKey.HTTP_STALL_TIMEOUT_MS));
    }

    private static String requireDefault(SettingKey key) {
        String value = key.defaultValue();
        if (value == null) {
            throw new IllegalStateException(key.path() + " has no default");
        }
        return value;
    }
}
