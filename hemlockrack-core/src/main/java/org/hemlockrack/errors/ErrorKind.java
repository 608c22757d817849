package org.hemlockrack.errors;

/**
 * All kinds of errors. A kind determines the HTTP status, the stated run state and the retry advice
 * that a caller receives.
 */
public enum ErrorKind {
    BAD_REQUEST(400, RunState.NOT_RUN, false),
    UNAUTHENTICATED(401, RunState.NOT_RUN, false),
    FORBIDDEN(403, RunState.NOT_RUN, false),
    NOT_FOUND(404, RunState.NOT_RUN, false),
    METHOD_NOT_ALLOWED(405, RunState.NOT_RUN, false),
    REQUEST_TIMEOUT(408, RunState.NOT_RUN, true),
    /** Another attempt holds the claim on the idempotency key; its outcome is not known. */
    KEY_IN_PROGRESS(409, RunState.UNKNOWN, true),
    STALE_FENCE(409, RunState.NOT_RUN, false),
    VERSION_CONFLICT(412, RunState.NOT_RUN, false),
    BODY_TOO_LARGE(413, RunState.NOT_RUN, false),
    NOT_OWNER(421, RunState.NOT_RUN, true),
    CONFIG_INVALID(422, RunState.NOT_RUN, false),
    /** The idempotency key was used before with another request body. */
    KEY_REUSED(422, RunState.NOT_RUN, false),
    PRECONDITION_REQUIRED(428, RunState.NOT_RUN, false),
    RATE_LIMITED(429, RunState.NOT_RUN, true),
    HEADERS_TOO_LARGE(431, RunState.NOT_RUN, false),
    INTERNAL(500, RunState.UNKNOWN, false),
    STORAGE_DAMAGED(500, RunState.NOT_RUN, false),
    /** The files cannot be written or read now; a later try can succeed. */
    STORAGE_FAILED(500, RunState.UNKNOWN, false),
    SETTINGS_INVALID(500, RunState.NOT_RUN, false),
    BACKEND_FAILED(502, RunState.UNKNOWN, false),
    ANSWER_MISMATCH(502, RunState.UNKNOWN, false),
    OUTCOME_UNKNOWN(502, RunState.UNKNOWN, false),
    NO_BACKEND(503, RunState.NOT_RUN, true),
    OVERLOADED(503, RunState.NOT_RUN, true),
    DEADLINE_UNREACHABLE(503, RunState.NOT_RUN, true),
    NO_QUORUM(503, RunState.NOT_RUN, true),
    NOT_READY(503, RunState.NOT_RUN, true),
    /** A part of the prompt crashes the backend servers that answer on it. */
    PROMPT_HELD(503, RunState.NOT_RUN, true),
    BACKEND_TIMEOUT(504, RunState.UNKNOWN, false);

    private final int mHttpStatus;
    private final RunState mRunState;
    private final boolean mRetryable;

    ErrorKind(int httpStatus, RunState runState, boolean retryable) {
        mHttpStatus = httpStatus;
        mRunState = runState;
        mRetryable = retryable;
    }

    /** Returns the HTTP status of the answer. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns what the answer states about whether the request took effect. */
    public RunState runState() {
        return mRunState;
    }

    /** Returns whether a later retry of the same request can succeed. */
    public boolean isRetryable() {
        return mRetryable;
    }
}
