package org.hemlockrack.daemon.owner;

import org.jspecify.annotations.Nullable;

/**
 * An attempt that another thread creates later. Released bytes and a cancellation are recorded
 * until then and passed on once the attempt is set.
 */
final class DeferredAttempt implements RunningAttempt {
    private @Nullable RunningAttempt mAttempt;
    private boolean mCancelled;
    private int mReleasedBytes;

    void setAttempt(RunningAttempt attempt) {
        boolean cancelled;
        int releasedBytes;
        synchronized (this) {
            mAttempt = attempt;
            cancelled = mCancelled;
            releasedBytes = mReleasedBytes;
        }
        if (releasedBytes > 0) {
            attempt.release(releasedBytes);
        }
        if (cancelled) {
            attempt.cancel();
        }
    }

    @Override
    public void release(int bytes) {
        RunningAttempt attempt;
        synchronized (this) {
            attempt = mAttempt;
            if (attempt == null) {
                mReleasedBytes += bytes;
                return;
            }
        }
        attempt.release(bytes);
    }

    @Override
    public void cancel() {
        RunningAttempt attempt;
        synchronized (this) {
            mCancelled = true;
            attempt = mAttempt;
        }
        if (attempt != null) {
            attempt.cancel();
        }
    }
}
