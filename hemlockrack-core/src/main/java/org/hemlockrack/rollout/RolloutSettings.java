package org.hemlockrack.rollout;

import java.util.concurrent.TimeUnit;

/**
 * Settings of the roll-out deciders.
 *
 * @param localFalseAlarmRate largest probability that one instance stops a good version during one
 *     roll-out
 * @param fleetFalseAlarmRate largest probability that the merged evidence rolls back a good version
 * @param reportNanos time between two reports of an instance
 * @param minStageNanos shortest time in a stage
 * @param maxStageNanos longest time in a stage for which enough evidence was seen
 * @param minStageRequests requests of the new version after which a stage is judged
 * @param minJudgedRequests requests of the new version below which it is unjudged at the deadline
 * @param maxConcurrentLoads backend servers that load from the weight store at a time
 * @param loadTimeoutNanos time after which another server is asked to load
 * @param loadEstimateNanos expected time of one load, until loads were seen
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
    /** Keeps the reports of all instances below 67 a second in the replicated log. */
    private static final long REPORT_NANOS_PER_INSTANCE = TimeUnit.MILLISECONDS.toNanos(15);

    /**
     * Returns the usual settings.
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
