package org.hemlockrack.scheduling;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Times after which refused callers should retry. Each one gets its own turn behind the backlog, at
 * the measured drain rate, so that retries do not arrive faster than they can be served. Not
 * thread-safe.
 */
public final class RetryAdvice {
    /** Shortest delay; a burst drains within a few such delays. */
    private static final long MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Longest delay, if the caller's deadline allows it. */
    private static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Delay without a measured drain rate. */
    private static final long DEFAULT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Random part of a delay, in relation to the rest. */
    private static final double JITTER = 0.4;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Share of its remaining time for which a caller waits before a retry. */
    private static final int HONOURED_DIVISOR = 3;

    private final RandomGenerator mRandom;
    private long mNextTurnNanos;
    private boolean mHasTurn;

    private RetryAdvice(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Creates the advice of one queue.
     *
     * @param random source of the jitter
     */
    public static RetryAdvice create(RandomGenerator random) {
        return new RetryAdvice(random);
    }

    /**
     * Returns the delay after which a refused caller should retry.
     *
     * @param nowNanos monotonic time
     * @param call the refused request
     * @param waiting requests that wait before a new one of this rank
     * @param rate the measured drain rate
     * @param view who uses and waits for the service
     * @param remainingNanos time until the caller's deadline
     * @return the delay; at most a third of the remaining time, as callers honour no longer one
     */
    public long delayNanos(
            long nowNanos,
            QueuedCall call,
            int waiting,
            DrainRate rate,
            ShareView view,
            long remainingNanos) {
        double perSecond = rate.perSecond(view.turnClass(call.rank(), call.workspace()));
        long waitNanos = rate.estimateNanos(call, 0, waiting, view);
        long delayNanos = waitNanos == DrainRate.UNKNOWN ? DEFAULT_NANOS : waitNanos;
        if (perSecond > 0) {
            long turnNanos = nowNanos + delayNanos;
            if (mHasTurn && mNextTurnNanos - turnNanos > 0) {
                turnNanos = mNextTurnNanos;
            }
            turnNanos = Math.min(turnNanos, nowNanos + MAX_NANOS);
            mNextTurnNanos = turnNanos + (long) (NANOS_PER_SECOND / perSecond);
            mHasTurn = true;
            delayNanos = turnNanos - nowNanos;
        }
        delayNanos = Math.max(MIN_NANOS, delayNanos);
        double jitter = 1 + JITTER * mRandom.nextDouble();
        long honouredNanos = Math.max(1, remainingNanos / HONOURED_DIVISOR);
        if (delayNanos * jitter <= honouredNanos) {
            return (long) (delayNanos * jitter);
        }
        // The jitter shortens delays at the limit, so that these retries are spread as well.
        return Math.max(1, (long) (Math.min(delayNanos, honouredNanos) / jitter));
    }
}
