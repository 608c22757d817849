package org.hemlockrack.rollout.internal;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutSettings;
import org.hemlockrack.rollout.Stages;

/**
 * Decides when a roll-out without a known fault moves on. Stages share the time to the deadline
 * evenly, within bounds. A stage that was not seen enough waits up to the last moment at which the
 * remaining stages still fit, and then moves on only if the version was seen enough altogether.
 */
public final class Pace {
    private final Rollout mRollout;
    private final EvidenceTable mEvidence;
    private final RolloutSettings mSettings;

    /** What to do with a roll-out now. */
    public enum Step {
        WAIT,
        ADVANCE,
        COMPLETE,
        /** The deadline came before enough requests were seen. */
        UNJUDGED,
        /** The deadline came before enough backend servers had loaded the version. */
        NOT_LOADED
    }

    private Pace(Rollout rollout, EvidenceTable evidence, RolloutSettings settings) {
        mRollout = rollout;
        mEvidence = evidence;
        mSettings = settings;
    }

    /**
     * Creates the pace of a roll-out.
     *
     * @param rollout the roll-out
     * @param evidence its evidence
     * @param settings settings
     * @return the pace
     */
    public static Pace of(Rollout rollout, EvidenceTable evidence, RolloutSettings settings) {
        return new Pace(rollout, evidence, settings);
    }

    /**
     * Returns the step to take.
     *
     * @param nowMillis leader time
     * @param loaded whether enough servers have loaded the version for the next stage
     * @return the step
     */
    public Step step(long nowMillis, boolean loaded) {
        if (nowMillis >= mRollout.deadlineMillis()) {
            return atDeadline(loaded);
        }
        if (!loaded || !mayLeave(nowMillis)) {
            return Step.WAIT;
        }
        return mRollout.stage() == Stages.last() ? Step.COMPLETE : Step.ADVANCE;
    }

    private Step atDeadline(boolean loaded) {
        if (!seenEnough()) {
            return Step.UNJUDGED;
        }
        return loaded && mRollout.stage() == Stages.last() ? Step.COMPLETE : Step.NOT_LOADED;
    }

    private boolean mayLeave(long nowMillis) {
        if (mRollout.stage() == 0) {
            return true;
        }
        long sinceMillis = nowMillis - mRollout.stageSinceMillis();
        if (sinceMillis < minStageMillis()) {
            return false;
        }
        boolean last = nowMillis >= lastMomentMillis();
        if (mEvidence.stageRequests() >= mSettings.minStageRequests()) {
            return last || sinceMillis >= dwellMillis();
        }
        return last && seenEnough();
    }

    /** An operator who lets unjudged versions complete accepts that they were not seen. */
    private boolean seenEnough() {
        return mRollout.completeUnjudged() || mEvidence.judged() >= mSettings.minJudgedRequests();
    }

    /** One share of the time is kept in reserve. */
    private long dwellMillis() {
        long remaining = mRollout.deadlineMillis() - mRollout.stageSinceMillis();
        return Math.min(maxStageMillis(), remaining / (stagesLeft() + 1));
    }

    private long lastMomentMillis() {
        return mRollout.deadlineMillis() - (stagesLeft() + 1) * minStageMillis();
    }

    private long stagesLeft() {
        return Stages.last() - mRollout.stage() + 1L;
    }

    private long minStageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mSettings.minStageNanos());
    }

    private long maxStageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mSettings.maxStageNanos());
    }
}
