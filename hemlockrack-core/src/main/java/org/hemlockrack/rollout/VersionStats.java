package org.hemlockrack.rollout;

import java.util.Arrays;

/**
 * Request counts of one version and a histogram of its time to first token. The histogram has fixed
 * logarithmic buckets, so merging is exact and independent of the order. Not thread-safe.
 */
public final class VersionStats {
    /** Number of histogram buckets; with four per octave they cover 1 ms to 65 s. */
    public static final int BUCKETS = 64;

    private static final double BUCKETS_PER_OCTAVE = 4;
    private static final double NANOS_PER_MILLI = 1e6;

    private final long[] mFirstTokenCounts = new long[BUCKETS];
    private long mRequests;
    private long mErrors;

    private VersionStats() {}

    /** Returns empty statistics. */
    public static VersionStats create() {
        return new VersionStats();
    }

    /**
     * Returns the histogram bucket of a time to first token.
     *
     * @param nanos time to first token
     * @return the bucket, 0 to {@link #BUCKETS} - 1
     */
    public static int bucket(long nanos) {
        if (nanos <= NANOS_PER_MILLI) {
            return 0;
        }
        double octaves = Math.log(nanos / NANOS_PER_MILLI) / Math.log(2);
        return (int) Math.min(BUCKETS - 1, octaves * BUCKETS_PER_OCTAVE);
    }

    /**
     * Counts a request that was answered.
     *
     * @param firstTokenNanos time to first token
     */
    public void addAnswer(long firstTokenNanos) {
        mRequests++;
        mFirstTokenCounts[bucket(firstTokenNanos)]++;
    }

    /** Counts a request that failed. */
    public void addError() {
        mRequests++;
        mErrors++;
    }

    /**
     * Adds the counts of other statistics to these.
     *
     * @param other the statistics to add
     */
    public void merge(VersionStats other) {
        mRequests += other.mRequests;
        mErrors += other.mErrors;
        for (int i = 0; i < BUCKETS; i++) {
            mFirstTokenCounts[i] += other.mFirstTokenCounts[i];
        }
    }

    /**
     * Adds request counts without changing the histogram.
     *
     * @param requests requests
     * @param errors failed requests among them
     */
    public void addCounts(long requests, long errors) {
        mRequests += requests;
        mErrors += errors;
    }

    /**
     * Adds answers to a histogram bucket without changing the number of requests.
     *
     * @param bucket the bucket
     * @param count the number
     */
    public void addToBucket(int bucket, long count) {
        mFirstTokenCounts[bucket] += count;
    }

    /** Resets all counts to 0. */
    public void clear() {
        mRequests = 0;
        mErrors = 0;
        Arrays.fill(mFirstTokenCounts, 0);
    }

    /** Returns a copy that does not change with this object. */
    public VersionStats copy() {
        VersionStats copy = create();
        copy.merge(this);
        return copy;
    }

    /** Returns the number of requests. */
    public long requests() {
        return mRequests;
    }

    /** Returns the number of requests that failed. */
    public long errors() {
        return mErrors;
    }

    /**
     * Returns the number of answers in a bucket.
     *
     * @param bucket the bucket
     * @return the number
     */
    public long answerCount(int bucket) {
        return mFirstTokenCounts[bucket];
    }

    /**
     * Returns, for every bucket, the number of answers that took at least its lower bound.
     *
     * @return one count per bucket; the first counts all answers
     */
    public long[] countsAtLeast() {
        long[] counts = new long[BUCKETS];
        long sum = 0;
        for (int i = BUCKETS - 1; i >= 0; i--) {
            sum += mFirstTokenCounts[i];
            counts[i] = sum;
        }
        return counts;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VersionStats stats
                && mRequests == stats.mRequests
                && mErrors == stats.mErrors
                && Arrays.equals(mFirstTokenCounts, stats.mFirstTokenCounts);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(mRequests) * 31 + Arrays.hashCode(mFirstTokenCounts);
    }
}
