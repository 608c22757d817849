package org.hemlockrack.rollout;

import java.util.List;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.rollout.internal.RolloutCodec;

/**
 * Replicated state of one roll-out.
 *
 * @param id log index of the command that started it
 * @param revision log index of its last change; a state with a higher revision is newer
 * @param service the service
 * @param from the version that it replaces
 * @param to the new version of the same model
 * @param deadlineMillis leader time by which all traffic goes to one version
 * @param firstShare share of traffic in stage 1
 * @param completeUnjudged whether it completes even if too few requests were seen to judge the new
 *     version
 * @param author the operator who started it
 * @param startedMillis leader time of its start
 * @param stage number of the stage, see {@link Stages}
 * @param stageSinceMillis leader time at which the stage was entered
 * @param status status
 * @param reason reason why it ended without completion
 * @param detail the reason as text, may be empty
 */
public record Rollout(
        long id,
        long revision,
        ServiceId service,
        ModelVersion from,
        ModelVersion to,
        long deadlineMillis,
        double firstShare,
        boolean completeUnjudged,
        String author,
        long startedMillis,
        int stage,
        long stageSinceMillis,
        RolloutStatus status,
        RolloutReason reason,
        String detail) {
    /** Returns the service and model, for which only one roll-out runs at a time. */
    public RolloutKey key() {
        return new RolloutKey(service, to.model());
    }

    /** Returns the share of traffic for the new version, 0 to 1. */
    public double share() {
        double runningShare = Math.min(Stages.share(stage, firstShare), 1 - Stages.CONTROL_SHARE);
        return status.newVersionShare(runningShare);
    }

    /** Returns whether it is running. */
    public boolean isRunning() {
        return status == RolloutStatus.RUNNING;
    }

    /**
     * Returns a copy at another stage.
     *
     * @param index log index of the change
     * @param timeMillis leader time
     * @param newStage number of the new stage
     * @return the copy
     */
    public Rollout withStage(long index, long timeMillis, int newStage) {
        return new Rollout(
                id,
                index,
                service,
                from,
                to,
                deadlineMillis,
                firstShare,
                completeUnjudged,
                author,
                startedMillis,
                newStage,
                timeMillis,
                status,
                reason,
                detail);
    }

    /**
     * Returns a copy that has ended.
     *
     * @param index log index of the change
     * @param newStatus final status
     * @param newReason the reason
     * @param newDetail the reason as text
     * @return the copy
     */
    public Rollout withEnd(
            long index, RolloutStatus newStatus, RolloutReason newReason, String newDetail) {
        return new Rollout(
                id,
                index,
                service,
                from,
                to,
                deadlineMillis,
                firstShare,
                completeUnjudged,
                author,
                startedMillis,
                stage,
                stageSinceMillis,
                newStatus,
                newReason,
                newDetail);
    }

    /**
     * Encodes roll-outs for other instances.
     *
     * @param rollouts the roll-outs
     * @return the bytes
     */
    public static byte[] encode(List<Rollout> rollouts) {
        return RolloutCodec.encodeRollouts(rollouts);
    }

    /**
     * Decodes roll-outs.
     *
     * @param bytes bytes from {@link #encode}
     * @return the roll-outs
     * @throws HemlockrackException with {@link org.hemlockrack.errors.ErrorKind#BAD_REQUEST} if
     *     they are malformed
     */
    public static List<Rollout> decode(byte[] bytes) {
        return RolloutCodec.decodeRollouts(bytes);
    }
}
