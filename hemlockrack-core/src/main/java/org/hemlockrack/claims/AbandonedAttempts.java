package org.hemlockrack.claims;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.hemlockrack.decider.Decider;

/**
 * The attempts of this instance that were given up before dispatch, until their release is applied.
 *
 * <p>Memory is bounded without forgetting: a session reserves a place before it claims, and does
 * not claim when there is none. After a restart the memory is empty, so an earlier attempt is not
 * known to be abandoned, and its claim stays open until it expires.
 */
public final class AbandonedAttempts
        implements Decider<AbandonedAttempts.Event, AbandonedAttempts.Output> {
    /** Most places: sessions in progress and attempts to release. */
    public static final int MAX_PLACES = 10_000;

    private static final long FIRST_RETRY_NANOS = 500_000_000L;
    private static final long MAX_RETRY_NANOS = 8_000_000_000L;

    private final AttemptSource mSource;
    private final Map<AttemptId, Entry> mEntries = new HashMap<>();
    private final PriorityQueue<Due> mDue = new PriorityQueue<>();
    private int mReserved;

    /** What the decider is told. */
    public sealed interface Event {}

    /**
     * A proposed release was applied.
     *
     * @param attempt its attempt
     */
    public record ReleaseApplied(AttemptId attempt) implements Event {}

    /** What the decider asks for. */
    public sealed interface Output {}

    /**
     * Propose a release. An answer other than applied need not be reported; the release is proposed
     * again.
     *
     * @param command the release
     */
    public record ProposeRelease(ClaimCommand.Release command) implements Output {}

    private static final class Entry {
        private final ClaimKey mKey;
        private long mDueNanos;
        private long mRetryNanos = FIRST_RETRY_NANOS;

        Entry(ClaimKey key, long dueNanos) {
            mKey = key;
            mDueNanos = dueNanos;
        }
    }

    private record Due(long nanos, AttemptId attempt) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return Long.compare(nanos, other.nanos);
        }
    }

    private AbandonedAttempts(AttemptSource source) {
        mSource = source;
    }

    /**
     * Creates an empty memory.
     *
     * @param source source of the attempts
     * @return the memory
     */
    public static AbandonedAttempts of(AttemptSource source) {
        return new AbandonedAttempts(source);
    }

    /**
     * Reserves a place for a session.
     *
     * @return false if there is none
     */
    public boolean reserve() {
        if (mReserved + mEntries.size() >= MAX_PLACES) {
            return false;
        }
        mReserved++;
        return true;
    }

    /** Returns a place that was not needed. */
    public void unreserve() {
        mReserved--;
    }

    /**
     * Remembers an attempt that was not dispatched and never will be, in a place reserved before.
     *
     * @param nowNanos monotonic time
     * @param key its key
     * @param attempt the attempt
     */
    public void add(long nowNanos, ClaimKey key, AttemptId attempt) {
        mReserved--;
        mEntries.put(attempt, new Entry(key, nowNanos));
        mDue.add(new Due(nowNanos, attempt));
    }

    /**
     * Answers another instance that found an open claim.
     *
     * @param attempt the attempt that holds the claim
     * @return true only if this process gave the attempt up
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
            Due due = mDue.remove();
            Entry entry = mEntries.get(due.attempt());
            entry.mDueNanos = nowNanos + entry.mRetryNanos;
            entry.mRetryNanos = Math.min(MAX_RETRY_NANOS, 2 * entry.mRetryNanos);
            mDue.add(new Due(entry.mDueNanos, due.attempt()));
            long lowest = mSource.lowestPending();
            ClaimCommand.Release release =
                    new ClaimCommand.Release(entry.mKey, due.attempt(), lowest);
            out.accept(new ProposeRelease(release));
        }
    }

    @Override
    public long nextTimerNanos() {
        while (!mDue.isEmpty() && !isCurrent(mDue.peek())) {
            mDue.remove();
        }
        return mDue.isEmpty() ? NO_TIMER : mDue.peek().nanos();
    }

    private boolean isCurrent(Due due) {
        Entry entry = mEntries.get(due.attempt());
        return entry != null && entry.mDueNanos == due.nanos();
    }
}
