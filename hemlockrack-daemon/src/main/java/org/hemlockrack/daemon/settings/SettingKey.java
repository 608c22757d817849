package org.hemlockrack.daemon.settings;

import static org.hemlockrack.daemon.settings.SettingType.ADDRESS;
import static org.hemlockrack.daemon.settings.SettingType.ADDRESS_LIST;
import static org.hemlockrack.daemon.settings.SettingType.ADDRESS_PAIR_LIST;
import static org.hemlockrack.daemon.settings.SettingType.CHOICE;
import static org.hemlockrack.daemon.settings.SettingType.DECIMAL;
import static org.hemlockrack.daemon.settings.SettingType.INTEGER;
import static org.hemlockrack.daemon.settings.SettingType.NAME;
import static org.hemlockrack.daemon.settings.SettingType.NAME_LIST;
import static org.hemlockrack.daemon.settings.SettingType.PATH;
import static org.hemlockrack.daemon.settings.SettingType.VOTER_LIST;

import org.jspecify.annotations.Nullable;

/** Every key of the settings file; a test compares them with {@code docs/settings.md}. */
public enum SettingKey {
    INSTANCE_ID("instance.id", NAME, null, "name"),
    INSTANCE_ZONE("instance.zone", NAME, null, "name"),
    INSTANCE_ROLE("instance.role", CHOICE, "full", "full|gateway|controller"),
    INSTANCE_REGION("instance.region", NAME, "default", "name"),
    LISTEN_CALLERS("listen.callers", ADDRESS, null, "ip:port"),
    LISTEN_OPERATORS("listen.operators", ADDRESS, null, "ip:port"),
    LISTEN_INTERNAL("listen.internal", ADDRESS, null, "ip:port"),
    LISTEN_PEER("listen.peer", ADDRESS, null, "ip:port"),
    PEERS_SEEDS("peers.seeds", ADDRESS_LIST, "", "ip:port list"),
    PEERS_ROUTES("peers.routes", ADDRESS_PAIR_LIST, "", "ip:port=ip:port list"),
    VOTER_DATA_FOLDER("voter.data_folder", PATH, "", "path"),
    VOTER_VOTERS("voter.voters", VOTER_LIST, "", "id=ip:port list"),
    VOTER_TOLERATED_LOSSES("voter.tolerated_losses", 1, 0, 3),
    FLEET_CONTROLLERS("fleet.controllers", ADDRESS_LIST, "", "ip:port list"),
    FLEET_PEER_PORT("fleet.peer_port", 7_340, 1, 65_535),
    FLEET_FORM_LOG("fleet.form_log", CHOICE, "false", "true|false"),
    FLEET_RETRY_RATIO("fleet.retry_ratio", DECIMAL, "0.1", "0 to 1"),
    FLEET_RETRY_SLACK("fleet.retry_slack", DECIMAL, "30", "number"),
    FLEET_RETRY_WINDOW_S("fleet.retry_window_s", DECIMAL, "10", "number"),
    DUTIES_ADDRESS("duties.address", ADDRESS, "", "ip:port"),
    DUTIES_NAMES("duties.names", NAME_LIST, "", "name list"),
    DUTIES_CALLS_PER_S("duties.calls_per_s", DECIMAL, "50", "number"),
    DUTIES_LEASE_MS("duties.lease_ms", 3_000, 500, 60_000),
    DUTIES_FENCING("duties.fencing", CHOICE, "true", "true|false"),
    DUTIES_USAGE_INTERVAL_MS("duties.usage_interval_ms", 5_000, 1_000, 40_000),
    DUTIES_USAGE_DELAY_MS("duties.usage_delay_ms", 10_000, 1_000, 600_000),
    BURN_FILE("burn.file", PATH, "", "path"),
    SCHEDULING_MODE("scheduling.mode", CHOICE, "off", "off|reported|on"),
    OPERATORS_EXPLAIN("operators.explain", CHOICE, "false", "true|false"),
    LOG_FORMAT("log.format", CHOICE, "text", "text|json"),
    HTTP_MAX_BODY_BYTES("http.max_body_bytes", 1_048_576, 1_024, 67_108_864),
    HTTP_MAX_HEADER_COUNT("http.max_header_count", 100, 10, 1_000),
    HTTP_MAX_HEADER_LINE_BYTES("http.max_header_line_bytes", 8_192, 256, 65_536),
    HTTP_MAX_CONNECTIONS("http.max_connections", 10_000, 1, 100_000),
    HTTP_IDLE_TIMEOUT_MS("http.idle_timeout_ms", 180_000, 100, 3_600_000),
    HTTP_HEAD_TIMEOUT_MS("http.head_timeout_ms", 10_000, 100, 600_000),
    HTTP_BODY_TIMEOUT_MS("http.body_timeout_ms", 30_000, 100, 600_000),
    HTTP_WRITE_TIMEOUT_MS("http.write_timeout_ms", 30_000, 100, 600_000),
    HTTP_REQUEST_MEMORY_BYTES("http.request_memory_bytes", 0, 0, 1L << 40),
    HTTP_STALL_TIMEOUT_MS("http.stall_timeout_ms", 1_000, 100, 600_000),
    PROCESS_MAX_DESCRIPTORS("process.max_descriptors", 0, 0, 1 << 30),
    CONTROL_BUDGET_BYTES_PER_S("control.budget_bytes_per_s", 4_096, 512, 1_048_576),
    TLS_MODE("tls.mode", CHOICE, "off", "off|on"),
    TLS_CERTIFICATE_FILE("tls.certificate_file", PATH, "", "path"),
    TLS_KEY_FILE("tls.key_file", PATH, "", "path"),
    TLS_TRUST_FILE("tls.trust_file", PATH, "", "path"),
    SHUTDOWN_DRAIN_TIMEOUT_MS("shutdown.drain_timeout_ms", 120_000, 0, 3_600_000);

    private final String mPath;
    private final SettingType mType;
    private final @Nullable String mDefault;
    private final String mAllowed;
    private final long mMin;
    private final long mMax;

    SettingKey(String path, SettingType type, @Nullable String defaultValue, String allowed) {
        mPath = path;
        mType = type;
        mDefault = defaultValue;
        mAllowed = allowed;
        mMin = 0;
        mMax = 0;
    }

    SettingKey(String path, long defaultValue, long min, long max) {
        mPath = path;
        mType = INTEGER;
        mDefault = Long.toString(defaultValue);
        mAllowed = min + " to " + max;
        mMin = min;
        mMax = max;
    }

    /** Returns the dotted path of the key in the file. */
    public String path() {
        return mPath;
    }

    /** Returns the type of the value. */
    public SettingType type() {
        return mType;
    }

    /** Returns the default as text, or null if there is none and the key is required. */
    public @Nullable String defaultValue() {
        return mDefault;
    }

    /** Returns whether the settings of an instance with a role may omit the key. */
    boolean isOptionalFor(String role) {
        if (mDefault != null) {
            return true;
        }
        boolean full = role.equals(INSTANCE_ROLE.mDefault);
        return switch (this) {
            case LISTEN_INTERNAL -> !full;
            case LISTEN_CALLERS -> role.equals("controller");
            case LISTEN_PEER -> role.equals("gateway");
            default -> false;
        };
    }

    /** Returns a description of the allowed values. */
    public String allowed() {
        return mAllowed;
    }

    long min() {
        return mMin;
    }

    long max() {
        return mMax;
    }
}
