package org.hemlockrack.errors;

/** Message texts of errors, with the placeholders of {@link String#format}. */
public final class ErrorText {
    public static final String BODY_TOO_LARGE = "request body exceeds the limit of %d bytes";
    public static final String UNKNOWN_KEY = "the bearer key does not belong to a workspace";
    public static final String NO_BACKEND = "no backend server can take work for service \"%s\"";
    public static final String WIRE_MALFORMED = "malformed consensus message: %s";
    public static final String WIRE_ENCODING = "a consensus struct cannot be encoded";
    public static final String STORE_DAMAGED = "%s is damaged at byte %d: %s";
    public static final String STORE_MISSING = "%s is missing";
    public static final String STORE_LOCKED = "another process uses the data folder %s";
    public static final String STORE_FAILED = "the data folder %s cannot be written or read";

    private ErrorText() {}
}
