package org.hemlockrack.rollout;

/**
 * Stages of a roll-out, each with a share of traffic for the new version. In stage 0 the new
 * version receives no traffic while the first backend servers load it.
 */
public final class Stages {
    /** Share of traffic in stage 1 unless the operator sets another. */
    public static final double DEFAULT_FIRST_SHARE = 0.05;

    /**
     * Share of traffic that stays on the old version as a control group until the roll-out
     * completes. Without a control group in the last stage, an incident that affects both versions
     * would look like a fault of the new one.
     */
    public static final double CONTROL_SHARE = 0.05;

    private static final double[] SHARES = {0, 0, 0.10, 0.25, 0.50, 1.0};

    private Stages() {}

    /** Returns the number of stages. */
    public static int count() {
        return SHARES.length;
    }

    /** Returns the number of the last stage. */
    public static int last() {
        return SHARES.length - 1;
    }

    /**
     * Returns the share of traffic in a stage.
     *
     * @param stage number of the stage, from 0
     * @param firstShare share of stage 1; later stages never go below it
     * @return the share, 0 to 1
     */
    public static double share(int stage, double firstShare) {
        return stage == 0 ? 0 : Math.max(firstShare, SHARES[stage]);
    }

    /**
     * Returns whether a number is a valid stage number.
     *
     * @param stage the number
     * @return true if it is
     */
    public static boolean isValid(int stage) {
        return stage >= 0 && stage <= last();
    }
}
