package org.hemlockrack.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Delay that all servers of a service have in common, for example because all are slow at once or
 * this gateway is overloaded. It is a low quantile of recent delays and is divided out of each, so
 * that no server is penalised for it. Not thread-safe.
 */
final class CommonDelay {
    private static final int MAX_SAMPLES = 16;
    private static final int MIN_SAMPLES = 4;

    /** Age after which a delay says nothing about the present state of the service. */
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Quantile that counts as common: three quarters of the delays are at least that long. */
    private static final double QUANTILE = 0.25;

    private final Deque<Sample> mSamples = new ArrayDeque<>();

    private record Sample(long atNanos, double ratio) {}

    /** Adds the delay of an answer and returns the common delay, 1 or more. */
    double record(long nowNanos, double ratio) {
        mSamples.addLast(new Sample(nowNanos, ratio));
        while (mSamples.size() > MAX_SAMPLES
                || nowNanos - mSamples.peekFirst().atNanos() > LIFETIME_NANOS) {
            mSamples.removeFirst();
        }
        if (mSamples.size() < MIN_SAMPLES) {
            return 1;
        }
        double[] ratios = mSamples.stream().mapToDouble(Sample::ratio).sorted().toArray();
        return Math.max(1, ratios[(int) (QUANTILE * ratios.length)]);
    }
}
