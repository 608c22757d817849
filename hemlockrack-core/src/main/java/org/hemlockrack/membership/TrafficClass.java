package org.hemlockrack.membership;

/** Priority classes of control traffic, most important first. */
public enum TrafficClass {
    /**
     * Probes and acknowledgements without rumors. They precede urgent rumors because an instance
     * that cannot answer probes is suspected, which causes more urgent rumors.
     */
    PROBE(0),
    /** Loss of service, evacuation and return of a zone, rollback. */
    URGENT(25),
    /** Configuration versions. */
    CONFIG(30),
    /** Owner changes, member and server state, and anti-entropy. */
    STATE(35),
    /**
     * Loads of backend servers. The difference to the reserve of STATE leaves room for one message
     * with entries: with a reserve of 50%, the loads in a reply left no budget for the entries that
     * a restarted instance had requested.
     */
    LOAD(75),
    /** Cache events. */
    CACHE(80);

    private final int mReservePercent;

    TrafficClass(int reservePercent) {
        mReservePercent = reservePercent;
    }

    /**
     * Returns the part of the burst that this class leaves to more important classes.
     *
     * @param burstBytes size of the token bucket
     * @return bytes that stay in the bucket after a charge of this class
     */
    public long reserveBytes(long burstBytes) {
        return burstBytes * mReservePercent / 100;
    }
}
