package org.hemlockrack.config.internal;

import static org.hemlockrack.config.ConfigKey.CLASS_CHECKS_FENCING;
import static org.hemlockrack.config.ConfigKey.INSTANCE_DRAIN;
import static org.hemlockrack.config.ConfigKey.KEY_HASH;
import static org.hemlockrack.config.ConfigKey.KEY_SALT;
import static org.hemlockrack.config.ConfigKey.LIMIT_BODY;
import static org.hemlockrack.config.ConfigKey.LIMIT_CLAIMS;
import static org.hemlockrack.config.ConfigKey.LIMIT_CLAIM_ANSWER;
import static org.hemlockrack.config.ConfigKey.LIMIT_CLAIM_BYTES;
import static org.hemlockrack.config.ConfigKey.LIMIT_CLAIM_EXPIRY;
import static org.hemlockrack.config.ConfigKey.LIMIT_CONNECTIONS;
import static org.hemlockrack.config.ConfigKey.LIMIT_HEADER;
import static org.hemlockrack.config.ConfigKey.LIMIT_IDLE;
import static org.hemlockrack.config.ConfigKey.LIMIT_QUEUE;
import static org.hemlockrack.config.ConfigKey.LIMIT_QUEUE_BYTES;
import static org.hemlockrack.config.ConfigKey.LIMIT_REQUEST;
import static org.hemlockrack.config.ConfigKey.PROMISE_BETWEEN_TOKENS;
import static org.hemlockrack.config.ConfigKey.PROMISE_FIRST_TOKEN;
import static org.hemlockrack.config.ConfigKey.PROMISE_OBJECTIVE;
import static org.hemlockrack.config.ConfigKey.PROMISE_WHOLE_ANSWER;
import static org.hemlockrack.config.ConfigKey.ROUTE_IDEMPOTENT;
import static org.hemlockrack.config.ConfigKey.ROUTE_METHOD;
import static org.hemlockrack.config.ConfigKey.ROUTE_PREFIX;
import static org.hemlockrack.config.ConfigKey.SERVICE_COLD_LIMIT;
import static org.hemlockrack.config.ConfigKey.SERVICE_DEFAULT_VERSION;
import static org.hemlockrack.config.ConfigKey.SERVICE_FIRST_SHARE;
import static org.hemlockrack.config.ConfigKey.SERVICE_KIND;
import static org.hemlockrack.config.ConfigKey.SERVICE_LOAD_MULTIPLE;
import static org.hemlockrack.config.ConfigKey.SERVICE_MODELS;
import static org.hemlockrack.config.ConfigKey.SERVICE_RETRY_SHARE;
import static org.hemlockrack.config.ConfigKey.WORKSPACE_CONCURRENT;
import static org.hemlockrack.config.ConfigKey.WORKSPACE_PRIORITY;
import static org.hemlockrack.config.ConfigKey.WORKSPACE_RATE;
import static org.hemlockrack.config.ConfigKey.WORKSPACE_SERVICES;
import static org.hemlockrack.config.ConfigKey.ZONE_REGION;
import static org.hemlockrack.config.ConfigKey.ZONE_STATE;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.hemlockrack.config.BearerKey;
import org.hemlockrack.config.ConfigKey;
import org.hemlockrack.config.LatencyObjective;
import org.hemlockrack.config.LimitsConfig;
import org.hemlockrack.config.RouteConfig;
import org.hemlockrack.config.ServiceConfig;
import org.hemlockrack.config.ServiceKind;
import org.hemlockrack.config.WorkspaceConfig;
import org.hemlockrack.config.ZoneConfig;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.ServiceId;

/** Converts a document that {@link Schema} has validated to typed records. */
public final class DocumentReader {
    private final ObjectNode mDocument;

    private DocumentReader(ObjectNode document) {
        mDocument = document;
    }

    /**
     * Creates a reader.
     *
     * @param document a valid document
     * @return the reader
     */
    public static DocumentReader of(ObjectNode document) {
        return new DocumentReader(document);
    }

    /**
     * Reads the tables of one section.
     *
     * @param section name of the section
     * @param id converts a name to a key
     * @param read converts a table to a record
     * @param <K> type of keys
     * @param <V> type of records
     * @return the records by key
     */
    public <K extends Comparable<K>, V> Map<K, V> readSection(
            String section, Function<String, K> id, Function<ObjectNode, V> read) {
        Map<K, V> records = new TreeMap<>();
        for (Map.Entry<String, JsonNode> field : childTable(mDocument, section).properties()) {
            records.put(id.apply(field.getKey()), read.apply((ObjectNode) field.getValue()));
        }
        return records;
    }

    /**
     * Reads a service.
     *
     * @param table its table
     * @return the record
     */
    public static ServiceConfig readService(ObjectNode table) {
        return new ServiceConfig(
                ServiceKind.valueOf(upperCaseText(SERVICE_KIND, table)),
                texts(SERVICE_MODELS, table),
                Optional.ofNullable(SERVICE_DEFAULT_VERSION.valueIn(table).textValue()),
                SERVICE_LOAD_MULTIPLE.valueIn(table).doubleValue(),
                SERVICE_RETRY_SHARE.valueIn(table).doubleValue(),
                SERVICE_COLD_LIMIT.valueIn(table).intValue(),
                SERVICE_FIRST_SHARE.valueIn(table).doubleValue(),
                readRoutes(table));
    }

