package org.hemlockrack.rollout;

/** Status of a roll-out. */
public enum RolloutStatus {
    RUNNING,
    /** All traffic goes to the new version. */
    COMPLETED,
    /** All traffic goes to the old version, because of a fault or at the deadline. */
    ROLLED_BACK,
    /** All traffic goes to the old version, because an operator stopped the roll-out. */
    STOPPED;

    /**
     * Returns the share of traffic for the new version.
     *
     * @param stageShare share of the current stage
     * @return the share, 0 to 1
     */
    public double newVersionShare(double stageShare) {
        return switch (this) {
            case RUNNING -> stageShare;
            case COMPLETED -> 1;
            case ROLLED_BACK, STOPPED -> 0;
        };
    }
}
