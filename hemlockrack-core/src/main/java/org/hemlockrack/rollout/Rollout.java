package org.hemlockrack.rollout;

import java.util.List;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.rollout.internal.RolloutCodec;

/**
 * One roll-out as the replicated state has it.
 *
 * @param id log index of its start
 * @param revision log index of its last change; a higher one is newer
 * @param service the service
 * @param from the version that it replaces
 * @param to the new version of the same model
 * @param deadlineMillis leader time by which all traffic goes to one version
 * @param firstShare share of traffic in the first stage
 * @param completeUnjudged whether it completes if too little traffic was seen to judge it
 * @param author who started it
 * @param startedMillis leader time of its start
 * @param stage number of the share stage
 * @param stageSinceMillis leader time at which the stage was entered
 * @param status status
 * @param reason why it ended without completion
 * @param detail the reason in words, may be empty
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
    /** Returns what no other roll-out may change at the same time. */
    public RolloutKey key() {
        return new RolloutKey(service, to.model());
    }

    /** Returns the share of traffic that the new version may get, 0 to 1. */
    public double share() {
        double running = Math.min(Stages.share(stage, firstShare), 1 - Stages.CONTROL_SHARE);
        return status.share(running);
    }

    /** Returns whether it is running. */
    public boolean isRunning() {
        return status == RolloutStatus.RUNNING;
    }

    /**
     * Returns the roll-out at another stage.
     *
     * @param index log index of the change
     * @param timeMillis leader time
     * @param next number of the stage
     * @return the roll-out
     */
    public Rollout atStage(long index, long timeMillis, int next) {
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
                next,
                timeMillis,
                status,
                reason,
                detail);
    }

    /**
     * Returns the roll-out after its end.
     *
     * @param index log index of the change
     * @param end status
     * @param why the reason
     * @param words the reason in words
     * @return the roll-out
     */
    public Rollout ended(long index, RolloutStatus end, RolloutReason why, String words) {
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
                end,
                why,
                words);
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
