package org.hemlockrack.config.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;

/** Applies patches to document trees. */
public final class Patches {
    private static final String REMOVE = "remove";

    private Patches() {}

    /**
     * Applies a JSON merge patch (RFC 7396).
     *
     * @param document the document; it is changed
     * @param text the patch
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if the patch cannot be read
     */
    public static void applyJson(ObjectNode document, String text) {
        merge(document, DocumentTrees.requireTable(DocumentTrees.parseJson(text)));
    }

    /**
     * Applies a TOML patch: removes the key paths listed under {@code remove}, then merges the
     * other tables. Like a null in a merge patch, a path that does not exist has no effect.
     *
     * @param document the document; it is changed
     * @param text the patch
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if the patch cannot be read
     */
    public static void applyToml(ObjectNode document, String text) {
        ObjectNode patch = DocumentTrees.requireTable(DocumentTrees.parseToml(text));
        JsonNode removed = patch.remove(REMOVE);
        if (removed != null) {
            if (!removed.isArray()) {
                throw HemlockrackException.of(ErrorKind.BAD_REQUEST, ErrorText.PATCH_REMOVE);
            }
            removed.forEach(path -> remove(document, path));
        }
        merge(document, patch);
    }

    private static void remove(ObjectNode document, JsonNode path) {
        if (!path.isTextual()) {
            throw HemlockrackException.of(ErrorKind.BAD_REQUEST, ErrorText.PATCH_REMOVE);
        }
        List<String> segments = KeyPath.parse(path.textValue());
        JsonNode table = document;
        for (String segment : segments.subList(0, segments.size() - 1)) {
            table = table.path(segment);
        }
        if (table instanceof ObjectNode parent) {
            parent.remove(segments.get(segments.size() - 1));
        }
    }

    private static void merge(ObjectNode target, ObjectNode patch) {
        for (Map.Entry<String, JsonNode> field : patch.properties()) {
            String name = field.getKey();
            JsonNode value = field.getValue();
            if (value.isNull()) {
                target.remove(name);
            } else if (value instanceof ObjectNode table) {
                merge(getOrCreateTable(target, name), table);
            } else {
                target.set(name, value);
            }
        }
    }

    private static ObjectNode getOrCreateTable(ObjectNode target, String name) {
        if (target.get(name) instanceof ObjectNode table) {
            return table;
        }
        return target.putObject(name);
    }
}
