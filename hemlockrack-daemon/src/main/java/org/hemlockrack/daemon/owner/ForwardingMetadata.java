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
 * Header fields that the instance that received a request adds when it forwards the request to the
 * owner of a backend server.
 *
 * @param backend the backend server to run the request on
 * @param requestId id of the attempt; the server must return it with the answer
 * @param workspace workspace of the caller
 * @param priority priority of the workspace
 * @param kind kind of the request
 * @param firstByteMillis remaining time until the deadline for the first byte of the answer
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

    /**
     * Prefix of the header fields that instances exchange. Fields of callers with this prefix are
     * dropped.
     */
    public static final String PREFIX = "X-Hemlockrack-";

    /** Error kind of a refusal by the owner, as opposed to an answer of the backend server. */
    public static final String REFUSED = PREFIX + "Refused";

    /** Error kind of an attempt that failed after it may have run. */
    public static final String FAILED = PREFIX + "Failed";

    /** Time after which the owner expects a retry to succeed, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = PREFIX + "Retry-After-Ms";

    /** Id of the attempt, which backend servers return with the answer. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** Key that identifies the chat in the cache events of a backend server. */
    public static final String PLACEMENT_KEY = "X-Placement-Key";

    /** Model version to use, for a server that has several versions loaded. */
    public static final String MODEL_VERSION = "X-Model-Version";

    /**
     * Sequence number of the announcement that renewed the lease under which the request was
     * admitted. If the server sent that announcement longer ago than the lease duration, it answers
     * 421 without running the request. This happens if the owner process is paused between its last
     * check of the lease and the send.
     */
    public static final String ADMISSION_SEQUENCE = "X-Admission-Sequence";

    private static final String BACKEND = PREFIX + "Backend";
    private static final String WORKSPACE = PREFIX + "Workspace";
    private static final String PRIORITY = PREFIX + "Priority";
    private static final String KIND = PREFIX + "Kind";
    private static final String FIRST_BYTE_MILLIS = PREFIX + "First-Byte-Ms";
    private static final String WAIT = PREFIX + "Wait";

    /** Returns the header fields that {@link #parse} reads. */
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
     * Returns whether a field is exchanged between instances only.
     *
     * @param field a header field
     * @return true for fields that must be neither accepted from callers nor sent to servers
     */
    public static boolean isInternal(HeaderField field) {
        return field.name().regionMatches(true, 0, PREFIX, 0, PREFIX.length());
    }

    /**
     * Reads the metadata of a forwarded request.
     *
     * @param call the request
     * @return the metadata
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
