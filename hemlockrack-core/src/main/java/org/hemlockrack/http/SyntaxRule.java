package org.hemlockrack.http;

/** Rules that a message can violate, with their names in the grammar of RFC 9110 and RFC 9112. */
public enum SyntaxRule {
    STATUS_LINE("status-line"),
    FIELD_NAME("field-name"),
    FIELD_VALUE("field-value"),
    CONTENT_LENGTH("Content-Length"),
    TRANSFER_ENCODING("Transfer-Encoding"),
    CONFLICTING_LENGTHS("Content-Length with Transfer-Encoding"),

    CHUNK_SIZE("chunk-size"),
    CHUNK_EXTENSION("chunk-ext"),
    CHUNK_END("end of chunk-data"),
    LINE_END("CRLF");

    private final String mText;

    SyntaxRule(String text) {
        mText = text;
    }

    @Override
    public String toString() {
        return mText;
    }
}
