package org.hemlockrack.admission;

import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/** What {@link Admission} reacts to. Times are monotonic nanoseconds of the owner's process. */
public sealed interface AdmissionEvent {
    /**
     * A request arrived. An id that is already queued or in flight is ignored.
     *
     * @param requestId the id, unique among open requests
     * @param workspace the workspace
     * @param priority its class
     * @param kind the kind of request
     * @param deadlineNanos latest useful time of the first token
     * @param waitMode whether it may queue
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
     * The first token of a dispatched request was seen.
     *
     * @param requestId the request
     * @param ttftNanos time from dispatch to first token
     */
    record FirstToken(String requestId, long ttftNanos) implements AdmissionEvent {}

    /**
     * A dispatched request ended. It frees the place of the request.
     *
     * @param requestId the request
     * @param outcome how it ended
     * @param ttftNanos time from dispatch to first token, negative if there was none
     */
    record Finished(String requestId, RequestOutcome outcome, long ttftNanos)
            implements AdmissionEvent {}

    /**
     * The caller went away. A queued request is dropped without an output. A dispatched request
     * keeps its place until {@link Finished}, because the backend server still works on it.
     *
     * @param requestId the request
     */
    record Cancelled(String requestId) implements AdmissionEvent {}

    /**
     * The backend server announced itself to this instance.
     *
     * @param incarnation rises with each start of the backend server
     * @param statedLimit most requests it handles at once
     * @param inFlight requests it is working on
     * @param state whether it takes new work
     * @param sequence rises with each announcement of the incarnation, to any instance
     * @param previous its last contact with another instance
     * @param echo the last acknowledgement it got from this instance, null if none
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
     * A load summary of the service.
     *
     * @param meanInFlight mean requests in flight per backend server
     * @param ageNanos age of the oldest report in the mean
     */
    record LoadSummary(double meanInFlight, long ageNanos) implements AdmissionEvent {}

    /** The availability zone of the backend server was taken out of service. */
    record ZoneEvacuated() implements AdmissionEvent {}

    /** The availability zone of the backend server is in service again. */
    record ZoneRestored() implements AdmissionEvent {}

    /**
     * Another owner stopped admitting.
     *
     * @param message its message
     */
    record HandoverReceived(HandoverMessage message) implements AdmissionEvent {}

    /**
     * This owner must stop and hand over, for instance before its process shuts down.
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
