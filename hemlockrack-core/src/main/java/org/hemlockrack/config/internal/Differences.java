package org.hemlockrack.config.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hemlockrack.config.Difference;
import org.jspecify.annotations.Nullable;

/** Computes and reverts the differences between two documents. */
public final class Differences {
    private final List<String> mPath = new ArrayList<>();
    private final List<Difference> mFound = new ArrayList<>();

    private Differences() {}

    /**
     * Compares two documents. Tables in both are compared key by key; a table in only one of them
     * is one difference, so that empty tables are not lost.
     *
     * @param before the earlier document
     * @param after the later document
     * @return the differences
     */
    public static List<Difference> between(ObjectNode before, ObjectNode after) {
        Differences differences = new Differences();
        differences.compareTables(before, after);
        return differences.mFound;
    }

    /**
     * Reverts differences.
     *
     * @param document the later document; it is changed into the earlier one
     * @param differences the differences
     */
    public static void undo(ObjectNode document, List<Difference> differences) {
        for (Difference difference : differences) {
            List<String> path = difference.segments();
            ObjectNode table = document;
            for (String segment : path.subList(0, path.size() - 1)) {
                table = (ObjectNode) table.get(segment);
            }
            String name = path.get(path.size() - 1);
            if (difference.before().isPresent()) {
                table.set(name, DocumentTrees.parseJson(difference.before().get()));
            } else {
                table.remove(name);
            }
        }
    }

    private void compareTables(ObjectNode before, ObjectNode after) {
        for (Map.Entry<String, JsonNode> field : before.properties()) {
            compare(field.getKey(), field.getValue(), after.get(field.getKey()));
        }
        for (Map.Entry<String, JsonNode> field : after.properties()) {
            if (!before.has(field.getKey())) {
                compare(field.getKey(), null, field.getValue());
            }
        }
    }

    private void compare(String name, @Nullable JsonNode before, @Nullable JsonNode after) {
        mPath.add(name);
        if (before instanceof ObjectNode from && after instanceof ObjectNode to) {
            compareTables(from, to);
        } else if (before == null || !before.equals(after)) {
            mFound.add(new Difference(mPath, text(before), text(after)));
        }
        mPath.remove(mPath.size() - 1);
    }

    private static Optional<String> text(@Nullable JsonNode node) {
        return node == null ? Optional.empty() : Optional.of(DocumentTrees.toJson(node));
    }
}
