package org.hemlockrack.model;

/** Priority class of a workspace, declared from the highest to the lowest. */
public enum Priority {
    HIGH(8),
    NORMAL(3),
    LOW(1);

    private final int mShareWeight;

    Priority(int shareWeight) {
        mShareWeight = shareWeight;
    }

    /**
     * Returns the weight that determines the minimum share of this class while requests of higher
     * classes are queued, so that lower classes do not starve.
     */
    public int shareWeight() {
        return mShareWeight;
    }

    /** Returns whether requests of this class are served before those of the other. */
    public boolean isHigherThan(Priority other) {
        return ordinal() < other.ordinal();
    }
}
