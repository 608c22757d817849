package org.hemlockrack.scheduling;

/**
 * A request that was removed from a queue without being served.
 *
 * @param call the request
 * @param reason why it was removed
 */
public record Removal(QueuedCall call, Reason reason) {
    /** Why a request was removed. */
    public enum Reason {
        /** It can no longer be complete before its deadline. */
        DEADLINE,
        /** By the estimate it would not be served before its deadline. */
        NOT_EXPECTED,
        /** There is no estimate, and it has waited for as long as a refusal may take. */
        NO_ESTIMATE,
        /** It has waited for the longest time that the queue allows. */
        MAX_WAIT,
        /** The queue is full, and it would have been served last. */
        QUEUE_FULL
    }
}
