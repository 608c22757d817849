package org.hemlockrack.daemon.settings;

/**
 * What the descriptors of a process are for. The shares of a role leave some for its files and for
 * its connections to other instances, so that no port can take the descriptors of another.
 */
public enum DescriptorShare {
    /** Connections to the callers' port of a gateway. */
    GATEWAY_CALLERS(6),
    /** Connections to the pages of a gateway. */
    GATEWAY_PAGES(1),
    /**
     * Requests in progress on a gateway. Each has at most one connection to a server, and there are
     * no more idle ones.
     */
    GATEWAY_REQUESTS(4),
    /** Connections to the control port of a controller. */
    CONTROL(6),
    /** Connections to the peer port of a controller. */
    CONTROLLER_PEERS(6),
    /** Connections to the callers' port of an instance of the full role. */
    CALLERS(5),
    /** Connections to its internal port. */
    INTERNAL(2),
    /** Connections to its operators' port. */
    OPERATORS(1),
    /** Connections to its peer port. */
    PEERS(4);

    private static final int WHOLE = 16;

    /** Descriptors for files, class archives, listening ports and connections to be closed. */
    private static final long RESERVED = 200;

    /** Part of few descriptors that is reserved. */
    private static final long RESERVED_DIVISOR = 4;

    private final int mSixteenths;

    DescriptorShare(int sixteenths) {
        mSixteenths = sixteenths;
    }

    /**
     * Returns the descriptors for this purpose.
     *
     * @param all descriptors that the process may open
     * @return at least 1
     */
    public int of(long all) {
        long shared = all - Math.min(RESERVED, all / RESERVED_DIVISOR);
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, shared / WHOLE * mSixteenths));
    }
}
