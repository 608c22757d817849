package org.hemlockrack.daemon.http;

/**
 * Bounds on what clients of one port can use.
 *
 * @param maxBodyBytes largest request body
 * @param maxHeaderCount most header fields in a request
 * @param maxHeaderLineBytes longest header line
 * @param maxConnections most open connections that are served; a margin above gets a refusal
 * @param idleTimeoutMillis longest time without any byte on a connection
 * @param headTimeoutMillis longest time from the first byte of a request head to its end
 * @param bodyTimeoutMillis longest time from the end of a request head to the end of the body
 * @param writeTimeoutMillis longest time in which a client takes no byte of a waiting answer
 * @param ioThreads threads of the reactor
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

    /** Connections above the limit that still get a refusal; the rest is closed at once. */
    private static final int MIN_REFUSED_CONNECTIONS = 16;

    /** Limits for a port that callers reach. */
    public static HttpLimits defaults() {
        return new HttpLimits(1 << 20, 100, 8 << 10, 10_000, 180_000, 10_000, 30_000, 30_000, 2);
    }

    /** Limits for ports with few clients. */
    public static HttpLimits internal() {
        return new HttpLimits(16 << 20, 100, 16 << 10, 10_000, 300_000, 30_000, 60_000, 60_000, 1);
    }

    /** Returns the number of connections above which new ones are closed without an answer. */
    public int hardMaxConnections() {
        return maxConnections + Math.max(MIN_REFUSED_CONNECTIONS, maxConnections / 8);
    }
}
