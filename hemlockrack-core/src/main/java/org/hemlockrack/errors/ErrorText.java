package org.hemlockrack.errors;

/** Message texts of errors, with the placeholders of {@link String#format}. */
public final class ErrorText {
    public static final String BODY_TOO_LARGE = "request body exceeds the limit of %d bytes";
    public static final String UNKNOWN_KEY = "the bearer key does not belong to a workspace";
    public static final String NO_BACKEND = "no backend server can take work for service \"%s\"";

    private ErrorText() {}
}
