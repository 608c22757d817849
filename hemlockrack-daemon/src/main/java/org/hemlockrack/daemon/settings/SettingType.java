package org.hemlockrack.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import org.hemlockrack.model.Names;
import org.jspecify.annotations.Nullable;

/** Types of settings; each validates values. */
public enum SettingType {
    /** A name that is {@linkplain Names#isValid valid}. */
    NAME {
        @Override
        boolean accepts(SettingKey key, JsonNode value) {
            return value.isTextual() && Names.isValid(value.textValue());
        }
    },
    /** A list of {@link #NAME} values. */
    NAME_LIST {
        @Override
        boolean accepts(SettingKey key, JsonNode value) {
            return isListOf(value, Names::isValid);
        }
    },
    /** An IP address and port. */
    ADDRESS {
        @Override
        boolean accepts(SettingKey key, JsonNode value) {
            return value.isTextual() && isAddress(value.textValue());
        }
    },
    /** A list of {@link #ADDRESS} values. */
    ADDRESS_LIST {
        @Override
        boolean accepts(SettingKey key, JsonNode value) {
            return isListOf(value, SettingType::isAddress);
        }
    },
    /** A list of {@code id=ip:port} elements. */
    VOTER_LIST {
        @Override
        boolean accepts(SettingKey key, JsonNode value) {
            return isListOf(value, SettingType::isVoter);
        }
    },
    /** A list of {@code ip:port=ip:port} elements. */
    ADDRESS_PAIR_LIST {
        @Override
        boolean accepts(SettingKey key, JsonNode value) {
            return isListOf(value, SettingType::isAddressPair);
        }
    },
    /** A path of a folder or file. */
    PATH {
        @Override
        boolean accepts(SettingKey key, JsonNode value) {
            return value.isTextual();
        }
    },
    /** One of the words that {@link SettingKey#allowed} lists. */
    CHOICE {
        @Override
        boolean accepts(SettingKey key, JsonNode value) {
            // The words "true" and "false" may be written as booleans.
            return (value.isTextual() || value.isBoolean())
                    && Arrays.asList(key.allowed().split("\\|")).contains(value.asText());
        }
    },
    /** A number that is not negative. */
    DECIMAL {
        @Override
        boolean accepts(SettingKey key, JsonNode value) {
            return value.isNumber() && value.doubleValue() >= 0;
        }
    },
    /** A whole number in the range of the key. */
    INTEGER {
        @Override
        boolean accepts(SettingKey key, JsonNode value) {
            return value.isIntegralNumber()
                    && value.canConvertToLong()
                    && value.longValue() >= key.min()
                    && value.longValue() <= key.max();
        }
    };

    private static final int MAX_PORT = 65_535;

    abstract boolean accepts(SettingKey key, JsonNode value);

    /** Validates one element of a list. */
    private interface TextCheck {
        boolean accepts(String text);
    }

    private static boolean isListOf(@Nullable JsonNode list, TextCheck check) {
        if (list == null || !list.isArray()) {
            return false;
        }
        for (JsonNode element : list) {
            if (!element.isTextual() || !check.accepts(element.textValue())) {
                return false;
            }
        }
        return true;
    }

    private static boolean isVoter(String text) {
        int eq = text.indexOf('=');
        return eq > 0 && Names.isValid(text.substring(0, eq)) && isAddress(text.substring(eq + 1));
    }

    private static boolean isAddressPair(String text) {
        int eq = text.indexOf('=');
        return eq > 0 && isAddress(text.substring(0, eq)) && isAddress(text.substring(eq + 1));
    }

    private static boolean isAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:]+\\]")) {
            return false;
        }
        String port = text.substring(colon + 1);
        return port.matches("[0-9]{1,5}") && Integer.parseInt(port) <= MAX_PORT;
    }
}
