package org.hemlockrack.retry.internal;

import org.hemlockrack.retry.RetryBudget;
import org.hemlockrack.retry.RetryBudgetSettings;

/** Token bucket that counts integer millionths of tokens, so that it does not drift over time. */
public final class TokenBucket implements RetryBudget {
    private static final long MICRO_TOKENS_PER_TOKEN = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final long mMicroTokensPerRequest;
    private final long mNanosPerToken;
    private final long mBurstMicroTokens;
    private long mMicroTokens;
    private long mLastRefillNanos;
    private boolean mStarted;

    private TokenBucket(RetryBudgetSettings settings) {
        mMicroTokensPerRequest = Math.round(settings.requestShare() * MICRO_TOKENS_PER_TOKEN);
        mNanosPerToken =
                settings.minPerSecond() > 0
                        ? (long) Math.ceil(NANOS_PER_SECOND / settings.minPerSecond())
                        : Long.MAX_VALUE;
        mBurstMicroTokens = Math.round(settings.burst() * MICRO_TOKENS_PER_TOKEN);
        mMicroTokens = mBurstMicroTokens;
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
        addMicroTokens(mMicroTokensPerRequest);
    }

    @Override
    public boolean tryTake(long nowNanos) {
        refill(nowNanos);
        if (mMicroTokens < MICRO_TOKENS_PER_TOKEN) {
            return false;
        }
        mMicroTokens -= MICRO_TOKENS_PER_TOKEN;
        return true;
    }

    private void refill(long nowNanos) {
        if (!mStarted) {
            mStarted = true;
            mLastRefillNanos = nowNanos;
        }
        long tokens = (nowNanos - mLastRefillNanos) / mNanosPerToken;
        if (tokens <= 0) {
            return;
        }
        // Advances by whole tokens only, so that frequent calls do not lose fractions.
        mLastRefillNanos += tokens * mNanosPerToken;
        addMicroTokens(Math.min(tokens, mBurstMicroTokens) * MICRO_TOKENS_PER_TOKEN);
    }

    private void addMicroTokens(long microTokens) {
        mMicroTokens = Math.min(mBurstMicroTokens, mMicroTokens + microTokens);
    }
}
