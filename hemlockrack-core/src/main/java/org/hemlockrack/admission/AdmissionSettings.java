package org.hemlockrack.admission;

import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;

/**
 * Settings of admission, grouped by what they control.
 *
 * @param lease right to admit
 * @param ramp limit
 * @param queue waiting requests
 * @param loadMultiple most load of one backend server as a multiple of the mean load, at least 1
 */
public record AdmissionSettings(Lease lease, Ramp ramp, Queue queue, double loadMultiple) {
    private static final long MILLI_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000_000_000L;

    /** Checks the multiple. */
    public AdmissionSettings {
        require(loadMultiple >= 1.0, "load_multiple", "at least 1");
    }

    /**
     * Right to admit.
     *
     * @param durationNanos the right lasts this long after an announcement was sent; must be equal
     *     on all instances
     * @param driftPpm bound of the rate difference between two monotonic clocks
     * @param maxFlightNanos bound of the time between sending and handling an announcement without
     *     echo; 0 if no bound is known, and then such announcements give no right
     * @param freezeGapNanos a longer time without any call shows that the process was stopped
     */
    public record Lease(
            long durationNanos, long driftPpm, long maxFlightNanos, long freezeGapNanos) {
        /** Checks the bounds. */
        public Lease {
            require(durationNanos > 0, "lease.duration", "above 0");
            require(driftPpm >= 0 && driftPpm < 100_000, "lease.drift_ppm", "0 to 99999");
            require(
                    maxFlightNanos >= 0 && maxFlightNanos < durationNanos,
                    "lease.max_flight",
                    "0 up to the lease duration");
            require(freezeGapNanos > 0, "lease.freeze_gap", "above 0");
        }
    }

    /**
     * Limit of a backend server.
     *
     * @param startLimit limit of a cold backend server
     * @param growthPeriodNanos least time between two rises; each at most doubles the limit
     * @param fallPeriodNanos least time between two falls; errors of one burst count once
     * @param firstTokenTargetNanos time to first token up to which a finished request is good
     *     evidence
     * @param jumpFactor multiple of the smoothed time to first token that shows a cold server
     * @param jumpMinimumNanos shorter times to first token never show a cold server
     */
    public record Ramp(
            int startLimit,
            long growthPeriodNanos,
            long fallPeriodNanos,
            long firstTokenTargetNanos,
            double jumpFactor,
            long jumpMinimumNanos) {
        /** Checks the bounds. */
        public Ramp {
            require(startLimit >= 1, "ramp.start_limit", "at least 1");
            require(growthPeriodNanos > 0, "ramp.growth_period", "above 0");
            require(fallPeriodNanos >= 0, "ramp.fall_period", "at least 0");
            require(firstTokenTargetNanos > 0, "ramp.promise", "above 0");
            require(jumpFactor > 1.0, "ramp.jump_factor", "above 1");
        }
    }

    /**
     * Waiting requests.
     *
     * @param maxLength most waiting requests
     * @param maxPerWorkspace most waiting requests of one workspace
     */
    public record Queue(int maxLength, int maxPerWorkspace) {
        /** Checks the bounds. */
        public Queue {
            require(maxLength >= 0, "queue.max_length", "at least 0");
            require(maxPerWorkspace >= 0, "queue.max_per_workspace", "at least 0");
        }
    }

    /** Returns the defaults. */
    public static AdmissionSettings defaults() {
        // Two clocks slewed by NTP at its maximum of 500 ppm in opposite directions differ by
        // 1000 ppm.
        Lease lease = new Lease(2 * SECOND_NANOS, 1_000, 500 * MILLI_NANOS, 250 * MILLI_NANOS);
        Ramp ramp =
                new Ramp(1, SECOND_NANOS, SECOND_NANOS, 720 * MILLI_NANOS, 3.0, 50 * MILLI_NANOS);
        return new AdmissionSettings(lease, ramp, new Queue(256, 64), 1.25);
    }

    /** Returns a copy with another lease part. */
    public AdmissionSettings withLease(Lease value) {
        return new AdmissionSettings(value, ramp, queue, loadMultiple);
    }

    /** Returns a copy with another ramp part. */
    public AdmissionSettings withRamp(Ramp value) {
        return new AdmissionSettings(lease, value, queue, loadMultiple);
    }

    /** Returns a copy with another queue part. */
    public AdmissionSettings withQueue(Queue value) {
        return new AdmissionSettings(lease, ramp, value, loadMultiple);
    }

    /** Returns a copy with another load multiple. */
    public AdmissionSettings withLoadMultiple(double value) {
        return new AdmissionSettings(lease, ramp, queue, value);
    }

    private static void require(boolean holds, String name, String allowed) {
        if (holds) {
            return;
        }
        throw HemlockrackException.of(
                ErrorKind.SETTINGS_INVALID,
                String.format(ErrorText.ADMISSION_SETTING, name, allowed));
    }
}
