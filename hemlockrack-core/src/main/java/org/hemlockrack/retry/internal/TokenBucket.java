package org.hemlockrack.retry.internal;

import org.hemlockrack.retry.RetryBudget;
import org.hemlockrack.retry.RetryBudgetSettings;

/** Token bucket in integer millionths, so that long runs do not drift. */
public final class TokenBucket implements RetryBudget {
    private static final long MICROS_PER_TOKEN = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final long mRequestMicros;
    private final long mNanosPerToken;
    private final long mBurstMicros;
    private long mMicros;
    private long mRefilledNanos;
    private boolean mStarted;

    private TokenBucket(RetryBudgetSettings settings) {
        mRequestMicros = Math.round(settings.requestShare() * MICROS_PER_TOKEN);
        mNanosPerToken =
                settings.minPerSecond() > 0
                        ? (long) Math.ceil(NANOS_PER_SECOND / settings.minPerSecond())
                        : Long.MAX_VALUE;
        mBurstMicros = Math.round(settings.burst() * MICROS_PER_TOKEN);
        mMicros = mBurstMicros;
    }

    /**
     * Creates a full bucket.
     *
     * @param settings the settings
     * @return the bucket
     */
    public static TokenBucket create(RetryBudgetSettings settings) {
        return new TokenBucket(settings);
    }

    @Override
    public void onRequest(long nowNanos) {
        refill(nowNanos);
        add(mRequestMicros);
    }

    @Override
    public boolean tryTake(long nowNanos) {
        refill(nowNanos);
        if (mMicros < MICROS_PER_TOKEN) {
            return false;
        }
        mMicros -= MICROS_PER_TOKEN;
        return true;
    }

    private void refill(long nowNanos) {
        if (!mStarted) {
            mStarted = true;
            mRefilledNanos = nowNanos;
        }
        long tokens = (nowNanos - mRefilledNanos) / mNanosPerToken;
        if (tokens <= 0) {
            return;
        }
        // The remainder stays in the refill time, so frequent calls lose nothing.
        mRefilledNanos += tokens * mNanosPerToken;
        add(Math.min(tokens, mBurstMicros) * MICROS_PER_TOKEN);
    }

    private void add(long micros) {
        mMicros = Math.min(mBurstMicros, mMicros + micros);
    }
}
