package org.hemlockrack.rollout;

import java.util.List;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;

/** What {@link EvidenceCollector} reacts to. */
public sealed interface EvidenceEvent {
    /**
     * The replicated roll-outs, or some of them, were learned.
     *
     * @param rollouts the roll-outs; older states than known ones are ignored
     */
    record RolloutsLearned(List<Rollout> rollouts) implements EvidenceEvent {
        /** Copies the list. */
        public RolloutsLearned {
            rollouts = List.copyOf(rollouts);
        }
    }

    /**
     * A request got its first token.
     *
     * @param service the service
     * @param version the version that answered
     * @param route the route
     * @param level load level of the backend server when it was given the request
     * @param firstTokenNanos time from there to the first token
     */
    record RequestAnswered(
            ServiceId service,
            ModelVersion version,
            TrafficSegment route,
            LoadLevel level,
            long firstTokenNanos)
            implements EvidenceEvent {}

    /**
     * A request failed at the backend server; refusals for lack of capacity do not count.
     *
     * @param service the service
     * @param version the version that failed
     * @param route the route
     * @param level load level of the backend server when it was given the request
     */
    record RequestFailed(
            ServiceId service, ModelVersion version, TrafficSegment route, LoadLevel level)
            implements EvidenceEvent {}

    /**
     * A proposed report is in the replicated log, or was refused for good.
     *
     * @param requestId request id of the command
     */
    record ReportEnded(String requestId) implements EvidenceEvent {}
}
