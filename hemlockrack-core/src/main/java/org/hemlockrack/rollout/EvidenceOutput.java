package org.hemlockrack.rollout;

/** Actions that {@link EvidenceCollector} requests. */
public sealed interface EvidenceOutput {
    /**
     * This instance stopped sending requests to the new version; the traffic split is updated
     * already.
     *
     * @param rollout the roll-out
     * @param fault the fault
     */
    record LocallyStopped(Rollout rollout, DetectedFault fault) implements EvidenceOutput {}

    /**
     * Propose a report to the leader. A report of statistics is requested again until {@link
     * EvidenceEvent.ReportEnded} arrives, a report of a fault until the roll-out has ended.
     *
     * @param command the command
     * @param urgent whether it reports a fault and has priority over other control traffic
     */
    record ProposeReport(RolloutCommand command, boolean urgent) implements EvidenceOutput {}
}
