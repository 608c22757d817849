package org.hemlockrack.config.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.hemlockrack.model.Names;

/**
 * Rule for the allowed values of a configuration key.
 *
 * @param description description of the allowed values for operators
 * @param predicate tests whether a value is allowed
 */
public record ValueRule(String description, Predicate<JsonNode> predicate) {
    /** Longest list of names; bounds the document and the time of a validation. */
    private static final int MAX_LIST_ITEMS = 256;

    private static final int MAX_PREFIX_CHARS = 256;
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}|\\*");
    private static final Pattern PREFIX = Pattern.compile("/[!-~]*");
    private static final Pattern HEX = Pattern.compile("([0-9a-f]{2})+");

    /**
     * Allows integers in a range.
     *
     * @param min smallest value
     * @param max largest value
     * @return the rule
     */
    public static ValueRule integer(long min, long max) {
        return new ValueRule(
                "integer from " + min + " to " + max,
                node ->
                        node.isIntegralNumber()
                                && node.canConvertToLong()
                                && node.longValue() >= min
                                && node.longValue() <= max);
    }

    /**
     * Allows numbers in a range.
     *
     * @param min smallest value
     * @param max largest value
     * @return the rule
     */
    public static ValueRule decimal(double min, double max) {
        return new ValueRule(
                "number from " + min + " to " + max,
                node -> node.isNumber() && node.doubleValue() >= min && node.doubleValue() <= max);
    }

    /**
     * Allows some fixed words.
     *
     * @param words the words
     * @return the rule
     */
    public static ValueRule oneOf(String... words) {
        List<String> allowed = Arrays.asList(words);
        return new ValueRule(
                "one of " + String.join(", ", words),
                node -> node.isTextual() && allowed.contains(node.textValue()));
    }

    /** Returns the rule that allows true and false. */
    public static ValueRule bool() {
        return new ValueRule("true or false", JsonNode::isBoolean);
    }

    /** Returns the rule that allows one valid name. */
    public static ValueRule name() {
        return new ValueRule(
                "name of 1 to " + Names.MAX_LENGTH_CHARS + " characters", ValueRule::isName);
    }

    /** Returns the rule that allows a list of distinct valid names. */
    public static ValueRule nameList() {
        return new ValueRule(
                "list of up to " + MAX_LIST_ITEMS + " distinct names", ValueRule::isNameList);
    }

    /** Returns the rule that allows an HTTP method or {@code *}. */
    public static ValueRule method() {
        return new ValueRule(
                "HTTP method in capitals or *",
                node -> node.isTextual() && METHOD.matcher(node.textValue()).matches());
    }

    /** Returns the rule that allows a path prefix. */
    public static ValueRule pathPrefix() {
        return new ValueRule(
                "path of up to " + MAX_PREFIX_CHARS + " printable characters starting with /",
                node ->
                        node.isTextual()
                                && node.textValue().length() <= MAX_PREFIX_CHARS
                                && PREFIX.matcher(node.textValue()).matches());
    }

    /**
     * Allows bytes in lower-case hexadecimal digits.
     *
     * @param minBytes fewest bytes
     * @param maxBytes most bytes
     * @return the rule
     */
    public static ValueRule hex(int minBytes, int maxBytes) {
        String size = minBytes == maxBytes ? "" + minBytes : minBytes + " to " + maxBytes;
        return new ValueRule(
                size + " bytes in lower-case hexadecimal digits",
                node ->
                        node.isTextual()
                                && node.textValue().length() >= 2 * minBytes
                                && node.textValue().length() <= 2 * maxBytes
                                && HEX.matcher(node.textValue()).matches());
    }

    private static boolean isName(JsonNode node) {
        return node.isTextual() && Names.isValid(node.textValue());
    }

    private static boolean isNameList(JsonNode node) {
        if (!node.isArray() || node.size() > MAX_LIST_ITEMS) {
            return false;
        }
        Set<String> seen = new HashSet<>();
        for (JsonNode item : node) {
            if (!isName(item) || !seen.add(item.textValue())) {
                return false;
            }
        }
        return true;
    }
}
