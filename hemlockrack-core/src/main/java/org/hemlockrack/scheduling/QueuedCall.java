package org.hemlockrack.scheduling;

/**
 * A request that waits for a free slot of a service.
 *
 * @param id the id, unique among the waiting requests
 * @param arrivalNumber number that increases with each arrival
 * @param rank priority rank, 0 is the most urgent
 * @param isRetry whether the caller repeats a request that was refused
 * @param workspace name of the workspace, empty for callers without one
 * @param arrivalNanos monotonic time from which the request waits
 * @param deadlineNanos last time at which it can begin to be served and be complete in time
 * @param holdLimitNanos longest wait without an estimate that the request will be served; callers
 *     are charged for a refusal that comes later
 * @param bytes memory that the request holds while it waits
 */
public record QueuedCall(
        String id,
        long arrivalNumber,
        int rank,
        boolean isRetry,
        String workspace,
        long arrivalNanos,
        long deadlineNanos,
        long holdLimitNanos,
        long bytes)
        implements Waiting {}
