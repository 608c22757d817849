package org.hemlockrack.daemon.entry;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.burn.LatencySample;

/** Times of one request, as its caller sees them. Guarded by the lock of the exchange. */
final class RequestTimes {
    private static final long NOT_YET = Long.MIN_VALUE;

    private final long mStartNanos;
    private long mAttemptNanos;
    private long mFirstNanos = NOT_YET;
    private long mLastNanos = NOT_YET;
    private long mChunks;

    RequestTimes(long startNanos) {
        mStartNanos = startNanos;
        mAttemptNanos = startNanos;
    }

    void attemptStarted(long nowNanos) {
        mAttemptNanos = nowNanos;
    }

    /** Notes answer bytes; returns the time from the attempt's start if they are the first. */
    OptionalLong received(long nowNanos) {
        boolean first = mFirstNanos == NOT_YET;
        if (first) {
            mFirstNanos = nowNanos;
        }
        mLastNanos = nowNanos;
        mChunks++;
        return first ? OptionalLong.of(nowNanos - mAttemptNanos) : OptionalLong.empty();
    }

    long totalNanos(long nowNanos) {
        return nowNanos - mStartNanos;
    }

    /** Returns the time before the attempt that answered, which refusals and waiting took. */
    long waitedNanos() {
        return mAttemptNanos - mStartNanos;
    }

    LatencySample sample(long nowNanos, boolean complete) {
        if (mFirstNanos == NOT_YET) {
            return LatencySample.failed();
        }
        OptionalLong between = OptionalLong.empty();
        if (mChunks > 1) {
            between = OptionalLong.of(millis((mLastNanos - mFirstNanos) / (mChunks - 1)));
        }
        return new LatencySample(
                OptionalLong.of(millis(mFirstNanos - mStartNanos)),
                between,
                OptionalLong.of(millis(nowNanos - mStartNanos)),
                complete);
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
