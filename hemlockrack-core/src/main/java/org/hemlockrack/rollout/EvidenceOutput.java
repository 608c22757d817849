package org.hemlockrack.rollout;

/** What {@link EvidenceCollector} wants done. */
public sealed interface EvidenceOutput {
    /**
     * The instance stopped sending to the new version; the gate is closed already.
     *
     * @param rollout the roll-out
     * @param fault the fault
     */
    record LocallyStopped(Rollout rollout, Finding fault) implements EvidenceOutput {}

    /**
     * A command must be proposed to the leader. It is repeated until it has ended.
     *
     * @param command the command
     * @param urgent whether it is about a fault and comes before other control traffic
     */
    record ProposeReport(RolloutCommand command, boolean urgent) implements EvidenceOutput {}
}
