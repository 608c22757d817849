package org.hemlockrack.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.WorkspaceId;

/**
 * Rate limiter of one entry instance: bounds the concurrent requests of each workspace, and their
 * rate by a token bucket.
 *
 * <p>The bounds apply per instance; with n instances a workspace can use n times as much. Requests
 * are refused with {@link ErrorKind#RATE_LIMITED}. Not thread-safe.
 */
public final class WorkspaceLimiter {
    private static final double SECOND_NANOS = 1e9;
    // Number of workspaces from which idle ones are removed: without open requests and with a full
    // bucket they need no state.
    private static final int MIN_SWEEP_SIZE = 1_024;

    private final Map<WorkspaceId, Quota> mQuotas = new HashMap<>();
    private final Map<WorkspaceId, WorkspaceState> mStates = new HashMap<>();
    private final Quota mDefaultQuota;
    private int mSweepSize = MIN_SWEEP_SIZE;

    /**
     * Bounds of one workspace.
     *
     * @param maxConcurrent maximum number of concurrent requests, at least 0
     * @param ratePerSecond sustained requests per second, above 0
     * @param burst size of the token bucket, at least 1
     */
    public record Quota(int maxConcurrent, double ratePerSecond, int burst) {
        /** Validates the bounds. */
        public Quota {
            if (maxConcurrent < 0 || !(ratePerSecond > 0) || burst < 1) {
                throw HemlockrackException.of(
                        ErrorKind.SETTINGS_INVALID, ErrorText.WORKSPACE_QUOTA);
            }
        }
    }

    /**
     * Decision on one request.
     *
     * @param allowed whether the request is accepted; {@link #release} must be called when it ends
     * @param retryAfterNanos time until the bucket has a token; 0 if the concurrency bound applied
     */
    public record Decision(boolean allowed, long retryAfterNanos) {
        /** Returns the error of a refused request. */
        public ErrorKind errorKind() {
            return ErrorKind.RATE_LIMITED;
        }
    }

    private static final class WorkspaceState {
        private int mOpen;
        private double mTokens;
        private long mLastRefillNanos;
    }

    private WorkspaceLimiter(Quota defaultQuota) {
        mDefaultQuota = defaultQuota;
    }

    /**
     * Creates a limiter.
     *
     * @param defaultQuota quota of workspaces without a quota of their own
     * @return the limiter
     */
    public static WorkspaceLimiter create(Quota defaultQuota) {
        return new WorkspaceLimiter(defaultQuota);
    }

    /**
     * Sets the quota of a workspace; requests already accepted are not affected.
     *
     * @param workspace the workspace
     * @param quota its quota
     */
    public void setQuota(WorkspaceId workspace, Quota quota) {
        mQuotas.put(workspace, quota);
    }

    /**
     * Accepts or refuses one request.
     *
     * @param nowNanos monotonic time
     * @param workspace its workspace
     * @return the decision
     */
    public Decision tryAcquire(long nowNanos, WorkspaceId workspace) {
        Quota quota = quotaOf(workspace);
        WorkspaceState state = stateOf(nowNanos, workspace, quota);
        refill(nowNanos, state, quota);
        if (state.mOpen >= quota.maxConcurrent()) {
            return new Decision(false, 0);
        }
        if (state.mTokens < 1) {
            double seconds = (1 - state.mTokens) / quota.ratePerSecond();
            return new Decision(false, (long) Math.ceil(seconds * SECOND_NANOS));
        }
        state.mTokens -= 1;
        state.mOpen++;
        return new Decision(true, 0);
    }

    /**
     * Records the end of an accepted request.
     *
     * @param workspace its workspace
     */
    public void release(WorkspaceId workspace) {
        WorkspaceState state = mStates.get(workspace);
        if (state != null && state.mOpen > 0) {
            state.mOpen--;
        }
    }

    private Quota quotaOf(WorkspaceId workspace) {
        return mQuotas.getOrDefault(workspace, mDefaultQuota);
    }

    private WorkspaceState stateOf(long nowNanos, WorkspaceId workspace, Quota quota) {
        WorkspaceState existing = mStates.get(workspace);
        if (existing != null) {
            return existing;
        }
        removeIdle(nowNanos);
        WorkspaceState state = new WorkspaceState();
        state.mTokens = quota.burst();
        state.mLastRefillNanos = nowNanos;
        mStates.put(workspace, state);
        return state;
    }

    private void refill(long nowNanos, WorkspaceState state, Quota quota) {
        double seconds = (nowNanos - state.mLastRefillNanos) / SECOND_NANOS;
        state.mTokens = Math.min(quota.burst(), state.mTokens + seconds * quota.ratePerSecond());
        state.mLastRefillNanos = nowNanos;
    }

    private void removeIdle(long nowNanos) {
        if (mStates.size() < mSweepSize) {
            return;
        }
        Iterator<Map.Entry<WorkspaceId, WorkspaceState>> entries = mStates.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<WorkspaceId, WorkspaceState> entry = entries.next();
            Quota quota = quotaOf(entry.getKey());
            refill(nowNanos, entry.getValue(), quota);
            if (entry.getValue().mOpen == 0 && entry.getValue().mTokens >= quota.burst()) {
                entries.remove();
            }
        }
        // Doubling the threshold makes the amortized cost of sweeps constant per workspace.
        mSweepSize = Math.max(MIN_SWEEP_SIZE, 2 * mStates.size());
    }
}
