package org.hemlockrack.admission.internal;

import org.hemlockrack.admission.AdmissionSettings;

/**
 * Smoothed time to first token by prompt length.
 *
 * <p>Lengths are grouped by powers of two, because longer prompts take longer on a healthy server
 * too. Requests of unknown length form a group of their own.
 */
public final class LatencyBaseline {
    // With fewer samples a jump would be the difference between single requests.
    private static final int MIN_SAMPLES = 8;
    private static final double SMOOTHING = 0.125;
    private static final int GROUPS = 33;

    private final double[] mSmoothedNanos = new double[GROUPS];
    private final int[] mSamples = new int[GROUPS];
    private double mOverallNanos;

    /**
     * Adds a sample and tests whether it is a jump above the smoothed value before it.
     *
     * <p>The sample is included in the smoothed value even if it is a jump, so a lasting change
     * becomes the new baseline after a few requests.
     *
     * @param ttftNanos time to first token
     * @param promptTokens length of the prompt, 0 if not known
     * @param settings jump factor and minimum
     * @return true if it is a jump
     */
    public boolean addAndTestJump(
            long ttftNanos, int promptTokens, AdmissionSettings.Ramp settings) {
        int group = groupOf(promptTokens);
        boolean jump =
                mSamples[group] >= MIN_SAMPLES
                        && ttftNanos >= settings.jumpMinimumNanos()
                        && ttftNanos > settings.jumpFactor() * mSmoothedNanos[group];
        mSmoothedNanos[group] = smooth(mSmoothedNanos[group], ttftNanos, mSamples[group]);
        mSamples[group] = Math.min(MIN_SAMPLES, mSamples[group] + 1);
        mOverallNanos = smooth(mOverallNanos, ttftNanos, mOverallNanos == 0 ? 0 : 1);
        return jump;
    }

    /** Returns the smoothed time to first token over all lengths, 0 if not known. */
    public long overallNanos() {
        return (long) mOverallNanos;
    }

    private static double smooth(double old, double sample, int samples) {
        return samples == 0 ? sample : old + SMOOTHING * (sample - old);
    }

    private static int groupOf(int promptTokens) {
        return promptTokens <= 0 ? 0 : Integer.SIZE - Integer.numberOfLeadingZeros(promptTokens);
    }
}
