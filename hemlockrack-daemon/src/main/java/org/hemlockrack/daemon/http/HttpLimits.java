package org.hemlockrack.daemon.http;

/**
 * Bounds on what clients of one port can use.
 *
 * @param maxBodyBytes largest request body
 * @param maxHeaderCount most header fields in a request
 * @param maxHeaderLineBytes longest header line
 * @param maxConnections most open connections
 * @param idleTimeoutMillis longest time without any byte on a connection
 * @param headTimeoutMillis longest time from a connection's first byte to a complete request head
 * @param ioThreads threads of the reactor
 */
public record HttpLimits(
        int maxBodyBytes,
        int maxHeaderCount,
        int maxHeaderLineBytes,
        int maxConnections,
        long idleTimeoutMillis,
        long headTimeoutMillis,
        int ioThreads) {

    /** Limits for a port that callers reach. */
    public static HttpLimits defaults() {
        return new HttpLimits(1 << 20, 100, 8 << 10, 10_000, 180_000, 10_000, 2);
    }

    /** Limits for ports with few clients. */
    public static HttpLimits internal() {
        return new HttpLimits(16 << 20, 100, 16 << 10, 10_000, 300_000, 30_000, 1);
    }
}
