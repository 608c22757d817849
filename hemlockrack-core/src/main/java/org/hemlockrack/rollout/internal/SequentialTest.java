package org.hemlockrack.rollout.internal;

import java.util.List;

/**
 * Upper bound of the probability that the new version receives at least its observed number of hits
 * (failed or slow requests) by chance.
 *
 * <p>Under the null hypothesis that the version makes no difference, the hits of the new version in
 * one stratum follow a hypergeometric distribution. Its moment generating function is at most that
 * of the binomial distribution (Hoeffding 1963), so the Chernoff bound holds for a sum over strata
 * at every sample size, without an approximation by the normal distribution.
 */
public final class SequentialTest {
    private static final double MAX_LAMBDA = 40;
    private static final int ITERATIONS = 48;
    private static final double INVERSE_GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

    /** Below this many standard deviations the bound is never small enough to show a fault. */
    private static final double MIN_DEVIATIONS = 2;

    private static final double LOOK_FACTOR = 1.2;

    private SequentialTest() {}

    /**
     * Requests of both versions under comparable conditions.
     *
     * @param newer requests of the new version
     * @param older requests of the old version
     * @param newerHits hits among those of the new version
     * @param olderHits hits among those of the old version
     */
    public record Stratum(long newer, long older, long newerHits, long olderHits) {
        /**
         * Returns whether the stratum has requests of both versions and a hit, so that the versions
         * can be compared.
         */
        boolean isInformative() {
            return newer > 0 && older > 0 && newerHits + olderHits > 0;
        }

        /**
         * Returns the probability that a draw is a success. The distribution is the same if hits
         * and requests of the new version change places; the smaller number is taken as that of the
         * draws, which gives the smaller bound.
         */
        double successRate() {
            long hits = newerHits + olderHits;
            long total = newer + older;
            return (double) Math.max(hits, newer) / total;
        }

        long draws() {
            return Math.min(newerHits + olderHits, newer);
        }
    }

    /**
     * Returns the logarithm of the bound.
     *
     * @param strata the strata
     * @return natural logarithm of an upper bound of the probability, at most 0
     */
    public static double logBound(List<Stratum> strata) {
        double hits = 0;
        double mean = 0;
        double variance = 0;
        for (Stratum stratum : strata) {
            if (!stratum.isInformative()) {
                continue;
            }
            double rate = stratum.successRate();
            hits += stratum.newerHits();
            mean += stratum.draws() * rate;
            variance += stratum.draws() * rate * (1 - rate);
        }
        if (hits <= mean + MIN_DEVIATIONS * Math.sqrt(variance)) {
            return 0;
        }
        return minimizeExponent(strata, hits);
    }

    /**
     * Returns the number of the interim look that is due at a sample size. Looks are spaced
     * geometrically, so their number grows only with the logarithm of the sample size.
     *
     * @param samples requests of the new version
     * @return number of the look, 0 without requests
     */
    public static int lookNumber(long samples) {
        if (samples < 6) {
            return (int) samples;
        }
        return 6 + (int) (Math.log(samples / 6.0) / Math.log(LOOK_FACTOR));
    }

    /**
     * Returns the logarithm of the share of the false-alarm rate for one of an unlimited number of
     * interim looks or windows (alpha spending). The shares of all numbers from 1 add up to 1.
     *
     * @param number number of the look or window, from 1
     * @return natural logarithm of the share
     */
    public static double logAlphaShare(long number) {
        return -Math.log((double) number * (number + 1));
    }

    private static double minimizeExponent(List<Stratum> strata, double hits) {
        double low = 0;
        double high = MAX_LAMBDA;
        for (int i = 0; i < ITERATIONS; i++) {
            double left = high - INVERSE_GOLDEN_RATIO * (high - low);
            double right = low + INVERSE_GOLDEN_RATIO * (high - low);
            if (exponent(strata, hits, left) < exponent(strata, hits, right)) {
                high = right;
            } else {
                low = left;
            }
        }
        return Math.min(0, exponent(strata, hits, (low + high) / 2));
    }

    /**
     * Logarithm of the Chernoff bound with parameter lambda. It is convex in lambda, and every
     * lambda gives a valid bound.
     */
    private static double exponent(List<Stratum> strata, double hits, double lambda) {
        double sum = -lambda * hits;
        double expMinusOne = Math.expm1(lambda);
        for (Stratum stratum : strata) {
            if (stratum.isInformative()) {
                sum += stratum.draws() * Math.log1p(stratum.successRate() * expMinusOne);
            }
        }
        return sum;
    }
}
