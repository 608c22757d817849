package org.hemlockrack.rollout;

import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.rollout.internal.RolloutCodec;

/** A replicated command that {@link RolloutState} applies. */
public sealed interface RolloutCommand {
    /**
     * Returns the idempotency key: a retry with the same id returns the result of the first
     * command. Only a retry of {@link ReportEvidence} is refused as a duplicate.
     */
    String requestId();

    /** Returns the bytes to propose to the replicated log. */
    default byte[] encode() {
        return RolloutCodec.encodeCommand(this);
    }

    /**
     * Decodes a command.
     *
     * @param bytes bytes from {@link #encode}
     * @return the command
     * @throws HemlockrackException with {@link org.hemlockrack.errors.ErrorKind#BAD_REQUEST} if
     *     they are malformed
     */
    static RolloutCommand decode(byte[] bytes) {
        return RolloutCodec.decodeCommand(bytes);
    }

    /**
     * Starts a roll-out.
     *
     * @param requestId request id
     * @param author the operator who starts it
     * @param service the service
     * @param from the version in use
     * @param to the new version of the same model
     * @param deadlineMillis leader time by which all traffic must go to one version
     * @param firstShare share of stage 1, above 0 and at most 1
     * @param completeUnjudged whether it completes even if too few requests were seen to judge the
     *     new version
     */
    record Start(
            String requestId,
            String author,
            ServiceId service,
            ModelVersion from,
            ModelVersion to,
            long deadlineMillis,
            double firstShare,
            boolean completeUnjudged)
            implements RolloutCommand {}

    /**
     * Reports that an instance stopped its traffic to the new version because of a fault.
     *
     * @param requestId request id
     * @param rolloutId the roll-out
     * @param fault the fault
     */
    record ReportFault(String requestId, long rolloutId, DetectedFault fault)
            implements RolloutCommand {}

    /**
     * Reports request statistics of an instance.
     *
     * @param report the report; its instance, incarnation and sequence make it unique
     */
    record ReportEvidence(EvidenceReport report) implements RolloutCommand {
        @Override
        public String requestId() {
            return report.instance() + "/" + report.incarnation() + "/" + report.sequence();
        }
    }

    /**
     * Advances a roll-out to the next stage.
     *
     * @param requestId request id
     * @param authority authority number of the controller
     * @param rolloutId the roll-out
     * @param stage the stage to leave; the command is refused if the roll-out is at another stage
     */
    record Advance(String requestId, long authority, long rolloutId, int stage)
            implements RolloutCommand {}

    /**
     * Rolls back: all traffic goes to the old version.
     *
     * @param requestId request id
     * @param authority authority number of the controller
     * @param rolloutId the roll-out
     * @param reason the reason
     * @param detail the reason as text
     */
    record RollBack(
            String requestId, long authority, long rolloutId, RolloutReason reason, String detail)
            implements RolloutCommand {}

    /**
     * Stops a roll-out at the request of an operator; all traffic goes to the old version.
     *
     * @param requestId request id
     * @param author the operator who stops it
     * @param service the service
     * @param model the model
     * @param detail the reason as text, may be empty
     */
    record Stop(String requestId, String author, ServiceId service, String model, String detail)
            implements RolloutCommand {}

    /**
     * Completes a roll-out: all traffic goes to the new version.
     *
     * @param requestId request id
     * @param authority authority number of the controller
     * @param rolloutId the roll-out
     */
    record Complete(String requestId, long authority, long rolloutId) implements RolloutCommand {}

    /**
     * Makes the sender the current controller by assigning it a new authority number (controller
     * epoch), which is higher than all earlier ones.
     *
     * @param requestId request id
     * @param author the instance that becomes the controller
     */
    record AcquireAuthority(String requestId, String author) implements RolloutCommand {}
}
