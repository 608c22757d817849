package org.hemlockrack.rollout;

import java.util.List;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;

/** Input events of {@link EvidenceCollector}. */
public sealed interface EvidenceEvent {
    /**
     * New states of some or all replicated roll-outs arrived.
     *
     * @param rollouts the roll-outs; states older than the known ones are ignored
     */
    record RolloutsLearned(List<Rollout> rollouts) implements EvidenceEvent {
        /** Copies the list. */
        public RolloutsLearned {
            rollouts = List.copyOf(rollouts);
        }
    }

    /**
     * A backend server returned the first token of a request.
     *
     * @param service the service
     * @param version the model version that answered
     * @param segment the traffic segment of the request
     * @param level load level of the backend server when the request was dispatched
     * @param firstTokenNanos time from dispatch to the first token
     */
    record RequestAnswered(
            ServiceId service,
            ModelVersion version,
            TrafficSegment segment,
            LoadLevel level,
            long firstTokenNanos)
            implements EvidenceEvent {}

    /**
     * A request failed at the backend server. Rejections for lack of capacity are not failures.
     *
     * @param service the service
     * @param version the model version that failed
     * @param segment the traffic segment of the request
     * @param level load level of the backend server when the request was dispatched
     */
    record RequestFailed(
            ServiceId service, ModelVersion version, TrafficSegment segment, LoadLevel level)
            implements EvidenceEvent {}

    /**
     * A proposed report was applied or permanently rejected, so it is not retried any more.
     *
     * @param requestId request id of the command
     */
    record ReportEnded(String requestId) implements EvidenceEvent {}
}
