package org.hemlockrack.admission;

import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;

/**
 * Settings of admission control.
 *
 * @param lease ownership lease
 * @param ramp adaptive concurrency limit
 * @param queue queue bounds
 * @param loadMultiple maximum load of one backend server as a multiple of the mean load, at least 1
 */
public record AdmissionSettings(Lease lease, Ramp ramp, Queue queue, double loadMultiple) {
    private static final long MILLI_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000_000_000L;

    /** Validates the load multiple. */
    public AdmissionSettings {
        require(loadMultiple >= 1.0, "load_multiple", "at least 1");
    }

    /**
     * Ownership lease: the right to dispatch requests to a backend server.
     *
     * @param durationNanos duration of the lease from the time an announcement was sent; must be
     *     equal on all instances
     * @param driftPpm bound of the rate difference between two monotonic clocks
     * @param maxFlightNanos bound of the time between sending and handling an announcement without
     *     echo; 0 if no bound is known, and then such announcements grant no lease
     * @param freezeGapNanos the process is assumed to have been paused after a longer time without
     *     any call
     */
    public record Lease(
            long durationNanos, long driftPpm, long maxFlightNanos, long freezeGapNanos) {
        /** Validates the bounds. */
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
     * Adaptive concurrency limit of a backend server.
     *
     * @param startLimit limit of a cold backend server
     * @param growthPeriodNanos minimum time between two increases; each at most doubles the limit
     * @param fallPeriodNanos minimum time between two decreases, so that a burst of errors counts
     *     once
     * @param firstTokenTargetNanos target time to first token; only requests within it raise the
     *     limit
     * @param jumpFactor multiple of the smoothed time to first token above which the server is
     *     assumed to have become cold
     * @param jumpMinimumNanos shorter times to first token are never treated as such a jump
     */
    public record Ramp(
            int startLimit,
            long growthPeriodNanos,
            long fallPeriodNanos,
            long firstTokenTargetNanos,
            double jumpFactor,
            long jumpMinimumNanos) {
        /** Validates the bounds. */
        public Ramp {
            require(startLimit >= 1, "ramp.start_limit", "at least 1");
            require(growthPeriodNanos > 0, "ramp.growth_period", "above 0");
            require(fallPeriodNanos >= 0, "ramp.fall_period", "at least 0");
            require(firstTokenTargetNanos > 0, "ramp.promise", "above 0");
            require(jumpFactor > 1.0, "ramp.jump_factor", "above 1");
        }
    }

    /**
     * Bounds of the queue.
     *
     * @param maxLength maximum number of queued requests
     * @param maxPerWorkspace maximum number of queued requests of one workspace
     */
    public record Queue(int maxLength, int maxPerWorkspace) {
        /** Validates the bounds. */
        public Queue {
            require(maxLength >= 0, "queue.max_length", "at least 0");
            require(maxPerWorkspace >= 0, "queue.max_per_workspace", "at least 0");
        }
    }

    /** Returns the defaults. */
    public static AdmissionSettings defaults() {
        // NTP slews a clock by 500 ppm at most, so the rates of two clocks slewed in opposite
        // directions differ by 1000 ppm at most.
        Lease lease = new Lease(2 * SECOND_NANOS, 1_000, 500 * MILLI_NANOS, 250 * MILLI_NANOS);
        Ramp ramp =
                new Ramp(1, SECOND_NANOS, SECOND_NANOS, 720 * MILLI_NANOS, 3.0, 50 * MILLI_NANOS);
        return new AdmissionSettings(lease, ramp, new Queue(256, 64), 1.25);
    }

    /** Returns a copy with other lease settings. */
    public AdmissionSettings withLease(Lease value) {
        return new AdmissionSettings(value, ramp, queue, loadMultiple);
    }

    /** Returns a copy with other ramp settings. */
    public AdmissionSettings withRamp(Ramp value) {
        return new AdmissionSettings(lease, value, queue, loadMultiple);
    }

    /** Returns a copy with other queue settings. */
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
