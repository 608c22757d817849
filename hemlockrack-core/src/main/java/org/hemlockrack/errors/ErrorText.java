package org.hemlockrack.errors;

/** Message texts of errors, with the placeholders of {@link String#format}. */
public final class ErrorText {
    public static final String BODY_TOO_LARGE = "request body exceeds the limit of %d bytes";
    public static final String UNKNOWN_KEY = "the bearer key does not belong to a workspace";
    public static final String NO_BACKEND = "no backend server can take work for service \"%s\"";
    public static final String ADMISSION_SETTING = "admission setting %s must be %s";
    public static final String WORKSPACE_QUOTA =
            "workspace quota needs max_concurrent >= 0, rate_per_second > 0 and burst >= 1";
    public static final String ANSWER_ID_MISSING =
            "the answer of attempt %d carries no single X-Request-Id";
    public static final String ANSWER_ID_FOREIGN =
            "the answer of attempt %d belongs to another request";
    public static final String ANSWER_CUT = "the answer ended before it was complete";
    public static final String ANSWER_TOO_LONG = "the answer is longer than its Content-Length";
    public static final String ANSWER_FRAMING =
            "the answer states neither one valid Content-Length nor chunked framing";
    public static final String EVENT_TOO_LARGE = "a stream event exceeds the limit of %d bytes";
    public static final String EVENT_NUMBER =
            "stream event \"%s\" arrived where event %d was expected";
    public static final String EVENT_NUMBERING =
            "the stream mixes events with and without a number";
    public static final String RERUN_DIFFERS =
            "the repeated run differs from the events that were already sent";

    private ErrorText() {}
}
