package org.hemlockrack.config.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;

/** Parses and prints documents as Jackson trees. */
public final class DocumentTrees {
    /**
     * Longest document or patch in characters. 1,300 workspaces need less than 1 MiB. The limit
     * bounds the size of a log entry.
     */
    public static final int MAX_TEXT_CHARS = 4 << 20;

    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();
    private static final ObjectMapper TOML = new TomlMapper();

    private DocumentTrees() {}

    /** Returns a new empty table. */
    public static ObjectNode emptyTable() {
        return JsonNodeFactory.instance.objectNode();
    }

    /**
     * Parses JSON.
     *
     * @param text the text
     * @return the tree
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is not valid JSON
     */
    public static JsonNode parseJson(String text) {
        return parse(JSON, "JSON", text);
    }

    /**
     * Parses TOML.
     *
     * @param text the text
     * @return the tree
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is not valid TOML
     */
    public static JsonNode parseToml(String text) {
        return parse(TOML, "TOML", text);
    }

    /**
     * Requires a table.
     *
     * @param node a tree
     * @return the tree as a table
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is something else
     */
    public static ObjectNode requireTable(JsonNode node) {
        if (node instanceof ObjectNode table) {
            return table;
        }
        throw HemlockrackException.of(ErrorKind.BAD_REQUEST, ErrorText.DOCUMENT_NOT_TABLE);
    }

    /**
     * Prints compact JSON.
     *
     * @param node a tree
     * @return the text
     */
    public static String toJson(JsonNode node) {
        try {
            return JSON.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw HemlockrackException.of(ErrorKind.INTERNAL, "cannot print a tree as JSON", e);
        }
    }

    private static JsonNode parse(ObjectMapper mapper, String form, String text) {
        if (text.length() > MAX_TEXT_CHARS) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    String.format(
                            ErrorText.DOCUMENT_TOO_LONG, form, text.length(), MAX_TEXT_CHARS));
        }
        try {
            return normaliseNumbers(mapper.readTree(text));
        } catch (JsonProcessingException | RuntimeException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    String.format(ErrorText.DOCUMENT_MALFORMED, form, e.getMessage()),
                    e);
        }
    }

    /**
     * Represents equal numbers by equal nodes. The TOML and JSON parsers choose different node
     * types, so documents with the same values would differ.
     */
    private static JsonNode normaliseNumbers(JsonNode node) {
        JsonNodeFactory factory = JsonNodeFactory.instance;
        if (node instanceof ObjectNode table) {
            table.properties().forEach(field -> field.setValue(normaliseNumbers(field.getValue())));
            return table;
        }
        if (node instanceof ArrayNode array) {
            for (int i = 0; i < array.size(); i++) {
                array.set(i, normaliseNumbers(array.get(i)));
            }
            return array;
        }
        if (node.isIntegralNumber() && node.canConvertToLong()) {
            return factory.numberNode(node.longValue());
        }
        return node.isFloatingPointNumber() ? factory.numberNode(node.doubleValue()) : node;
    }
}
