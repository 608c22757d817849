package org.hemlockrack.model;

/** Priority class of a workspace; the declaration order is the order of service. */
public enum Priority {
    HIGH(8),
    NORMAL(3),
    LOW(1);

    private final int mShareWeight;

    Priority(int shareWeight) {
        mShareWeight = shareWeight;
    }

    /** Returns the weight that guarantees lower classes a minimum share while higher ones wait. */
    public int shareWeight() {
        return mShareWeight;
    }

    /** Returns whether this class is served before the other. */
    public boolean isHigherThan(Priority other) {
        return ordinal() < other.ordinal();
    }
}
