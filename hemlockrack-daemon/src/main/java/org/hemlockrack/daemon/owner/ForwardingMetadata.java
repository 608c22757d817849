package org.hemlockrack.daemon.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hemlockrack.admission.WaitMode;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * What an entry instance tells the owner with a forwarded request, as header fields.
 *
 * @param backend the backend server to run the request on
 * @param requestId id of the attempt; the server must echo it
 * @param workspace workspace of the caller
 * @param priority priority of the workspace
 * @param kind kind of the request
 * @param firstByteMillis time left until the first byte of the answer is due
 * @param waitMode whether the owner may queue the request
 */
public record ForwardingMetadata(
        BackendId backend,
        String requestId,
        WorkspaceId workspace,
        Priority priority,
        RequestKind kind,
        long firstByteMillis,
        WaitMode waitMode) {

    /** Prefix of all header fields that instances exchange; callers' fields of it are dropped. */
    public static final String PREFIX = "X-Hemlockrack-";

    /** Names the error kind of a refusal by the owner, as opposed to a backend server's answer. */
    public static final String REFUSED = PREFIX + "Refused";

    /** Names the error kind of an attempt that failed after it may have run. */
    public static final String FAILED = PREFIX + "Failed";

    /** States when the owner expects a retry to succeed, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = PREFIX + "Retry-After-Ms";

    /** Echoed by backend servers. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** Tells a model engine the key by which its cache events name the chat. */
    public static final String PLACEMENT_KEY = "X-Placement-Key";

    /** Names the model version that a server with several loaded ones must use. */
    public static final String MODEL_VERSION = "X-Model-Version";

    /**
     * Names the announcement of the backend server on which the admission rests. A server that
     * prepared it longer than a lease ago answers 421 and does not run the request: the owner was
     * stopped between its last check of the lease and the send.
     */
    public static final String ADMISSION_SEQUENCE = "X-Admission-Sequence";

    private static final String BACKEND = PREFIX + "Backend";
    private static final String WORKSPACE = PREFIX + "Workspace";
    private static final String PRIORITY = PREFIX + "Priority";
    private static final String KIND = PREFIX + "Kind";
    private static final String FIRST_BYTE_MILLIS = PREFIX + "First-Byte-Ms";
    private static final String WAIT = PREFIX + "Wait";

    /** Returns the header fields of the order. */
    public List<HeaderField> toHeaders() {
        List<HeaderField> fields = new ArrayList<>();
        fields.add(HeaderField.of(BACKEND, backend.value()));
        fields.add(HeaderField.of(REQUEST_ID, requestId));
        fields.add(HeaderField.of(WORKSPACE, workspace.value()));
        fields.add(HeaderField.of(PRIORITY, priority.name()));
        fields.add(HeaderField.of(KIND, kind.name()));
        fields.add(HeaderField.of(FIRST_BYTE_MILLIS, Long.toString(firstByteMillis)));
        fields.add(HeaderField.of(WAIT, waitMode.name()));
        return fields;
    }

    /**
     * Returns whether a field belongs to the conversation between instances.
     *
     * @param field a header field
     * @return true for fields that must be neither taken from callers nor sent to servers
     */
    public static boolean isInternal(HeaderField field) {
        return field.name().regionMatches(true, 0, PREFIX, 0, PREFIX.length());
    }

    /**
     * Reads the order of a forwarded request.
     *
     * @param call the request
     * @return the order
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if a field is missing or
     *     malformed
     */
    public static ForwardingMetadata parse(HttpCall call) {
        try {
            return new ForwardingMetadata(
                    BackendId.of(require(call, BACKEND)),
                    require(call, REQUEST_ID),
                    WorkspaceId.of(require(call, WORKSPACE)),
                    Priority.valueOf(require(call, PRIORITY).toUpperCase(Locale.ROOT)),
                    RequestKind.valueOf(require(call, KIND)),
                    Long.parseLong(require(call, FIRST_BYTE_MILLIS)),
                    WaitMode.valueOf(require(call, WAIT)));
        } catch (IllegalArgumentException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "malformed forwarding field: " + e.getMessage(), e);
        }
    }

    private static String require(HttpCall call, String name) {
        @Nullable String value = call.header(name);
        if (value == null) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "forwarding field \"" + name + "\" is missing");
        }
        return value;
    }
}
