package org.hemlockrack.rollout;

/** Why a roll-out ended without completion. */
public enum RolloutReason {
    NONE,
    /** The new version fails more often than the old one. */
    ERRORS,
    /** The new version takes longer to the first token than the old one. */
    SLOW,
    /** Too few requests were seen to judge the new version by the deadline. */
    UNJUDGED,
    /** Too few backend servers had loaded the new version by the deadline. */
    NOT_LOADED,
    /** An operator stopped the roll-out. */
    OPERATOR;

    /** Returns whether the reason is a fault of the new version. */
    public boolean fault() {
        return this == ERRORS || this == SLOW;
    }
}
