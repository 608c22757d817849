package org.hemlockrack.rollout.internal;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutSettings;
import org.hemlockrack.rollout.Stages;

/**
 * Decides when a roll-out without a detected fault advances. The time until the deadline is divided
 * evenly among the stages, within bounds. A stage with too few requests waits until the latest time
 * at which the remaining stages still fit, and then advances only if the new version has received
 * enough requests in all stages together.
 */
public final class StagePolicy {
    private final Rollout mRollout;
    private final EvidenceTable mEvidence;
    private final RolloutSettings mSettings;

    /** What to do with a roll-out now. */
    public enum Step {
        WAIT,
        ADVANCE,
        COMPLETE,
        /** The deadline was reached before the new version had enough requests. */
        UNJUDGED,
        /** The deadline was reached before enough backend servers had loaded the version. */
        NOT_LOADED
    }

    private StagePolicy(Rollout rollout, EvidenceTable evidence, RolloutSettings settings) {
        mRollout = rollout;
        mEvidence = evidence;
        mSettings = settings;
    }

    /**
     * Creates the policy for a roll-out.
     *
     * @param rollout the roll-out
     * @param evidence its request statistics
     * @param settings settings
     * @return the policy
     */
    public static StagePolicy of(
            Rollout rollout, EvidenceTable evidence, RolloutSettings settings) {
        return new StagePolicy(rollout, evidence, settings);
    }

    /**
     * Returns the step to take.
     *
     * @param nowMillis leader time
     * @param loaded whether enough servers have loaded the version for the next stage
     * @return the step
     */
    public Step nextStep(long nowMillis, boolean loaded) {
        if (nowMillis >= mRollout.deadlineMillis()) {
            return stepAtDeadline(loaded);
        }
        if (!loaded || !canLeaveStage(nowMillis)) {
            return Step.WAIT;
        }
        return mRollout.stage() == Stages.last() ? Step.COMPLETE : Step.ADVANCE;
    }

    private Step stepAtDeadline(boolean loaded) {
        if (!hasEnoughRequests()) {
            return Step.UNJUDGED;
        }
        return loaded && mRollout.stage() == Stages.last() ? Step.COMPLETE : Step.NOT_LOADED;
    }

    private boolean canLeaveStage(long nowMillis) {
        if (mRollout.stage() == 0) {
            return true;
        }
        long elapsedMillis = nowMillis - mRollout.stageSinceMillis();
        if (elapsedMillis < minStageMillis()) {
            return false;
        }
        boolean mustAdvance = nowMillis >= latestAdvanceMillis();
        if (mEvidence.stageRequests() >= mSettings.minStageRequests()) {
            return mustAdvance || elapsedMillis >= targetStageMillis();
        }
        return mustAdvance && hasEnoughRequests();
    }

    /** With {@code completeUnjudged} the operator waives the minimum number of requests. */
    private boolean hasEnoughRequests() {
        return mRollout.completeUnjudged()
                || mEvidence.judgedRequests() >= mSettings.minJudgedRequests();
    }

    /**
     * Returns the time for the current stage. The remaining time is divided by one more than the
     * number of remaining stages to keep a reserve.
     */
    private long targetStageMillis() {
        long remainingMillis = mRollout.deadlineMillis() - mRollout.stageSinceMillis();
        return Math.min(maxStageMillis(), remainingMillis / (remainingStages() + 1));
    }

    private long latestAdvanceMillis() {
        return mRollout.deadlineMillis() - (remainingStages() + 1) * minStageMillis();
    }

    private long remainingStages() {
        return Stages.last() - mRollout.stage() + 1L;
    }

    private long minStageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mSettings.minStageNanos());
    }

    private long maxStageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mSettings.maxStageNanos());
    }
}
