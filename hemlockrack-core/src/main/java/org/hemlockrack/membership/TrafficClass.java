package org.hemlockrack.membership;

/** Priority classes of control traffic, most important first. */
public enum TrafficClass {
    /** Loss of service, zone out and in, rollback, and the probes that detect a loss. */
    URGENT(0),
    /** Configuration numbers. */
    CONFIG(10),
    /** Owner changes, member and server state, and anti-entropy. */
    STATE(25),
    /** Load summaries. */
    LOAD(45),
    /** Cache events. */
    CACHE(60);

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
