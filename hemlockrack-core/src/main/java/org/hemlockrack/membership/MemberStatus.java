package org.hemlockrack.membership;

/** What a view holds about whether an instance runs. */
public enum MemberStatus {
    ALIVE(true),
    /** Probes failed; not yet confirmed. */
    SUSPECT(true),
    /** Not reachable together with most of its zone, its region or the fleet; kept as it was. */
    UNREACHABLE(true),
    DEAD(false),
    /** Left gracefully. */
    LEFT(false);

    private final boolean mOwns;

    MemberStatus(boolean owns) {
        mOwns = owns;
    }

    /** Returns whether an instance in this status keeps the servers it owns. */
    public boolean owns() {
        return mOwns;
    }

    /** Returns whether the instance is expected to answer. */
    public boolean isReachable() {
        return this == ALIVE || this == SUSPECT;
    }
}
