package org.hemlockrack.admission;

import org.hemlockrack.errors.ErrorKind;

/** What {@link Admission} decides. */
public sealed interface AdmissionOutput {
    /**
     * Send the request to the backend server.
     *
     * @param requestId the request
     * @param validUntilNanos the right to admit ends then; if it has passed when the first byte is
     *     about to be written, the request must not be sent and is refused with {@code NOT_OWNER}
     */
    record Dispatch(String requestId, long validUntilNanos) implements AdmissionOutput {}

    /**
     * Refuse the request; it was not dispatched.
     *
     * @param requestId the request
     * @param kind a kind whose run state is {@code NOT_RUN}
     * @param retryAfterNanos when a new attempt here can succeed, 0 if elsewhere at once
     */
    record Refuse(String requestId, ErrorKind kind, long retryAfterNanos)
            implements AdmissionOutput {}

    /**
     * The limit changed.
     *
     * @param limit most requests in flight at once
     * @param reason why
     */
    record LimitChanged(int limit, LimitReason reason) implements AdmissionOutput {}

    /**
     * The right to admit began or ended.
     *
     * @param owner whether this instance may admit now
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
     * @param sequence the announcement
     * @param ownerEpoch process of this owner
     * @param ownerNanos time of the acknowledgement
     */
    record Acknowledge(long sequence, long ownerEpoch, long ownerNanos)
            implements AdmissionOutput {}
}
