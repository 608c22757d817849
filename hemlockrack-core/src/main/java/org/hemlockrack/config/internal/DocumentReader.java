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

/** Turns a document that {@link Schema} accepted into records. */
public final class DocumentReader {
    private final ObjectNode mDocument;

    private DocumentReader(ObjectNode document) {
        mDocument = document;
    }

    /**
     * Creates a reader.
     *
     * @param document a document without faults
     * @return the reader
     */
    public static DocumentReader of(ObjectNode document) {
        return new DocumentReader(document);
    }

    /**
     * Reads the tables of one section.
     *
     * @param section name of the section
     * @param id turns a name into a key
     * @param read turns a table into a record
     * @param <K> type of keys
     * @param <V> type of records
     * @return the records by key
     */
    public <K extends Comparable<K>, V> Map<K, V> section(
            String section, Function<String, K> id, Function<ObjectNode, V> read) {
        Map<K, V> records = new TreeMap<>();
        for (Map.Entry<String, JsonNode> field : child(mDocument, section).properties()) {
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
    public static ServiceConfig service(ObjectNode table) {
        return new ServiceConfig(
                ServiceKind.valueOf(upper(SERVICE_KIND, table)),
                texts(SERVICE_MODELS, table),
                Optional.ofNullable(SERVICE_DEFAULT_VERSION.in(table).textValue()),
                SERVICE_LOAD_MULTIPLE.in(table).doubleValue(),
                SERVICE_RETRY_SHARE.in(table).doubleValue(),
                SERVICE_COLD_LIMIT.in(table).intValue(),
                SERVICE_FIRST_SHARE.in(table).doubleValue(),
                routes(table));
    }

    /**
     * Reads a workspace.
     *
     * @param table its table
     * @return the record
     */
    public static WorkspaceConfig workspace(ObjectNode table) {
        Set<ServiceId> services = new LinkedHashSet<>();
        for (String name : texts(WORKSPACE_SERVICES, table)) {
            services.add(ServiceId.of(name));
        }
        return new WorkspaceConfig(
                Priority.valueOf(upper(WORKSPACE_PRIORITY, table)),
                services,
                WORKSPACE_CONCURRENT.in(table).intValue(),
                WORKSPACE_RATE.in(table).doubleValue(),
                promise(child(table, "promise")),
                keys(table).keySet());
    }

    /**
     * Reads the bearer keys of a workspace.
     *
     * @param workspace table of the workspace
     * @return the stored keys by id
     */
    public static Map<String, BearerKey.SaltedHash> keys(ObjectNode workspace) {
        Map<String, BearerKey.SaltedHash> keys = new TreeMap<>();
        for (Map.Entry<String, JsonNode> field : child(workspace, "keys").properties()) {
            ObjectNode key = (ObjectNode) field.getValue();
            String salt = KEY_SALT.in(key).textValue();
            keys.put(field.getKey(), new BearerKey.SaltedHash(salt, KEY_HASH.in(key).textValue()));
        }
        return keys;
    }

    /**
     * Reads a backend class.
     *
     * @param table its table
     * @return whether its backend servers check fencing numbers
     */
    public static Boolean checksFencing(ObjectNode table) {
        return CLASS_CHECKS_FENCING.in(table).booleanValue();
    }

    /**
     * Reads a zone.
     *
     * @param table its table
     * @return the record
     */
    public static ZoneConfig zone(ObjectNode table) {
        boolean takesWork = ZONE_STATE.in(table).textValue().equals("in");
        return new ZoneConfig(ZONE_REGION.in(table).textValue(), takesWork);
    }

    /**
     * Reads an instance.
     *
     * @param table its table
     * @return whether the instance drains
     */
    public static Boolean drains(ObjectNode table) {
        return INSTANCE_DRAIN.in(table).booleanValue();
    }

    /** Returns the limits. */
    public LimitsConfig limits() {
        ObjectNode table = child(mDocument, "limits");
        return new LimitsConfig(
                LIMIT_BODY.in(table).intValue(),
                LIMIT_HEADER.in(table).intValue(),
                LIMIT_CONNECTIONS.in(table).intValue(),
                LIMIT_IDLE.in(table).longValue(),
                LIMIT_REQUEST.in(table).longValue(),
                LIMIT_QUEUE.in(table).intValue(),
                LIMIT_QUEUE_BYTES.in(table).longValue(),
                LIMIT_CLAIM_EXPIRY.in(table).longValue(),
                LIMIT_CLAIMS.in(table).intValue(),
                LIMIT_CLAIM_BYTES.in(table).longValue(),
                LIMIT_CLAIM_ANSWER.in(table).intValue());
    }

    private static LatencyObjective promise(ObjectNode table) {
        return new LatencyObjective(
                PROMISE_FIRST_TOKEN.in(table).longValue(),
                PROMISE_BETWEEN_TOKENS.in(table).longValue(),
                PROMISE_WHOLE_ANSWER.in(table).longValue(),
                PROMISE_OBJECTIVE.in(table).doubleValue());
    }

    private static List<RouteConfig> routes(ObjectNode service) {
        List<RouteConfig> routes = new ArrayList<>();
        for (JsonNode element : service.path("routes")) {
            ObjectNode route = (ObjectNode) element;
            routes.add(
                    new RouteConfig(
                            ROUTE_METHOD.in(route).textValue(),
                            ROUTE_PREFIX.in(route).textValue(),
                            ROUTE_IDEMPOTENT.in(route).booleanValue()));
        }
        return routes;
    }

    private static ObjectNode child(ObjectNode table, String name) {
        return table.get(name) instanceof ObjectNode child ? child : Trees.emptyTable();
    }

    private static String upper(ConfigKey key, ObjectNode table) {
        return key.in(table).textValue().toUpperCase(Locale.ROOT);
    }

    private static List<String> texts(ConfigKey key, ObjectNode table) {
        List<String> texts = new ArrayList<>();
        for (JsonNode item : key.in(table)) {
            texts.add(item.textValue());
        }
        return texts;
    }
}
