package org.hemlockrack.rollout;

/** Reason why a roll-out ended without completion. */
public enum RolloutReason {
    NONE,
    /** The new version fails more often than the old one. */
    ERRORS,
    /** The new version takes longer to the first token than the old one. */
    SLOW,
    /** The new version had too few requests to be judged by the deadline. */
    UNJUDGED,
    /** Too few backend servers had loaded the new version by the deadline. */
    NOT_LOADED,
    /** An operator stopped the roll-out. */
    OPERATOR;

    /** Returns whether the reason is a fault of the new version. */
    public boolean isFault() {
        return this == ERRORS || this == SLOW;
    }
}
