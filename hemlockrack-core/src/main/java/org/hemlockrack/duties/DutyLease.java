package org.hemlockrack.duties;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether a process may act under its token now. It may while a majority has confirmed its
 * leadership in less than the lease, measured from the sending of the confirming round.
 *
 * <p>The monotonic clock of a suspended machine may stand still, so the time of day counts as well:
 * the larger of both ages limits the lease, so a jump of the time of day can only end it early. The
 * wait of a new holder counts on the monotonic clock alone, because a jump of the time of day would
 * shorten it.
 */
public final class DutyLease {
    /**
     * Part of the lease that a holder leaves unused, for the time between the check and the write
     * of the call and for clocks of different speed.
     */
    private static final double MARGIN_FRACTION = 0.1;

    /** Without fencing, calls of the previous holder may take effect late. */
    private static final int UNFENCED_WAIT_FACTOR = 2;

    private final long mLeaseNanos;
    private final long mWaitNanos;
    private boolean mConfirmed;
    private long mConfirmedNanos;
    private long mConfirmedWallMillis;
    private long mToken;
    private long mActFromNanos;
    private boolean mRefused;

    private DutyLease(long leaseNanos, long waitNanos) {
        mLeaseNanos = leaseNanos;
        mWaitNanos = waitNanos;
    }

    /**
     * Creates a lease of a process that holds no token.
     *
     * @param leaseMillis time that a confirmation is valid
     * @param fenced whether the platform refuses calls with an outdated token
     * @return the lease
     */
    public static DutyLease create(long leaseMillis, boolean fenced) {
        long leaseNanos = TimeUnit.MILLISECONDS.toNanos(leaseMillis);
        return new DutyLease(leaseNanos, leaseNanos * (fenced ? 1 : UNFENCED_WAIT_FACTOR));
    }

    /**
     * Records that a majority confirmed the leadership of this process.
     *
     * @param sentNanos monotonic time before the confirming round was sent
     * @param sentWallMillis time of day then
     */
    public void recordConfirmation(long sentNanos, long sentWallMillis) {
        mConfirmed = true;
        mConfirmedNanos = sentNanos;
        mConfirmedWallMillis = sentWallMillis;
    }

    /**
     * Records that a token of this process is committed.
     *
     * @param nowNanos monotonic time at which that was known
     * @param token the token
     * @param followsOther whether another process held the duty before; it may act until its own
     *     lease ends
     */
    public void recordToken(long nowNanos, long token, boolean followsOther) {
        if (token == mToken) {
            return;
        }
        mToken = token;
        mRefused = false;
        mActFromNanos = followsOther ? nowNanos + mWaitNanos : nowNanos;
    }

    /** Records that this process does not lead, or that another one has the newest token. */
    public void revoke() {
        mConfirmed = false;
        mToken = 0;
    }

    /**
     * Records that the platform has seen a higher token. No call is made with this one any more.
     *
     * @param token the token of the refused call
     */
    public void recordRefusal(long token) {
        mRefused |= token == mToken;
    }

    /** Returns whether the platform has refused the token. */
    public boolean isRefused() {
        return mRefused;
    }

    /** Returns the token, 0 if this process has none. */
    public long token() {
        return mToken;
    }

    /** Returns whether a majority has confirmed the leadership of this process lately. */
    public boolean isConfirmed(long nowNanos, long nowWallMillis) {
        long ageNanos =
                Math.max(
                        nowNanos - mConfirmedNanos,
                        TimeUnit.MILLISECONDS.toNanos(nowWallMillis - mConfirmedWallMillis));
        return mConfirmed && ageNanos < mLeaseNanos * (1 - MARGIN_FRACTION);
    }

    /**
     * Returns whether a call may be sent now. Asked again right before the first byte is written.
     *
     * @param nowNanos monotonic time
     * @param nowWallMillis time of day
     */
    public boolean mayAct(long nowNanos, long nowWallMillis) {
        return mToken != 0
                && !mRefused
                && nowNanos - mActFromNanos >= 0
                && isConfirmed(nowNanos, nowWallMillis);
    }
}
