package org.hemlockrack.limits;

/**
 * A limit on what all instances together may do in any window of a length.
 *
 * @param slack permits in one window without any request
 * @param ratio permits for each request in the window
 * @param windowNanos length of the window
 */
public record FleetLimit(double slack, double ratio, long windowNanos) {
    /**
     * Returns the limit for a number of requests.
     *
     * @param requests requests in the window
     */
    public double permits(double requests) {
        return slack + ratio * requests;
    }
}
