package org.hemlockrack.rollout;

import java.util.concurrent.TimeUnit;

/**
 * Settings for fault detection, stages and the loading of versions in roll-outs.
 *
 * @param localFalseAlarmRate largest probability that one instance stops a good version during one
 *     roll-out
 * @param fleetFalseAlarmRate largest probability that the merged evidence rolls back a good version
 * @param reportNanos interval between two reports of an instance
 * @param minStageNanos shortest time in a stage
 * @param maxStageNanos longest time in a stage once it has received enough requests
 * @param minStageRequests requests of the new version after which a stage is judged
 * @param minJudgedRequests requests of the new version that are needed to judge it at the deadline
 * @param maxConcurrentLoads number of backend servers that load from the weight store at a time
 * @param loadTimeoutNanos time after which an order without effect is no longer waited for, so that
 *     its server is free for another order
 * @param loadEstimateNanos estimated time of one load until actual load times are known
 * @param drainNanos time between the end of a roll-out and the unloading of the other version
 */
public record RolloutSettings(
        double localFalseAlarmRate,
        double fleetFalseAlarmRate,
        long reportNanos,
        long minStageNanos,
        long maxStageNanos,
        long minStageRequests,
        long minJudgedRequests,
        int maxConcurrentLoads,
        long loadTimeoutNanos,
        long loadEstimateNanos,
        long drainNanos) {
    /** Limits the reports of all instances together to 67 per second in the replicated log. */
    private static final long REPORT_NANOS_PER_INSTANCE = TimeUnit.MILLISECONDS.toNanos(15);

    /**
     * Returns the default settings for a fleet.
     *
     * @param instances number of instances
     * @return the settings
     */
    public static RolloutSettings forFleet(int instances) {
        long reportNanos =
                Math.max(TimeUnit.SECONDS.toNanos(2), instances * REPORT_NANOS_PER_INSTANCE);
        return new RolloutSettings(
                1e-5,
                1e-3,
                reportNanos,
                TimeUnit.SECONDS.toNanos(5),
                TimeUnit.MINUTES.toNanos(10),
                200,
                200,
                2,
                TimeUnit.MINUTES.toNanos(2),
                TimeUnit.SECONDS.toNanos(30),
                TimeUnit.SECONDS.toNanos(30));
    }
}
