package org.hemlockrack.capacity;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The usual time of each kind of work of one service, as a low quantile of all its servers. A kind
 * of work is for example a route together with whether the prompt prefix was cached, so that long
 * prompts are not taken for slow servers. Not thread-safe.
 */
public final class DelayBaselines {
    /** Quantile that counts as the time without a queue at a server of usual speed. */
    private static final double QUANTILE = 0.25;

    /** Step of the quantile estimate, as a part of the value. */
    private static final double STEP = 0.08;

    /** Kinds of work that are kept; routes are some dozens. */
    private static final int MAX_KINDS = 256;

    private final Map<String, Double> mNanosByKind =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                    return size() > MAX_KINDS;
                }
            };

    private DelayBaselines() {}

    /** Creates baselines without samples. */
    public static DelayBaselines create() {
        return new DelayBaselines();
    }

    /**
     * Adds a time.
     *
     * @param kind the kind of work
     * @param nanos the time, without the delay that all servers have in common
     */
    public void record(String kind, double nanos) {
        double sample = Math.max(1, nanos);
        double usual = mNanosByKind.getOrDefault(kind, sample);
        double step = sample < usual ? -STEP * (1 - QUANTILE) : STEP * QUANTILE;
        mNanosByKind.put(kind, sample == usual ? usual : usual * (1 + step));
    }

    /**
     * Returns the usual time of a kind of work.
     *
     * @param kind the kind of work
     * @param defaultNanos the result if no time is known
     */
    public double usualNanos(String kind, double defaultNanos) {
        return mNanosByKind.getOrDefault(kind, defaultNanos);
    }
}
