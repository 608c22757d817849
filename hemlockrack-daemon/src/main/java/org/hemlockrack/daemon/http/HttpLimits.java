package org.hemlockrack.daemon.http;

/**
 * Limits and timeouts of one HTTP port.
 *
 * @param maxBodyBytes maximum size of a request body
 * @param maxHeaderCount maximum number of header fields in a request
 * @param maxHeaderLineBytes maximum length of a header line
 * @param maxConnections maximum number of open connections that are served; some more get an error
 *     response, see {@link #hardMaxConnections()}
 * @param idleTimeoutMillis maximum time without any byte on a connection
 * @param headTimeoutMillis maximum time from the first byte of a request head to its end
 * @param bodyTimeoutMillis maximum time from the end of a request head to the end of the body
 * @param writeTimeoutMillis maximum time in which a client reads no byte of a pending response
 * @param ioThreads number of I/O threads of the reactor
 */
public record HttpLimits(
        int maxBodyBytes,
        int maxHeaderCount,
        int maxHeaderLineBytes,
        int maxConnections,
        long idleTimeoutMillis,
        long headTimeoutMillis,
        long bodyTimeoutMillis,
        long writeTimeoutMillis,
        int ioThreads) {

    /** Minimum number of connections above the limit that still get an error response. */
    private static final int MIN_REFUSED_CONNECTIONS = 16;

    /** Part of the limit that still gets an error response above it. */
    private static final long REFUSED_DIVISOR = 8;

    /** Connections above the hard limit that are open until the I/O threads have closed them. */
    private static final int CLOSING_CONNECTIONS = 8;

    /** Returns limits for a port with external callers. */
    public static HttpLimits defaults() {
        return new HttpLimits(1 << 20, 100, 8 << 10, 10_000, 180_000, 10_000, 30_000, 30_000, 2);
    }

    /** Returns limits for a port with few, internal clients. */
    public static HttpLimits internal() {
        return new HttpLimits(16 << 20, 100, 16 << 10, 10_000, 300_000, 30_000, 60_000, 60_000, 1);
    }

    /**
     * Returns these limits for a port that has few descriptors.
     *
     * @param descriptors most connections, with those that only get an error response
     * @return the limits
     */
    public HttpLimits withinDescriptors(int descriptors) {
        int connections =
                Math.max(
                        1,
                        Math.min(
                                descriptors - MIN_REFUSED_CONNECTIONS,
                                (int) (descriptors * REFUSED_DIVISOR / (REFUSED_DIVISOR + 1))));
        return new HttpLimits(
                maxBodyBytes,
                maxHeaderCount,
                maxHeaderLineBytes,
                Math.min(maxConnections, connections),
                idleTimeoutMillis,
                headTimeoutMillis,
                bodyTimeoutMillis,
                writeTimeoutMillis,
                ioThreads);
    }

    /** Returns the number of connections above which new ones are closed without a response. */
    public int hardMaxConnections() {
        return maxConnections
                + Math.max(MIN_REFUSED_CONNECTIONS, (int) (maxConnections / REFUSED_DIVISOR));
    }

    /** Returns the number of accepted connections above which accepting is delayed. */
    public int maxAcceptedConnections() {
        return hardMaxConnections() + CLOSING_CONNECTIONS;
    }
}
