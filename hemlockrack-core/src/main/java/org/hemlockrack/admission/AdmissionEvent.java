package org.hemlockrack.admission;

import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/** Input of {@link Admission}. Times are monotonic nanoseconds of the owner's process. */
public sealed interface AdmissionEvent {
    /**
     * A request arrived. An id that is already queued or in flight is ignored.
     *
     * @param requestId the id, unique among queued and dispatched requests
     * @param workspace the workspace
     * @param priority its priority class
     * @param kind the kind of request
     * @param deadlineNanos time by which the first token must arrive
     * @param waitMode whether it may be queued
     * @param promptTokens length of the prompt, 0 if not known
     */
    record Arrived(
            String requestId,
            WorkspaceId workspace,
            Priority priority,
            RequestKind kind,
            long deadlineNanos,
            WaitMode waitMode,
            int promptTokens)
            implements AdmissionEvent {}

    /**
     * The first token of the answer to a dispatched request was received.
     *
     * @param requestId the request
     * @param ttftNanos time from dispatch to first token
     */
    record FirstToken(String requestId, long ttftNanos) implements AdmissionEvent {}

    /**
     * A dispatched request ended; it no longer counts as in flight.
     *
     * @param requestId the request
     * @param outcome how it ended
     * @param ttftNanos time from dispatch to first token, negative if there was none
     */
    record Finished(String requestId, RequestOutcome outcome, long ttftNanos)
            implements AdmissionEvent {}

    /**
     * The caller disconnected. A queued request is dropped without an output. A dispatched request
     * counts as in flight until {@link Finished}, because the backend server still processes it.
     *
     * @param requestId the request
     */
    record Cancelled(String requestId) implements AdmissionEvent {}

    /**
     * The backend server announced itself to this instance.
     *
     * @param incarnation increases with each start of the backend server
     * @param statedLimit maximum number of requests it handles concurrently
     * @param inFlight number of requests it is processing
     * @param state whether it accepts new requests
     * @param sequence increases with each announcement of the incarnation, to any instance
     * @param previous its last contact with another instance
     * @param echo the last acknowledgement it received from this instance, null if none
     */
    record Announced(
            long incarnation,
            int statedLimit,
            int inFlight,
            AnnouncedState state,
            long sequence,
            PreviousOwner previous,
            @Nullable LeaseEcho echo)
            implements AdmissionEvent {}

    /**
     * The cache of the backend server was emptied.
     *
     * @param incarnation incarnation that reported it
     */
    record CacheCleared(long incarnation) implements AdmissionEvent {}

    /**
     * The load of the service, aggregated over its backend servers.
     *
     * @param meanInFlight mean number of requests in flight per backend server
     * @param ageNanos age of the oldest report in the mean
     */
    record LoadSummary(double meanInFlight, long ageNanos) implements AdmissionEvent {}

    /** The availability zone of the backend server was evacuated. */
    record ZoneEvacuated() implements AdmissionEvent {}

    /** The availability zone of the backend server was restored to service. */
    record ZoneRestored() implements AdmissionEvent {}

    /**
     * Another owner handed over the backend server.
     *
     * @param message its message
     */
    record HandoverReceived(HandoverMessage message) implements AdmissionEvent {}

    /**
     * This owner must release the lease and hand over, for example before its process shuts down.
     *
     * @param to the next owner
     */
    record HandoverOrdered(InstanceId to) implements AdmissionEvent {}

    /**
     * The settings changed.
     *
     * @param settings the new settings
     */
    record SettingsChanged(AdmissionSettings settings) implements AdmissionEvent {}
}
