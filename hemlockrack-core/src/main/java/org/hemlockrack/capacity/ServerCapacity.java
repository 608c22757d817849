package org.hemlockrack.capacity;

/**
 * How many requests one incarnation of a backend server sustains, and how fast it is. Not
 * thread-safe; time is monotonic and passed in.
 */
public interface ServerCapacity {
    /**
     * Returns the requests of all gateways that the server sustains, between the floor and the
     * slots.
     *
     * @param nowNanos monotonic time
     */
    double limit(long nowNanos);

    /**
     * Returns the speed; 1 is usual, and work takes twice as long at 0.5.
     *
     * @param nowNanos monotonic time
     */
    double speed(long nowNanos);

    /**
     * Records a load report of the server.
     *
     * @param nowNanos monotonic time at which the server reported
     * @param load the report
     */
    void recordReport(long nowNanos, ReportedLoad load);

    /**
     * Records how long the server took for something, as a multiple of the usual time.
     *
     * @param nowNanos monotonic time
     * @param ratio the time divided by the usual time of the same kind of work
     * @param load requests in progress at the server
     */
    void recordDelay(long nowNanos, double ratio, int load);

    /**
     * Records that the server has rejected a request for lack of capacity.
     *
     * @param nowNanos monotonic time
     * @param load requests in progress at the server, without the rejected one
     */
    void recordRejection(long nowNanos, int load);

    /** Creates the capacity of a server. */
    interface Factory {
        /**
         * Creates the capacity of a new incarnation.
         *
         * @param server id of the server
         * @param slots requests that it runs at most
         * @return the capacity
         */
        ServerCapacity create(String server, int slots);
    }
}
