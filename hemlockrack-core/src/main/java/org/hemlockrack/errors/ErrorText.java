package org.hemlockrack.errors;

/** Message texts of errors, with the placeholders of {@link String#format}. */
public final class ErrorText {
    public static final String BODY_TOO_LARGE = "request body exceeds the limit of %d bytes";
    public static final String UNKNOWN_KEY = "the bearer key does not belong to a workspace";
    public static final String NO_BACKEND = "no backend server can take work for service \"%s\"";
    public static final String ADMISSION_SETTING = "admission setting %s must be %s";
    public static final String WORKSPACE_QUOTA =
            "workspace quota needs max_concurrent >= 0, rate_per_second > 0 and burst >= 1";

    private ErrorText() {}
}
