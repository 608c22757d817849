package org.hemlockrack.rollout;

import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.rollout.internal.RolloutCodec;

/** A command for {@link RolloutState}. */
public sealed interface RolloutCommand {
    /** Returns the id under which a resend gets the first result. */
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
     * @param author who starts it
     * @param service the service
     * @param from the version in use
     * @param to the new version of the same model
     * @param deadlineMillis leader time by which the traffic must have moved
     * @param firstShare share of the first stage, above 0 and at most 1
     * @param completeUnjudged whether it completes if too little traffic was seen to judge it
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
     * Reports that an instance stopped sending to the new version because of a fault.
     *
     * @param requestId request id
     * @param rolloutId the roll-out
     * @param finding the fault
     */
    record ReportFault(String requestId, long rolloutId, Finding finding)
            implements RolloutCommand {}

    /**
     * Reports evidence of an instance.
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
     * Moves on to the next stage.
     *
     * @param requestId request id
     * @param authority authority of the controller
     * @param rolloutId the roll-out
     * @param stage the stage that it moves on from
     */
    record Advance(String requestId, long authority, long rolloutId, int stage)
            implements RolloutCommand {}

    /**
     * Rolls back.
     *
     * @param requestId request id
     * @param authority authority of the controller
     * @param rolloutId the roll-out
     * @param reason the reason
     * @param detail the reason in words
     */
    record RollBack(
            String requestId, long authority, long rolloutId, RolloutReason reason, String detail)
            implements RolloutCommand {}

    /**
     * Stops a roll-out for an operator.
     *
     * @param requestId request id
     * @param author who stops it
     * @param service the service
     * @param model the model
     * @param detail the reason in words, may be empty
     */
    record Stop(String requestId, String author, ServiceId service, String model, String detail)
            implements RolloutCommand {}

    /**
     * Completes a roll-out: all traffic goes to the new version.
     *
     * @param requestId request id
     * @param authority authority of the controller
     * @param rolloutId the roll-out
     */
    record Complete(String requestId, long authority, long rolloutId) implements RolloutCommand {}

    /**
     * Makes the sender the only controller. Its authority number is higher than all before.
     *
     * @param requestId request id
     * @param author the instance
     */
    record AcquireAuthority(String requestId, String author) implements RolloutCommand {}
}
