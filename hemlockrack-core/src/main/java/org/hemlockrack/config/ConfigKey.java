package org.hemlockrack.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hemlockrack.config.internal.DocumentTrees;
import org.hemlockrack.config.internal.ValueRule;

/**
 * All keys of the configuration with unit, allowed values and default. {@code *} in a path stands
 * for a name chosen by the operator, {@code []} for an element of an array of tables.
 */
public enum ConfigKey {
    SERVICE_KIND("services.*.kind", "", ValueRule.oneOf("model", "plain"), Default.REQUIRED),
    SERVICE_MODELS("services.*.models", "", ValueRule.nameList(), "[]"),
    SERVICE_DEFAULT_VERSION("services.*.default_version", "", ValueRule.name(), Default.NONE),
    SERVICE_LOAD_MULTIPLE("services.*.load_multiple", "", ValueRule.decimal(1, 10), "1.25"),
    SERVICE_RETRY_SHARE("services.*.retry_budget_share", "", ValueRule.decimal(0, 1), "0.10"),
    SERVICE_COLD_LIMIT("services.*.cold_start_limit", "requests", ValueRule.integer(1, 1024), "1"),
    SERVICE_FIRST_SHARE("services.*.first_rollout_share", "", ValueRule.decimal(0.001, 1), "0.05"),
    ROUTE_METHOD("services.*.routes.[].method", "", ValueRule.method(), Default.REQUIRED),
    ROUTE_PREFIX("services.*.routes.[].prefix", "", ValueRule.pathPrefix(), Default.REQUIRED),
    ROUTE_IDEMPOTENT("services.*.routes.[].idempotent", "", ValueRule.bool(), Default.REQUIRED),
    WORKSPACE_PRIORITY(
            "workspaces.*.priority", "", ValueRule.oneOf("high", "normal", "low"), "\"normal\""),
    WORKSPACE_SERVICES("workspaces.*.services", "", ValueRule.nameList(), "[]"),
    WORKSPACE_CONCURRENT(
            "workspaces.*.max_concurrent_requests",
            "requests",
            ValueRule.integer(1, 1_000_000),
            "1000"),
    WORKSPACE_RATE(
            "workspaces.*.requests_per_second",
            "requests/s",
            ValueRule.decimal(0.01, 1_000_000),
            "1000"),
    KEY_SALT("workspaces.*.keys.*.salt", "", ValueRule.hex(16, 32), Default.REQUIRED),
    KEY_HASH("workspaces.*.keys.*.hash", "", ValueRule.hex(32, 32), Default.REQUIRED),
    PROMISE_FIRST_TOKEN(
            "workspaces.*.promise.first_token_ms", "ms", ValueRule.integer(1, 600_000), "720"),
    PROMISE_BETWEEN_TOKENS(
            "workspaces.*.promise.between_tokens_ms", "ms", ValueRule.integer(1, 60_000), "28"),
    PROMISE_WHOLE_ANSWER(
            "workspaces.*.promise.whole_answer_ms", "ms", ValueRule.integer(1, 3_600_000), "60000"),
    PROMISE_OBJECTIVE("workspaces.*.promise.objective", "", ValueRule.decimal(0.5, 0.9999), "0.95"),
    CLASS_CHECKS_FENCING("backend_classes.*.checks_fencing", "", ValueRule.bool(), "false"),
    ZONE_REGION("zones.*.region", "", ValueRule.name(), Default.REQUIRED),
    ZONE_STATE("zones.*.state", "", ValueRule.oneOf("in", "out"), "\"in\""),
    INSTANCE_DRAIN("instances.*.drain", "", ValueRule.bool(), "false"),
    LIMIT_BODY("limits.body_bytes", "bytes", ValueRule.integer(1024, 67_108_864), "8388608"),
    LIMIT_HEADER("limits.header_bytes", "bytes", ValueRule.integer(1024, 1_048_576), "32768"),
    LIMIT_CONNECTIONS("limits.connections", "connections", ValueRule.integer(1, 100_000), "4096"),
    LIMIT_IDLE("limits.idle_ms", "ms", ValueRule.integer(100, 3_600_000), "60000"),
    LIMIT_REQUEST("limits.request_ms", "ms", ValueRule.integer(100, 3_600_000), "600000"),
    LIMIT_QUEUE("limits.queue_requests", "requests", ValueRule.integer(0, 100_000), "256"),
    LIMIT_QUEUE_BYTES(
            "limits.queue_bytes", "bytes", ValueRule.integer(0, 1_073_741_824), "33554432"),
    LIMIT_CLAIM_EXPIRY(
            "limits.claim_expiry_ms", "ms", ValueRule.integer(7_200_000, 604_800_000), "86400000"),
    LIMIT_CLAIMS("limits.claims", "claims", ValueRule.integer(1, 2_000_000), "150000"),
    LIMIT_CLAIM_BYTES(
            "limits.claim_bytes", "bytes", ValueRule.integer(65_536, 1_073_741_824), "100663296"),
    LIMIT_CLAIM_ANSWER("limits.claim_answer_bytes", "bytes", ValueRule.integer(0, 65_536), "16384");

    private final String mPattern;
    private final String mUnit;
    private final ValueRule mRule;
    private final String mDefault;
    private final JsonNode mDefaultNode;

    ConfigKey(String pattern, String unit, ValueRule rule, String defaultJson) {
        mPattern = pattern;
        mUnit = unit;
        mRule = rule;
        mDefault = defaultJson;
        mDefaultNode =
                Default.isValue(defaultJson)
                        ? DocumentTrees.parseJson(defaultJson)
                        : MissingNode.getInstance();
    }

    /** Returns the path with {@code *} and {@code []} for the variable segments. */
    public String pattern() {
        return mPattern;
    }

    /** Returns the last segment of the path. */
    public String fieldName() {
        return mPattern.substring(mPattern.lastIndexOf('.') + 1);
    }

    /** Returns a description of the allowed values. */
    public String allowedValues() {
        return mRule.description();
    }

    /** Returns whether the table of the key must contain it. */
    public boolean isRequired() {
        return mDefault.equals(Default.REQUIRED);
    }

    /**
     * Checks a value.
     *
     * @param value the value
     * @return whether it is allowed
     */
    public boolean allows(JsonNode value) {
        return mRule.predicate().test(value);
    }

    /**
     * Returns the value of the key in its table.
     *
     * @param table the table
     * @return the value or the default; a missing node if the key has no default
     */
    public JsonNode valueIn(ObjectNode table) {
        JsonNode value = table.get(fieldName());
        return value == null ? mDefaultNode : value;
    }

    /** Returns the table row of the key in {@code docs/configuration.md}. */
    public String documentationRow() {
        String unit = mUnit.isEmpty() ? "-" : mUnit;
        return String.format(
                "| `%s` | %s | %s | %s |", mPattern, unit, mRule.description(), mDefault);
    }

    private static final class Default {
        static final String REQUIRED = "required";
        static final String NONE = "none";

        static boolean isValue(String text) {
            return !text.equals(REQUIRED) && !text.equals(NONE);
        }
    }
}
