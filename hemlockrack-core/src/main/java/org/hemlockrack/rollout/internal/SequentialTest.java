package org.hemlockrack.rollout.internal;

import java.util.List;

/**
 * Bounds the probability that chance alone gives the new version so many of the hits (failed or
 * slow requests) of both versions.
 *
 * <p>Under the hypothesis that the version makes no difference, the hits of the new version in one
 * stratum follow a hypergeometric distribution. Its moment generating function is at most that of
 * the binomial distribution (Hoeffding 1963), so the Chernoff bound holds for a sum over strata at
 * every sample size, without an approximation by the normal distribution.
 */
public final class SequentialTest {
    private static final double MAX_LAMBDA = 40;
    private static final int ITERATIONS = 48;
    private static final double GOLDEN = (Math.sqrt(5) - 1) / 2;

    /** Below this many standard deviations the bound is never small enough to matter. */
    private static final double MIN_DEVIATIONS = 2;

    private static final double LOOK_FACTOR = 1.2;

    private SequentialTest() {}

    /**
     * Requests of both versions under like conditions.
     *
     * @param newer requests of the new version
     * @param older requests of the old version
     * @param newerHits hits among those of the new version
     * @param olderHits hits among those of the old version
     */
    public record Stratum(long newer, long older, long newerHits, long olderHits) {
        /** Returns whether the stratum can tell the versions apart. */
        boolean informative() {
            return newer > 0 && older > 0 && newerHits + olderHits > 0;
        }

        double rate() {
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
            if (!stratum.informative()) {
                continue;
            }
            double rate = stratum.rate();
            hits += stratum.newerHits();
            mean += stratum.draws() * rate;
            variance += stratum.draws() * rate * (1 - rate);
        }
        if (hits <= mean + MIN_DEVIATIONS * Math.sqrt(variance)) {
            return 0;
        }
        return minimum(strata, hits);
    }

    /**
     * Returns the number of the look that is due at a sample size. Looks are spaced geometrically,
     * so their number grows with the logarithm of the sample size only.
     *
     * @param samples requests of the new version
     * @return number of the look, 0 without requests
     */
    public static int look(long samples) {
        if (samples < 6) {
            return (int) samples;
        }
        return 6 + (int) (Math.log(samples / 6.0) / Math.log(LOOK_FACTOR));
    }

    /**
     * Returns the logarithm of the share of a false-alarm rate that one of unlimited looks may
     * spend; the shares of all numbers from 1 add up to 1.
     *
     * @param number number of the look, from 1
     * @return natural logarithm of the share
     */
    public static double logShare(long number) {
        return -Math.log((double) number * (number + 1));
    }

    private static double minimum(List<Stratum> strata, double hits) {
        double low = 0;
        double high = MAX_LAMBDA;
        for (int i = 0; i < ITERATIONS; i++) {
            double left = high - GOLDEN * (high - low);
            double right = low + GOLDEN * (high - low);
            if (exponent(strata, hits, left) < exponent(strata, hits, right)) {
                high = right;
            } else {
                low = left;
            }
        }
        return Math.min(0, exponent(strata, hits, (low + high) / 2));
    }

    /** Convex in lambda; every value of it is a valid bound. */
    private static double exponent(List<Stratum> strata, double hits, double lambda) {
        double sum = -lambda * hits;
        double growth = Math.expm1(lambda);
        for (Stratum stratum : strata) {
            if (stratum.informative()) {
                sum += stratum.draws() * Math.log1p(stratum.rate() * growth);
            }
        }
        return sum;
    }
}
