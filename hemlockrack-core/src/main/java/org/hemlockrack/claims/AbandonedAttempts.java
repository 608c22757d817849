package org.hemlockrack.claims;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.hemlockrack.decider.Decider;

/**
 * The attempts of this instance that were abandoned before dispatch. Each is kept, and its release
 * proposed again with exponential backoff, until the release is applied.
 *
 * <p>Memory is bounded without evicting entries: a session reserves capacity for its attempt before
 * it claims, and is refused if there is none. Entries are lost when the process restarts; an
 * earlier attempt is then no longer reported as abandoned, and its claim stays open until it
 * expires.
 */
public final class AbandonedAttempts
        implements Decider<AbandonedAttempts.Event, AbandonedAttempts.Output> {
    /** Maximum number of sessions in progress plus attempts to release. */
    public static final int MAX_ENTRIES = 10_000;

    private static final long FIRST_RETRY_NANOS = 500_000_000L;
    private static final long MAX_RETRY_NANOS = 8_000_000_000L;

    private final AttemptSource mSource;
    private final Map<AttemptId, Entry> mEntries = new HashMap<>();
    private final PriorityQueue<RetryTimer> mRetryTimers = new PriorityQueue<>();
    private int mReserved;

    /** Inputs of the decider. */
    public sealed interface Event {}

    /**
     * A proposed release was applied to the replicated state.
     *
     * @param attempt its attempt
     */
    public record ReleaseApplied(AttemptId attempt) implements Event {}

    /** Actions that the decider requests from its driver. */
    public sealed interface Output {}

    /**
     * Propose a release. Only its application needs to be reported; otherwise the release is
     * proposed again later.
     *
     * @param command the release
     */
    public record ProposeRelease(ClaimCommand.Release command) implements Output {}

    private static final class Entry {
        private final ClaimKey mKey;
        private long mNextRetryNanos;
        private long mRetryNanos = FIRST_RETRY_NANOS;

        Entry(ClaimKey key, long dueNanos) {
            mKey = key;
            mNextRetryNanos = dueNanos;
        }
    }

    private record RetryTimer(long dueNanos, AttemptId attempt) implements Comparable<RetryTimer> {
        @Override
        public int compareTo(RetryTimer other) {
            return Long.compare(dueNanos, other.dueNanos);
        }
    }

    private AbandonedAttempts(AttemptSource source) {
        mSource = source;
    }

    /**
     * Creates an instance without attempts.
     *
     * @param source issues the attempts of this instance
     * @return the instance
     */
    public static AbandonedAttempts of(AttemptSource source) {
        return new AbandonedAttempts(source);
    }

    /**
     * Reserves capacity for the attempt of a session. Each successful call must be followed by one
     * call of {@link #cancelReservation} or {@link #add}.
     *
     * @return false if {@link #MAX_ENTRIES} is reached
     */
    public boolean tryReserve() {
        if (mReserved + mEntries.size() >= MAX_ENTRIES) {
            return false;
        }
        mReserved++;
        return true;
    }

    /** Frees a reservation of a session that ended without an abandoned attempt. */
    public void cancelReservation() {
        mReserved--;
    }

    /**
     * Adds an attempt that was not dispatched and never will be. Consumes one reservation.
     *
     * @param nowNanos monotonic time
     * @param key key that the attempt claims
     * @param attempt the attempt
     */
    public void add(long nowNanos, ClaimKey key, AttemptId attempt) {
        mReserved--;
        mEntries.put(attempt, new Entry(key, nowNanos));
        mRetryTimers.add(new RetryTimer(nowNanos, attempt));
    }

    /**
     * Returns whether an attempt that holds an open claim was abandoned, so that another attempt
     * may take the claim over.
     *
     * @param attempt the attempt that holds the claim
     * @return true only if this process abandoned the attempt and its release is not applied yet
     */
    public boolean isAbandoned(AttemptId attempt) {
        return mEntries.containsKey(attempt);
    }

    /** Returns the number of attempts to release. */
    public int size() {
        return mEntries.size();
    }

    @Override
    public void onEvent(long nowNanos, Event event, Consumer<? super Output> out) {
        if (event instanceof ReleaseApplied applied) {
            mEntries.remove(applied.attempt());
        }
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super Output> out) {
        while (nextTimerNanos() <= nowNanos) {
            RetryTimer timer = mRetryTimers.remove();
            Entry entry = mEntries.get(timer.attempt());
            entry.mNextRetryNanos = nowNanos + entry.mRetryNanos;
            entry.mRetryNanos = Math.min(MAX_RETRY_NANOS, 2 * entry.mRetryNanos);
            mRetryTimers.add(new RetryTimer(entry.mNextRetryNanos, timer.attempt()));
            long lowest = mSource.lowestPending();
            ClaimCommand.Release release =
                    new ClaimCommand.Release(entry.mKey, timer.attempt(), lowest);
            out.accept(new ProposeRelease(release));
        }
    }

    @Override
    public long nextTimerNanos() {
        while (!mRetryTimers.isEmpty() && !isCurrent(mRetryTimers.peek())) {
            mRetryTimers.remove();
        }
        return mRetryTimers.isEmpty() ? NO_TIMER : mRetryTimers.peek().dueNanos();
    }

    private boolean isCurrent(RetryTimer timer) {
        Entry entry = mEntries.get(timer.attempt());
        return entry != null && entry.mNextRetryNanos == timer.dueNanos();
    }
}
