package org.hemlockrack.rollout;

/** Status of a roll-out. */
public enum RolloutStatus {
    RUNNING,
    /** All traffic goes to the new version. */
    COMPLETED,
    /** All traffic goes to the old version, because of a fault or at the deadline. */
    ROLLED_BACK,
    /** All traffic goes to the old version, because an operator said so. */
    STOPPED;

    /**
     * Returns the share of traffic that the new version may get.
     *
     * @param stageShare share of the stage
     * @return the share, 0 to 1
     */
    public double share(double stageShare) {
        return switch (this) {
            case RUNNING -> stageShare;
            case COMPLETED -> 1;
            case ROLLED_BACK, STOPPED -> 0;
        };
    }
}
