package org.hemlockrack.claims;

import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.hemlockrack.model.InstanceId;

/**
 * Issues the attempt ids of one instance and tracks which of their claims may still be granted. Not
 * thread-safe.
 */
public final class AttemptSource {
    /**
     * Number of sequences, counted from the lowest pending one, that may be in use. It bounds the
     * used sequences that the replicated state stores per instance; an instance has far fewer
     * claims waiting for the log.
     */
    public static final int WINDOW = 4096;

    private static final int RANDOM_BITS = 20;

    private final InstanceId mHolder;
    private final TreeSet<Long> mPending = new TreeSet<>();
    private long mIncarnation;
    private long mNextSequence;

    private AttemptSource(InstanceId holder, long incarnation) {
        mHolder = holder;
        mIncarnation = incarnation;
    }

    /**
     * Creates a source.
     *
     * @param holder this instance
     * @param incarnation a number that no other start of this instance uses; see {@link
     *     #newIncarnation}
     * @return the source
     */
    public static AttemptSource of(InstanceId holder, long incarnation) {
        return new AttemptSource(holder, incarnation);
    }

    /**
     * Creates an incarnation without storing anything on disk. It increases with the wall clock. If
     * the clock was set back, the replicated state refuses the incarnation and returns the lowest
     * one that it accepts. The random part distinguishes two starts at the same clock reading.
     *
     * @param startMillis wall-clock time of the start, in milliseconds since the epoch
     * @param random a random source
     * @return the incarnation
     */
    public static long newIncarnation(long startMillis, RandomGenerator random) {
        return (startMillis << RANDOM_BITS) | random.nextInt(1 << RANDOM_BITS);
    }

    /** Returns this instance. */
    public InstanceId holder() {
        return mHolder;
    }

    /**
     * Issues a new attempt, which is pending until {@link #markResolved}.
     *
     * @return the attempt; empty if the oldest pending attempt is {@link #WINDOW} sequences back
     */
    public Optional<AttemptId> next() {
        if (mNextSequence - lowestPending() >= WINDOW) {
            return Optional.empty();
        }
        long sequence = mNextSequence++;
        mPending.add(sequence);
        return Optional.of(new AttemptId(mHolder, mIncarnation, sequence));
    }

    /**
     * Records that the claim of an attempt was answered or abandoned, so that it need not be
     * granted any more.
     *
     * @param attempt the attempt
     */
    public void markResolved(AttemptId attempt) {
        mPending.remove(attempt.sequence());
    }

    /** Returns the lowest sequence whose claim may still be granted. */
    public long lowestPending() {
        return mPending.isEmpty() ? mNextSequence : mPending.first();
    }

    /**
     * Raises the incarnation of new attempts; a lower value has no effect.
     *
     * @param minimumIncarnation lowest incarnation that the replicated state accepts
     */
    public void raiseIncarnation(long minimumIncarnation) {
        mIncarnation = Math.max(mIncarnation, minimumIncarnation);
    }
}
