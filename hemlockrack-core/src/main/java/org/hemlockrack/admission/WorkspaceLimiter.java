package org.hemlockrack.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.WorkspaceId;

/**
 * Limits what one entry instance accepts per workspace: requests at once, and a token bucket.
 *
 * <p>The bounds hold for this instance; with n instances a workspace can have n times as much. A
 * refusal is {@link ErrorKind#RATE_LIMITED}. Not thread-safe.
 */
public final class WorkspaceLimiter {
    private static final double SECOND_NANOS = 1e9;
    // A workspace without open requests and with a full bucket equals one never seen.
    private static final int SWEEP_ABOVE = 1_024;

    private final Map<WorkspaceId, Quota> mQuotas = new HashMap<>();
    private final Map<WorkspaceId, State> mStates = new HashMap<>();
    private final Quota mDefault;
    private int mSweepAbove = SWEEP_ABOVE;

    /**
     * Bounds of one workspace.
     *
     * @param maxConcurrent most open requests, at least 0
     * @param ratePerSecond requests per second in the long run, above 0
     * @param burst most requests at once after a pause, at least 1
     */
    public record Quota(int maxConcurrent, double ratePerSecond, int burst) {
        /** Checks the bounds. */
        public Quota {
            if (maxConcurrent < 0 || !(ratePerSecond > 0) || burst < 1) {
                throw HemlockrackException.of(
                        ErrorKind.SETTINGS_INVALID, ErrorText.WORKSPACE_QUOTA);
            }
        }
    }

    /**
     * Answer to one request.
     *
     * @param allowed whether it is accepted; if so, {@link #release} must follow once it ended
     * @param retryAfterNanos when the bucket has a token again; 0 if the concurrency bound refused
     */
    public record Decision(boolean allowed, long retryAfterNanos) {
        /** Returns the kind of a refusal. */
        public ErrorKind errorKind() {
            return ErrorKind.RATE_LIMITED;
        }
    }

    private static final class State {
        private int mOpen;
        private double mTokens;
        private long mFilledNanos;
    }

    private WorkspaceLimiter(Quota defaultQuota) {
        mDefault = defaultQuota;
    }

    /**
     * Creates a limiter.
     *
     * @param defaultQuota quota of workspaces without their own
     * @return the limiter
     */
    public static WorkspaceLimiter create(Quota defaultQuota) {
        return new WorkspaceLimiter(defaultQuota);
    }

    /**
     * Sets the quota of a workspace; open requests stay open.
     *
     * @param workspace the workspace
     * @param quota its quota
     */
    public void setQuota(WorkspaceId workspace, Quota quota) {
        mQuotas.put(workspace, quota);
    }

    /**
     * Decides on one request.
     *
     * @param nowNanos monotonic time
     * @param workspace its workspace
     * @return the answer
     */
    public Decision tryAcquire(long nowNanos, WorkspaceId workspace) {
        Quota quota = quota(workspace);
        State state = state(nowNanos, workspace, quota);
        fill(nowNanos, state, quota);
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
     * Notes the end of an accepted request.
     *
     * @param workspace its workspace
     */
    public void release(WorkspaceId workspace) {
        State state = mStates.get(workspace);
        if (state != null && state.mOpen > 0) {
            state.mOpen--;
        }
    }

    private Quota quota(WorkspaceId workspace) {
        return mQuotas.getOrDefault(workspace, mDefault);
    }

    private State state(long nowNanos, WorkspaceId workspace, Quota quota) {
        State known = mStates.get(workspace);
        if (known != null) {
            return known;
        }
        sweep(nowNanos);
        State state = new State();
        state.mTokens = quota.burst();
        state.mFilledNanos = nowNanos;
        mStates.put(workspace, state);
        return state;
    }

    private void fill(long nowNanos, State state, Quota quota) {
        double seconds = (nowNanos - state.mFilledNanos) / SECOND_NANOS;
        state.mTokens = Math.min(quota.burst(), state.mTokens + seconds * quota.ratePerSecond());
        state.mFilledNanos = nowNanos;
    }

    private void sweep(long nowNanos) {
        if (mStates.size() < mSweepAbove) {
            return;
        }
        Iterator<Map.Entry<WorkspaceId, State>> entries = mStates.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<WorkspaceId, State> entry = entries.next();
            Quota quota = quota(entry.getKey());
            fill(nowNanos, entry.getValue(), quota);
            if (entry.getValue().mOpen == 0 && entry.getValue().mTokens >= quota.burst()) {
                entries.remove();
            }
        }
        // Doubling keeps the cost of sweeps constant per new workspace.
        mSweepAbove = Math.max(SWEEP_ABOVE, 2 * mStates.size());
    }
}
