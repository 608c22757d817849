package org.hemlockrack.daemon.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.hemlockrack.http.LengthFields;
import org.jspecify.annotations.Nullable;

/**
 * One HTTP header field.
 *
 * @param name the name, in the case in which it was received
 * @param value the value
 */
public record HeaderField(String name, String value) {
    /** Fields that apply to a single connection or to message framing and are never forwarded. */
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    /**
     * Creates a field.
     *
     * @param name the name
     * @param value the value
     * @return the field
     */
    public static HeaderField of(String name, String value) {
        return new HeaderField(name, value);
    }

    /** Returns whether the field must not be forwarded. */
    public boolean isHopByHop() {
        return HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
    }

    /** Returns whether the field has a name, ignoring case. */
    public boolean hasName(String fieldName) {
        return name.equalsIgnoreCase(fieldName);
    }

    /**
     * Returns the first value of a field.
     *
     * @param fields the fields
     * @param name name of the field, case-insensitive
     * @return the value, or null if there is no such field
     */
    public static @Nullable String firstValue(List<HeaderField> fields, String name) {
        for (HeaderField field : fields) {
            if (field.hasName(name)) {
                return field.value();
            }
        }
        return null;
    }

    /** Returns the fields that say where the body of a message ends. */
    static LengthFields lengthFieldsOf(HttpMessage message) {
        return new LengthFields(
                values(message, HttpHeaders.CONTENT_LENGTH),
                values(message, HttpHeaders.TRANSFER_ENCODING));
    }

    private static List<String> values(HttpMessage message, String name) {
        List<String> values = new ArrayList<>();
        for (Header header : message.getHeaders(name)) {
            values.add(valueOf(header));
        }
        return values;
    }

    private static String valueOf(Header header) {
        return header.getValue() == null ? "" : header.getValue();
    }

    static List<HeaderField> listOf(HttpMessage message) {
        List<HeaderField> fields = new ArrayList<>();
        for (Header header : message.getHeaders()) {
            fields.add(of(header.getName(), valueOf(header)));
        }
        return fields;
    }
}
