package org.hemlockrack.errors;

/** Message texts of errors, with the placeholders of {@link String#format}. */
public final class ErrorText {
    public static final String BODY_TOO_LARGE = "request body exceeds the limit of %d bytes";
    public static final String UNKNOWN_KEY = "the bearer key does not belong to a workspace";
    public static final String NO_BACKEND = "no backend server can take work for service \"%s\"";
    public static final String MALFORMED_GOSSIP = "malformed gossip message: %s";
    public static final String BACKEND_ENTRY_TOO_LARGE =
            "entry of backend server \"%s\" takes %d bytes on the wire; at most %d are allowed";

    private ErrorText() {}
}
