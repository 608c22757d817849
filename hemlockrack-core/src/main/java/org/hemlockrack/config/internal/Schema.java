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

/** Validates a document against {@link ConfigKey}, key by key. */
public final class Schema {
    private static final Schema ROOT = buildRoot();

    /** Longest excerpt of an invalid value in an error. */
    private static final int MAX_EXCERPT_CHARS = 80;

    private static final int MAX_ROUTES = 256;

    private final Map<String, Schema> mChildren = new TreeMap<>();
    private @Nullable ConfigKey mKey;

    private Schema() {}

    /**
     * Adds an error for every key that is unknown, missing or has a value that is not allowed.
     *
     * @param document the document
     * @param errors receives the errors
     */
    public static void check(ObjectNode document, List<ValidationError> errors) {
        ROOT.checkNode("", document, errors);
    }

    /**
     * Returns an excerpt of an invalid value for an error.
     *
     * @param node the value
     * @return its JSON, at most 80 characters
     */
    public static String excerpt(JsonNode node) {
        String text = DocumentTrees.toJson(node);
        return text.length() <= MAX_EXCERPT_CHARS
                ? text
                : text.substring(0, MAX_EXCERPT_CHARS) + "...";
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

    private void checkNode(String path, JsonNode node, List<ValidationError> errors) {
        if (mKey != null) {
            checkValue(mKey, path, node, errors);
        } else if (mChildren.containsKey("[]")) {
            checkArray(path, node, errors);
        } else if (node instanceof ObjectNode table) {
            checkTable(path, table, errors);
        } else {
            errors.add(new ValidationError(path, excerpt(node), "table"));
        }
    }

    private static void checkValue(
            ConfigKey key, String path, JsonNode node, List<ValidationError> errors) {
        if (!key.allows(node)) {
            errors.add(new ValidationError(path, excerpt(node), key.allowedValues()));
        }
    }

    private void checkArray(String path, JsonNode node, List<ValidationError> errors) {
        if (!node.isArray() || node.size() > MAX_ROUTES) {
            errors.add(new ValidationError(path, excerpt(node), "array of up to 256 tables"));
            return;
        }
        Schema element = mChildren.get("[]");
        for (int i = 0; i < node.size(); i++) {
            element.checkNode(path + "[" + i + "]", node.get(i), errors);
        }
    }

    private void checkTable(String path, ObjectNode table, List<ValidationError> errors) {
        for (Map.Entry<String, JsonNode> field : table.properties()) {
            checkField(path, field.getKey(), field.getValue(), errors);
        }
        for (Schema child : mChildren.values()) {
            ConfigKey key = child.mKey;
            if (key != null && key.isRequired() && !table.has(key.fieldName())) {
                String missing = KeyPath.append(path, key.fieldName());
                errors.add(new ValidationError(missing, "nothing", key.allowedValues()));
            }
        }
    }

    private void checkField(
            String path, String name, JsonNode value, List<ValidationError> errors) {
        String childPath = KeyPath.append(path, name);
        Schema wildcardChild = mChildren.get("*");
        if (wildcardChild != null && !Names.isValid(name)) {
            errors.add(
                    new ValidationError(
                            childPath, "name \"" + name + "\"", ValueRule.name().description()));
            return;
        }
        Schema child = wildcardChild == null ? mChildren.get(name) : wildcardChild;
        if (child == null) {
            String allowedKeys = "one of the keys " + String.join(", ", mChildren.keySet());
            errors.add(new ValidationError(childPath, "unknown key", allowedKeys));
            return;
        }
        child.checkNode(childPath, value, errors);
    }
}
