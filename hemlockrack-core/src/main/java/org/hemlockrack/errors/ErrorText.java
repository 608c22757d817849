package org.hemlockrack.errors;

/** Message texts of errors, as formats for {@link String#format}. */
public final class ErrorText {
    public static final String BODY_TOO_LARGE = "request body exceeds the limit of %d bytes";
    public static final String MEMORY_SHORT =
            "the instance has no room for the request and has not run it";
    public static final String RESPONSES_UNTAKEN =
            "clients have not taken too much of earlier responses; the request was not run";
    public static final String REQUESTS_OPEN =
            "the instance has no connection left for the request and has not run it";
    public static final String PARSED_TOO_LARGE =
            "the values of the request can take %d bytes; allowed: %d";
    public static final String BODY_TIMEOUT = "the request body was not complete within %d ms";
    public static final String HEAD_TIMEOUT = "the request head was not complete within %d ms";
    public static final String HTTP_TOO_MANY_CONNECTIONS = "more than %d connections are open";
    public static final String HTTP_TOO_MANY_PIPELINED =
            "more than %d requests of one connection are open at once";
    public static final String HTTP_VERSION = "protocol version %s is not supported";
    public static final String HTTP_HOST = "the request needs exactly one Host field";
    public static final String HTTP_FIELD_DUPLICATE = "the request needs at most one %s field";
    public static final String HTTP_CONFLICTING_FRAMING =
            "the request states both Content-Length and Transfer-Encoding";
    public static final String HTTP_TRANSFER_ENCODING =
            "the only allowed Transfer-Encoding is one chunked, in HTTP/1.1";
    public static final String HTTP_CONTENT_LENGTH =
            "the request needs at most one Content-Length, a whole number";
    public static final String HTTP_EXPECT = "the only allowed Expect value is 100-continue";
    public static final String ANSWER_RECORD_TOO_LARGE =
            "the answer of the command exceeds %d bytes, so it cannot be recorded";
    public static final String ROUTE_DUPLICATE = "two routes share host \"%s\" and prefix \"%s\"";
    public static final String ROUTE_TIMEOUT = "route \"%s\" needs a timeout above 0";
    public static final String ROUTE_WEIGHTS =
            "route \"%s\" needs weights that are not negative and add up to more than 0";
    public static final String ROUTE_UNKNOWN_SERVICE =
            "route \"%s\" names the unknown service \"%s\"";
    public static final String INSTANCE_STOPS = "this instance is stopping";
    public static final String NO_ROUTE = "no route for host \"%s\" and path \"%s\"";
    public static final String QUEUE_REFUSED = "all servers are full: %s";
    public static final String PART_HELD =
            "prompts with the part \"%s\" are held back, because it crashes backend servers";
    public static final String PART_DECIDED_ANEW =
            "a newer decision about part \"%s\" was made; list the parts before lifting it";
    public static final String PART_NOT_HELD = "the prompt part \"%s\" is not held back";
    public static final String QUARANTINE_CALLS =
            "%s %s is not possible; allowed: GET %3$s, POST %3$s/PART/lift";
    public static final String SERVER_VALUE = "a backend server cannot have the %s \"%s\"";
    public static final String KEY_DUPLICATE = "workspaces \"%s\" and \"%s\" share a key";
    public static final String UNKNOWN_KEY = "the bearer key does not belong to a workspace";
    public static final String NO_BACKEND = "no backend server can take work for service \"%s\"";
    public static final String ADMISSION_SETTING = "admission setting %s must be %s";
    public static final String WORKSPACE_QUOTA =
            "workspace quota needs max_concurrent >= 0, rate_per_second > 0 and burst >= 1";
    public static final String ANSWER_ID_MISSING =
            "the answer of attempt %d does not have exactly one X-Request-Id";
    public static final String ANSWER_ID_MISMATCH =
            "the answer of attempt %d belongs to another request";
    public static final String ANSWER_TRUNCATED = "the answer ended before it was complete";
    public static final String ANSWER_TOO_LONG = "the answer is longer than its Content-Length";
    public static final String ANSWER_FRAMING =
            "the answer states neither one valid Content-Length nor chunked framing";
    public static final String EVENT_TOO_LARGE = "a stream event exceeds the limit of %d bytes";
    public static final String EVENT_OUT_OF_ORDER =
            "stream event \"%s\" arrived where event %d was expected";
    public static final String EVENT_NUMBERING_MIXED =
            "the stream mixes events with and without a number";
    public static final String RERUN_MISMATCH =
            "the repeated run differs from the events that were already sent";
    public static final String KEY_PATH_MALFORMED =
            "key path \"%s\" is malformed: use keys separated by dots, quoted if they hold dots";
    public static final String DOCUMENT_NOT_TABLE = "the document is not a table of keys";
    public static final String DOCUMENT_TOO_LONG = "%s text of %d characters exceeds %d";
    public static final String DOCUMENT_MALFORMED = "the text is not valid %s: %s";
    public static final String CONFIG_ERRORS = "the configuration has %d errors:%n%s";
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
    public static final String MALFORMED_GOSSIP = "malformed gossip message: %s";
    public static final String BACKEND_ENTRY_TOO_LARGE =
            "entry of backend server \"%s\" takes %d bytes on the wire; at most %d are allowed";
    public static final String WIRE_MALFORMED = "malformed consensus message: %s";
    public static final String WIRE_ENCODING = "a consensus struct cannot be encoded";
    public static final String STORE_DAMAGED = "%s is damaged at byte %d: %s";
    public static final String STORE_MISSING = "%s is missing";
    public static final String STORE_NEWER =
            "the data folder %s was written by a newer release in file form %d;"
                    + " this release reads forms up to %d";
    public static final String STORE_NO_FOLDER = "%s is not a folder";
    public static final String STORE_NO_REPLICA = "the folder %s holds no files of a replica";
    public static final String STORE_LOCKED = "another process uses the data folder %s";
    public static final String STORE_FAILED = "the data folder %s cannot be written or read: %s";
    public static final String ROLLOUT_SAME_VERSION =
            "the version to roll out is the version in use";
    public static final String ROLLOUT_DEADLINE_PAST = "the deadline has passed";
    public static final String ROLLOUT_RUNNING =
            "roll-out %d to %s is running; stop it or wait for its end";
    public static final String ROLLOUT_NOT_FOUND =
            "no roll-out of model \"%2$s\" in service \"%1$s\"";
    public static final String ROLLOUT_NOT_RUNNING = "roll-out %d is not running";
    public static final String ROLLOUT_FULL =
            "%d services and models have a running roll-out; no more are allowed";
    public static final String ROLLOUT_AUTHORITY =
            "the controller has authority %d, but authority %d is in force";

    public static final String OVERLOADED =
            "all backend servers that can take the request are at their limit";
    public static final String DEADLINE_UNREACHABLE =
            "the deadline cannot be met at the current load";

    private ErrorText() {}
}
