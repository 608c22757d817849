package org.hemlockrack.rollout;

import java.util.Arrays;

/**
 * Counts and a sketch of the time to first token of one version. The sketch has fixed logarithmic
 * buckets, so merging is exact and does not depend on the order. Not thread-safe.
 */
public final class VersionStats {
    /** Buckets; with four to an octave they reach from 1 ms to 65 s. */
    public static final int BUCKETS = 64;

    private static final double BUCKETS_PER_OCTAVE = 4;
    private static final double NANOS_PER_MILLI = 1e6;

    private final long[] mFirstTokens = new long[BUCKETS];
    private long mRequests;
    private long mErrors;

    private VersionStats() {}

    /** Returns empty statistics. */
    public static VersionStats create() {
        return new VersionStats();
    }

    /**
     * Returns the bucket of a time.
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
        mFirstTokens[bucket(firstTokenNanos)]++;
    }

    /** Counts a request that failed. */
    public void addError() {
        mRequests++;
        mErrors++;
    }

    /**
     * Adds other statistics.
     *
     * @param other the other ones
     */
    public void merge(VersionStats other) {
        mRequests += other.mRequests;
        mErrors += other.mErrors;
        for (int i = 0; i < BUCKETS; i++) {
            mFirstTokens[i] += other.mFirstTokens[i];
        }
    }

    /**
     * Adds counts.
     *
     * @param requests requests
     * @param errors failed requests among them
     */
    public void addCounts(long requests, long errors) {
        mRequests += requests;
        mErrors += errors;
    }

    /**
     * Adds requests to a bucket without counting them as requests.
     *
     * @param bucket the bucket
     * @param count the number
     */
    public void addToBucket(int bucket, long count) {
        mFirstTokens[bucket] += count;
    }

    /** Forgets everything. */
    public void clear() {
        mRequests = 0;
        mErrors = 0;
        Arrays.fill(mFirstTokens, 0);
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
    public long firstTokens(int bucket) {
        return mFirstTokens[bucket];
    }

    /**
     * Returns, for every bucket, how many answers took at least its lower bound.
     *
     * @return one count per bucket; the first counts all answers
     */
    public long[] atLeast() {
        long[] counts = new long[BUCKETS];
        long sum = 0;
        for (int i = BUCKETS - 1; i >= 0; i--) {
            sum += mFirstTokens[i];
            counts[i] = sum;
        }
        return counts;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VersionStats stats
                && mRequests == stats.mRequests
                && mErrors == stats.mErrors
                && Arrays.equals(mFirstTokens, stats.mFirstTokens);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(mRequests) * 31 + Arrays.hashCode(mFirstTokens);
    }
}
