package org.hemlockrack.errors;

/** Message texts of errors, with the placeholders of {@link String#format}. */
public final class ErrorText {
    public static final String BODY_TOO_LARGE = "request body exceeds the limit of %d bytes";
    public static final String UNKNOWN_KEY = "the bearer key does not belong to a workspace";
    public static final String NO_BACKEND = "no backend server can take work for service \"%s\"";
    public static final String KEY_PATH_MALFORMED =
            "key path \"%s\" is malformed: use keys separated by dots, quoted if they hold dots";
    public static final String DOCUMENT_NOT_TABLE = "the document is not a table of keys";
    public static final String DOCUMENT_TOO_LONG = "%s text of %d characters exceeds %d";
    public static final String DOCUMENT_MALFORMED = "the text is not valid %s: %s";
    public static final String CONFIG_FAULTS = "the configuration has %d faults:%n%s";
    public static final String CONFIG_SAME_VERSION =
            "version %d was offered with a document that differs from the one in force";
    public static final String PATCH_REMOVE =
            "\"remove\" in a TOML patch must be a list of key paths";
    public static final String VERSION_CONFLICT =
            "the patch is for version %d, but version %d is in force";
    public static final String VERSION_NOT_KEPT =
            "version %d is not in the history, which reaches from %d to %d";
    public static final String REQUEST_ID_REUSED =
            "request id \"%s\" was used before with another command";
    public static final String TEXT_LENGTH = "%s has %d characters, allowed are 1 to %d";
    public static final String STRUCT_MALFORMED = "%s is malformed: %s";
    public static final String STRUCT_TOO_LARGE = "%s of %d bytes exceeds %d bytes";
    public static final String CLAIM_NO_QUORUM =
            "the claim for the idempotency key could not be committed; the command was not run";
    public static final String CLAIM_IN_PROGRESS =
            "another attempt for the idempotency key is open; its outcome is not known";
    public static final String CLAIM_KEY_REUSED =
            "the idempotency key was used before with another request body";
    public static final String CLAIM_KEY_MALFORMED =
            "an idempotency key has 1 to 200 printable ASCII characters";
    public static final String CLAIM_FULL =
            "no more idempotency keys can be recorded at present; the command was not run";
    public static final String CLAIM_STALE =
            "the claim attempt is out of date; the command was not run";
    public static final String CLAIM_OUTCOME_UNKNOWN =
            "the command may have run, but its outcome is not known";
    public static final String CLAIM_NOT_DISPATCHED =
            "the command could not be sent to a backend server and was not run";

    private ErrorText() {}
}
