package org.hemlockrack.config.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * Prints a document as TOML with table headers. The Jackson writer prints one dotted key per line,
 * which is hard to edit by hand.
 */
public final class TomlPrinter {
    private final StringBuilder mOut = new StringBuilder();

    private TomlPrinter() {}

    /**
     * Prints a document.
     *
     * @param document the document, without nulls
     * @return TOML that parses to an equal document
     */
    public static String print(ObjectNode document) {
        TomlPrinter printer = new TomlPrinter();
        printer.printTable("", document);
        return printer.mOut.toString();
    }

    private void printTable(String path, ObjectNode table) {
        printHeader(path, table);
        for (Map.Entry<String, JsonNode> field : table.properties()) {
            if (!isSubtable(field.getValue())) {
                mOut.append(KeyPath.quote(field.getKey())).append(" = ");
                printValue(field.getValue());
                mOut.append('\n');
            }
        }
        for (Map.Entry<String, JsonNode> field : table.properties()) {
            printSubtable(KeyPath.append(path, field.getKey()), field.getValue());
        }
    }

    private void printHeader(String path, ObjectNode table) {
        if (path.isEmpty()) {
            return;
        }
        boolean onlySubtables = !table.isEmpty();
        for (JsonNode child : table) {
            onlySubtables &= isSubtable(child);
        }
        if (!onlySubtables) {
            startLine().append('[').append(path).append("]\n");
        }
    }

    private void printSubtable(String path, JsonNode node) {
        if (node instanceof ObjectNode table) {
            printTable(path, table);
            return;
        }
        if (!isTableArray(node)) {
            return;
        }
        for (JsonNode element : node) {
            startLine().append("[[").append(path).append("]]\n");
            for (Map.Entry<String, JsonNode> field : element.properties()) {
                mOut.append(KeyPath.quote(field.getKey())).append(" = ");
                printValue(field.getValue());
                mOut.append('\n');
            }
        }
    }

    private StringBuilder startLine() {
        return mOut.isEmpty() ? mOut : mOut.append('\n');
    }

    private void printValue(JsonNode node) {
        if (!(node instanceof ArrayNode array)) {
            // JSON and TOML write booleans, numbers and basic strings alike.
            mOut.append(DocumentTrees.toJson(node));
            return;
        }
        mOut.append('[');
        String separator = "";
        for (JsonNode element : array) {
            mOut.append(separator);
            printValue(element);
            separator = ", ";
        }
        mOut.append(']');
    }

    private static boolean isSubtable(JsonNode node) {
        return node.isObject() || isTableArray(node);
    }

    private static boolean isTableArray(JsonNode node) {
        if (!node.isArray() || node.isEmpty()) {
            return false;
        }
        for (JsonNode element : node) {
            if (!element.isObject()) {
                return false;
            }
        }
        return true;
    }
}
