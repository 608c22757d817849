package org.hemlockrack.membership;

/** Priority classes of control traffic, most important first. */
public enum TrafficClass {
    /**
     * Probes and their answers without news. They come before urgent news because an instance that
     * cannot answer probes is suspected, which makes more urgent news.
     */
    PROBE(0),
    /** Loss of service, zone out and in, rollback. */
    URGENT(25),
    /** Configuration numbers. */
    CONFIG(30),
    /** Owner changes, member and server state, and anti-entropy. */
    STATE(35),
    /**
     * Load summaries. The distance to STATE holds one message with entries: at 50% the loads in an
     * answer left no budget for the entries that a restarted instance had asked for.
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
