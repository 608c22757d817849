package org.hemlockrack.config.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockrack.config.ConfigKey;
import org.hemlockrack.config.ValidationError;
import org.hemlockrack.model.Names;
import org.jspecify.annotations.Nullable;

/** Checks a document against {@link ConfigKey}, key by key. */
public final class Schema {
    private static final Schema ROOT = buildRoot();

    /** Longest excerpt of a wrong value in a fault. */
    private static final int MAX_FOUND_CHARS = 80;

    private static final int MAX_ROUTES = 256;

    private final Map<String, Schema> mChildren = new TreeMap<>();
    private @Nullable ConfigKey mKey;

    private Schema() {}

    /**
     * Adds a fault for every key that is unknown, missing or holds a value that is not allowed.
     *
     * @param document the document
     * @param faults receives the faults
     */
    public static void check(ObjectNode document, List<ValidationError> faults) {
        ROOT.checkNode("", document, faults);
    }

    /**
     * Shortens a value for a fault.
     *
     * @param node the value
     * @return its JSON, at most 80 characters
     */
    public static String excerpt(JsonNode node) {
        String text = Trees.toJson(node);
        return text.length() <= MAX_FOUND_CHARS ? text : text.substring(0, MAX_FOUND_CHARS) + "...";
    }

    private static Schema buildRoot() {
        Schema root = new Schema();
        for (ConfigKey key : ConfigKey.values()) {
            Schema node = root;
            for (String segment : key.pattern().split("\\.")) {
                node = node.mChildren.computeIfAbsent(segment, name -> new Schema());
            }
            node.mKey = key;
        }
        return root;
    }

    private void checkNode(String path, JsonNode node, List<ValidationError> faults) {
        if (mKey != null) {
            checkValue(mKey, path, node, faults);
        } else if (mChildren.containsKey("[]")) {
            checkArray(path, node, faults);
        } else if (node instanceof ObjectNode table) {
            checkTable(path, table, faults);
        } else {
            faults.add(new ValidationError(path, excerpt(node), "table"));
        }
    }

    private static void checkValue(
            ConfigKey key, String path, JsonNode node, List<ValidationError> faults) {
        if (!key.allows(node)) {
            faults.add(new ValidationError(path, excerpt(node), key.allowed()));
        }
    }

    private void checkArray(String path, JsonNode node, List<ValidationError> faults) {
        if (!node.isArray() || node.size() > MAX_ROUTES) {
            faults.add(new ValidationError(path, excerpt(node), "array of up to 256 tables"));
            return;
        }
        Schema element = mChildren.get("[]");
        for (int i = 0; i < node.size(); i++) {
            element.checkNode(path + "[" + i + "]", node.get(i), faults);
        }
    }

    private void checkTable(String path, ObjectNode table, List<ValidationError> faults) {
        for (Map.Entry<String, JsonNode> field : table.properties()) {
            checkField(path, field.getKey(), field.getValue(), faults);
        }
        for (Schema child : mChildren.values()) {
            ConfigKey key = child.mKey;
            if (key != null && key.required() && !table.has(key.field())) {
                String missing = KeyPath.append(path, key.field());
                faults.add(new ValidationError(missing, "nothing", key.allowed()));
            }
        }
    }

    private void checkField(
            String path, String name, JsonNode value, List<ValidationError> faults) {
        String childPath = KeyPath.append(path, name);
        Schema named = mChildren.get("*");
        if (named != null && !Names.isValid(name)) {
            faults.add(
                    new ValidationError(
                            childPath, "name \"" + name + "\"", ValueRule.name().allowed()));
            return;
        }
        Schema child = named == null ? mChildren.get(name) : named;
        if (child == null) {
            String known = "one of the keys " + String.join(", ", mChildren.keySet());
            faults.add(new ValidationError(childPath, "unknown key", known));
            return;
        }
        child.checkNode(childPath, value, faults);
    }
}
