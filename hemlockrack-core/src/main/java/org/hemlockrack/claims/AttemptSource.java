package org.hemlockrack.claims;

import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.hemlockrack.model.InstanceId;

/** Numbers the attempts of one instance and knows which of their claims may still be granted. */
public final class AttemptSource {
    /**
     * Most sequences from the lowest pending claim on. It bounds what the replicated state
     * remembers per instance; an instance has far fewer claims waiting for the log.
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
     * Makes an incarnation that needs no disk. It increases with the wall clock; if the clock was
     * set back, the state names the incarnation from which on it grants claims. The random part
     * keeps two starts apart that read the same time.
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
     * Makes a new attempt, which is pending until it is settled.
     *
     * @return the attempt; empty if too many are pending
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
     * Notes that the claim of an attempt is answered or given up, so that it need not be granted
     * any more.
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
     * Raises the incarnation of new attempts.
     *
     * @param minimumIncarnation lowest incarnation that the state accepts
     */
    public void raise(long minimumIncarnation) {
        mIncarnation = Math.max(mIncarnation, minimumIncarnation);
    }
}
