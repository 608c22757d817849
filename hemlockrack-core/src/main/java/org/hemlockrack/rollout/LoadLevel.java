package org.hemlockrack.rollout;

/** Load of a backend server when it was given a request. */
public enum LoadLevel {
    LOW(0.4),
    MEDIUM(0.75),
    HIGH(Double.POSITIVE_INFINITY);

    private final double mBelow;

    LoadLevel(double below) {
        mBelow = below;
    }

    /**
     * Returns the level of a load.
     *
     * @param load requests in flight divided by the limit of the server
     * @return the level
     */
    public static LoadLevel of(double load) {
        for (LoadLevel level : values()) {
            if (load < level.mBelow) {
                return level;
            }
        }
        return HIGH;
    }
}
