package org.hemlockrack.membership;

/** Liveness of an instance in a membership view. */
public enum MemberStatus {
    ALIVE(true),
    /** Probes failed, but the death is not confirmed yet. */
    SUSPECT(true),
    /**
     * Not reachable together with most of its zone, its region or the fleet, which indicates a
     * network partition. It keeps its ownership.
     */
    UNREACHABLE(true),
    DEAD(false),
    /** Left gracefully. */
    LEFT(false);

    private final boolean mKeepsOwnership;

    MemberStatus(boolean keepsOwnership) {
        mKeepsOwnership = keepsOwnership;
    }

    /** Returns whether an instance in this status keeps the backend servers that it owns. */
    public boolean keepsOwnership() {
        return mKeepsOwnership;
    }

    /** Returns whether the instance is expected to answer. */
    public boolean isReachable() {
        return this == ALIVE || this == SUSPECT;
    }
}
