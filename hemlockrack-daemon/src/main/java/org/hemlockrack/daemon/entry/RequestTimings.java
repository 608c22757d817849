package org.hemlockrack.daemon.entry;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.burn.LatencySample;

/** Times of one request, as its caller sees them. Guarded by the lock of the exchange. */
final class RequestTimings {
    private static final long NOT_RECEIVED = Long.MIN_VALUE;

    private final long mStartNanos;
    private long mAttemptStartNanos;
    private long mFirstByteNanos = NOT_RECEIVED;
    private long mLastByteNanos = NOT_RECEIVED;
    private long mChunks;

    RequestTimings(long startNanos) {
        mStartNanos = startNanos;
        mAttemptStartNanos = startNanos;
    }

    void recordAttemptStart(long nowNanos) {
        mAttemptStartNanos = nowNanos;
    }

    /**
     * Records that answer bytes were received. Returns the time since the start of the attempt if
     * they are the first bytes.
     */
    OptionalLong recordBytes(long nowNanos) {
        boolean first = mFirstByteNanos == NOT_RECEIVED;
        if (first) {
            mFirstByteNanos = nowNanos;
        }
        mLastByteNanos = nowNanos;
        mChunks++;
        return first ? OptionalLong.of(nowNanos - mAttemptStartNanos) : OptionalLong.empty();
    }

    long totalNanos(long nowNanos) {
        return nowNanos - mStartNanos;
    }

    /**
     * Returns the time from the arrival of the request to the start of the last attempt, which was
     * spent on refusals and waiting.
     */
    long waitedNanos() {
        return mAttemptStartNanos - mStartNanos;
    }

    LatencySample toLatencySample(long nowNanos, boolean complete) {
        if (mFirstByteNanos == NOT_RECEIVED) {
            return LatencySample.failed();
        }
        OptionalLong meanGapMillis = OptionalLong.empty();
        if (mChunks > 1) {
            meanGapMillis =
                    OptionalLong.of(toMillis((mLastByteNanos - mFirstByteNanos) / (mChunks - 1)));
        }
        return new LatencySample(
                OptionalLong.of(toMillis(mFirstByteNanos - mStartNanos)),
                meanGapMillis,
                OptionalLong.of(toMillis(nowNanos - mStartNanos)),
                complete);
    }

    private static long toMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
