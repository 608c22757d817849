package org.hemlockrack.daemon.gateway;

/**
 * What the log says about a request that has waited for a free slot.
 *
 * @param cause why it had to wait
 * @param waitedNanos how long it has waited
 * @param servedBefore requests of its service that this gateway took from the queue meanwhile, by
 *     priority rank, such as {@code 0:12 1:3}
 * @param usage slots that its workspace uses, in relation to its weight
 * @param share slots that its workspace is entitled to, infinite if no workspace waits
 */
record WaitReport(Cause cause, long waitedNanos, String servedBefore, double usage, double share) {
    /** Why a request had to wait. */
    enum Cause {
        /** All servers were full. */
        NO_FREE_SLOT,
        /** Other requests waited at this gateway. */
        OTHERS_WAIT,
        /** The free slots were left to requests at other gateways. */
        RESERVED
    }
}
