package org.hemlockrack.rollout;

/** Load of a backend server at the time when a request was dispatched to it. */
public enum LoadLevel {
    LOW(0.4),
    MEDIUM(0.75),
    HIGH(Double.POSITIVE_INFINITY);

    private final double mUpperBound;

    LoadLevel(double upperBound) {
        mUpperBound = upperBound;
    }

    /**
     * Returns the level of a load.
     *
     * @param load requests in flight divided by the limit of the server
     * @return the level
     */
    public static LoadLevel of(double load) {
        for (LoadLevel level : values()) {
            if (load < level.mUpperBound) {
                return level;
            }
        }
        return HIGH;
    }
}