    /**
     * Reads a workspace.
     *
     * @param table its table
     * @return the record
     */
    public static WorkspaceConfig readWorkspace(ObjectNode table) {
        Set<ServiceId> services = new LinkedHashSet<>();
        for (String name : texts(WORKSPACE_SERVICES, table)) {
            services.add(ServiceId.of(name));
        }
        return new WorkspaceConfig(
                Priority.valueOf(upperCaseText(WORKSPACE_PRIORITY, table)),
                services,
                WORKSPACE_CONCURRENT.valueIn(table).intValue(),
                WORKSPACE_RATE.valueIn(table).doubleValue(),
                readLatencyObjective(childTable(table, "promise")),
                readKeys(table).keySet());
    }

    /**
     * Reads the bearer keys of a workspace.
     *
     * @param workspace table of the workspace
     * @return the stored keys by id
     */
    public static Map<String, BearerKey.SaltedHash> readKeys(ObjectNode workspace) {
        Map<String, BearerKey.SaltedHash> keys = new TreeMap<>();
        for (Map.Entry<String, JsonNode> field : childTable(workspace, "keys").properties()) {
            ObjectNode key = (ObjectNode) field.getValue();
            String salt = KEY_SALT.valueIn(key).textValue();
            keys.put(
                    field.getKey(),
                    new BearerKey.SaltedHash(salt, KEY_HASH.valueIn(key).textValue()));
        }
        return keys;
    }

    /**
     * Reads a backend class.
     *
     * @param table its table
     * @return whether its backend servers check fencing tokens
     */
    public static Boolean readChecksFencing(ObjectNode table) {
        return CLASS_CHECKS_FENCING.valueIn(table).booleanValue();
    }

    /**
     * Reads a zone.
     *
     * @param table its table
     * @return the record
     */
    public static ZoneConfig readZone(ObjectNode table) {
        boolean inService = ZONE_STATE.valueIn(table).textValue().equals("in");
        return new ZoneConfig(ZONE_REGION.valueIn(table).textValue(), inService);
    }

    /**
     * Reads an instance.
     *
     * @param table its table
     * @return whether the instance is being drained
     */
    public static Boolean readDraining(ObjectNode table) {
        return INSTANCE_DRAIN.valueIn(table).booleanValue();
    }

    /** Returns the limits. */
    public LimitsConfig readLimits() {
        ObjectNode table = childTable(mDocument, "limits");
        return new LimitsConfig(
                LIMIT_BODY.valueIn(table).intValue(),
                LIMIT_HEADER.valueIn(table).intValue(),
                LIMIT_CONNECTIONS.valueIn(table).intValue(),
                LIMIT_IDLE.valueIn(table).longValue(),
                LIMIT_REQUEST.valueIn(table).longValue(),
                LIMIT_QUEUE.valueIn(table).intValue(),
                LIMIT_QUEUE_BYTES.valueIn(table).longValue(),
                LIMIT_CLAIM_EXPIRY.valueIn(table).longValue(),
                LIMIT_CLAIMS.valueIn(table).intValue(),
                LIMIT_CLAIM_BYTES.valueIn(table).longValue(),
                LIMIT_CLAIM_ANSWER.valueIn(table).intValue());
    }

    private static LatencyObjective readLatencyObjective(ObjectNode table) {
        return new LatencyObjective(
                PROMISE_FIRST_TOKEN.valueIn(table).longValue(),
                PROMISE_BETWEEN_TOKENS.valueIn(table).longValue(),
                PROMISE_WHOLE_ANSWER.valueIn(table).longValue(),
                PROMISE_OBJECTIVE.valueIn(table).doubleValue());
    }

    private static List<RouteConfig> readRoutes(ObjectNode service) {
        List<RouteConfig> routes = new ArrayList<>();
        for (JsonNode element : service.path("routes")) {
            ObjectNode route = (ObjectNode) element;
            routes.add(
                    new RouteConfig(
                            ROUTE_METHOD.valueIn(route).textValue(),
                            ROUTE_PREFIX.valueIn(route).textValue(),
                            ROUTE_IDEMPOTENT.valueIn(route).booleanValue()));
        }
        return routes;
    }

    private static ObjectNode childTable(ObjectNode table, String name) {
        return table.get(name) instanceof ObjectNode child ? child : DocumentTrees.emptyTable();
    }

    private static String upperCaseText(ConfigKey key, ObjectNode table) {
        return key.valueIn(table).textValue().toUpperCase(Locale.ROOT);
    }

    private static List<String> texts(ConfigKey key, ObjectNode table) {
        List<String> texts = new ArrayList<>();
        for (JsonNode item : key.valueIn(table)) {
            texts.add(item.textValue());
        }
        return texts;
    }
}
