package org.hemlockrack.admission;

import org.hemlockrack.errors.ErrorKind;

/** Decisions of {@link Admission}. */
public sealed interface AdmissionOutput {
    /**
     * Send the request to the backend server.
     *
     * @param requestId the request
     * @param validUntilNanos end of the ownership lease; if it has passed when the first byte is
     *     about to be written, the request must not be sent and is refused with {@code NOT_OWNER}
     */
    record Dispatch(String requestId, long validUntilNanos) implements AdmissionOutput {}

    /**
     * Refuse the request; it was not dispatched.
     *
     * @param requestId the request
     * @param kind a kind whose run state is {@code NOT_RUN}
     * @param retryAfterNanos estimated time until a retry here can succeed, 0 if it should be
     *     retried at another server at once
     */
    record Refuse(String requestId, ErrorKind kind, long retryAfterNanos)
            implements AdmissionOutput {}

    /**
     * The limit changed.
     *
     * @param limit maximum number of requests in flight
     * @param reason cause of the change
     */
    record LimitChanged(int limit, LimitReason reason) implements AdmissionOutput {}

    /**
     * This instance acquired or lost the ownership lease.
     *
     * @param owner whether it holds the lease now
     */
    record OwnershipChanged(boolean owner) implements AdmissionOutput {}

    /**
     * Send this message to the next owner.
     *
     * @param message the message
     */
    record Handover(HandoverMessage message) implements AdmissionOutput {}

    /**
     * Answer the announcement. The backend server returns the values in {@link LeaseEcho}.
     *
     * @param sequence sequence number of the announcement
     * @param ownerEpoch identifies the process of this owner
     * @param ownerNanos monotonic time of the acknowledgement
     */
    record Acknowledge(long sequence, long ownerEpoch, long ownerNanos)
            implements AdmissionOutput {}
}
