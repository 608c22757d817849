package org.hemlockrack.admission.internal;

import java.util.HashMap;
import java.util.Map;
import org.hemlockrack.admission.AdmissionEvent.Announced;
import org.hemlockrack.admission.AdmissionSettings;
import org.hemlockrack.admission.HandoverMessage;
import org.hemlockrack.admission.LeaseEcho;
import org.hemlockrack.admission.PreviousOwner;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * The right of one instance to admit for one backend server.
 *
 * <p>Let an announcement be prepared at time s. It gives its receiver a right that ends no later
 * than s plus the duration D. Of two announcements to different instances the later one states the
 * age of the earlier one, or of one that is newer still. Its receiver takes the right only from an
 * announcement prepared after the earlier right had ended, so the in-flight work that this
 * announcement reports includes the work of the earlier owner. The earlier receiver gets a longer
 * right only from an announcement that names the later receiver, for which it waits in turn. So at
 * any time at most one instance holds the right.
 *
 * <p>The wait needs no bound of the flight time: an announcement that was long in flight makes its
 * receiver wait longer. An earlier process of the same instance got its last announcement before
 * this one started, so this one takes no right until that right has ended. The end of the right
 * needs the sending time. An echo gives a lower bound of it; without an echo it is the handling
 * time less the stated flight bound, and announcements handled just after the process was stopped
 * count for nothing.
 */
public final class OwnershipLease {
    /** Announcements after a handover that give the sender no right: 8 s at the usual period. */
    private static final long HANDOVER_SEQUENCES = 16;

    private static final long PPM = 1_000_000L;
    private static final long NEVER = Long.MIN_VALUE;

    private final long mOwnerEpoch;
    private final long mProcessStartNanos;
    private final Map<InstanceId, HandoverMessage> mHandovers = new HashMap<>();
    private AdmissionSettings.Lease mSettings;
    private long mIncarnation = NEVER;
    private long mEndNanos = NEVER;
    private long mOthersEndNanos = NEVER;
    private boolean mOthersEnded;
    private long mFloorSequence = NEVER;
    private long mLastSequence;
    private @Nullable PreviousOwner mLastPrevious;
    private long mLastSeenNanos = NEVER;
    private long mDistrustUntilNanos = NEVER;

    private OwnershipLease(
            AdmissionSettings.Lease settings, long ownerEpoch, long processStartNanos) {
        mSettings = settings;
        mOwnerEpoch = ownerEpoch;
        mProcessStartNanos = processStartNanos;
    }

    /**
     * Creates a lease without a right.
     *
     * @param settings the settings
     * @param ownerEpoch process of this instance
     * @param processStartNanos monotonic time at which the process began to accept announcements,
     *     or later
     * @return the lease
     */
    public static OwnershipLease create(
            AdmissionSettings.Lease settings, long ownerEpoch, long processStartNanos) {
        return new OwnershipLease(settings, ownerEpoch, processStartNanos);
    }

    /**
     * Notes that the process ran at a time. Must precede any other call with that time.
     *
     * @param nowNanos monotonic time
     */
    public void seen(long nowNanos) {
        boolean gap =
                mLastSeenNanos == NEVER || nowNanos - mLastSeenNanos > mSettings.freezeGapNanos();
        if (gap) {
            mDistrustUntilNanos = nowNanos + mSettings.maxFlightNanos();
        }
        mLastSeenNanos = nowNanos;
    }

    /**
     * Handles an announcement of the current or a newer incarnation.
     *
     * @param nowNanos monotonic time
     * @param event the announcement
     */
    public void announced(long nowNanos, Announced event) {
        if (event.incarnation() != mIncarnation) {
            startIncarnation(event.incarnation());
        }
        if (event.sequence() > mLastSequence) {
            // The newest announcement names the newest contact elsewhere, so it covers older ones.
            mLastSequence = event.sequence();
            mLastPrevious = event.previous();
            mOthersEndNanos = othersEndNanos(nowNanos, event.previous());
            mOthersEnded = mOthersEndNanos == NEVER;
        }
        if (event.sequence() > mFloorSequence) {
            mEndNanos = Math.max(mEndNanos, rightEndNanos(nowNanos, event));
        }
    }

    /**
     * Returns a lower bound of the time at which an announcement was sent.
     *
     * @param nowNanos monotonic time
     * @param event the announcement
     * @return monotonic time of this process, or {@link Long#MIN_VALUE} if no bound is known
     */
    public long earliestSentNanos(long nowNanos, Announced event) {
        LeaseEcho echo = event.echo();
        if (echo != null && echo.ownerEpoch() == mOwnerEpoch) {
            long held = Math.max(0, echo.heldNanos());
            long sent = echo.ownerNanos() + held - scaled(held, mSettings.driftPpm());
            return Math.min(nowNanos, sent);
        }
        if (mSettings.maxFlightNanos() == 0 || nowNanos < mDistrustUntilNanos) {
            return NEVER;
        }
        return nowNanos - mSettings.maxFlightNanos();
    }

    /**
     * Remembers that another instance stopped admitting, and waits no longer for its right.
     *
     * <p>The sender held the right on the announcement {@code floorSequence}, so every right given
     * before that announcement had ended. The wait is dropped only if that announcement, or an
     * earlier one, is the last contact elsewhere: a contact that the sender did not know of could
     * have renewed a third instance's right.
     *
     * @param message its message
     */
    public void handoverReceived(HandoverMessage message) {
        mHandovers.put(message.from(), message);
        if (mLastPrevious != null && isHandedOver(mLastPrevious)) {
            mOthersEndNanos = NEVER;
            mOthersEnded = true;
        }
    }

    /**
     * Gives up the right at once.
     *
     * @param nowNanos monotonic time
     * @return the newest announcement on which the right was held, 0 if it was not held
     */
    public long release(long nowNanos) {
        long heldSequence = isHeld(nowNanos) ? mLastSequence : 0;
        mFloorSequence = mLastSequence + HANDOVER_SEQUENCES;
        mEndNanos = NEVER;
        return heldSequence;
    }

    /**
     * Returns whether the right is held.
     *
     * @param nowNanos monotonic time
     * @return true while it is held
     */
    public boolean isHeld(long nowNanos) {
        return mOthersEnded && nowNanos < mEndNanos;
    }

    /** Returns when the right ends, unless another announcement extends it. */
    public long endNanos() {
        return mEndNanos;
    }

    /**
     * Returns how long a request would have to wait for the right.
     *
     * @param nowNanos monotonic time
     * @return the wait in nanoseconds, 0 if no right is in sight
     */
    public long remainingWaitNanos(long nowNanos) {
        boolean waits = nowNanos < mEndNanos && mOthersEndNanos > nowNanos;
        return waits ? mOthersEndNanos - nowNanos : 0;
    }

    /**
     * Returns whether the right is held or only another instance's right stands against it.
     *
     * @param nowNanos monotonic time
     * @return true if so
     */
    public boolean isInSight(long nowNanos) {
        return nowNanos < mEndNanos;
    }

    /**
     * Returns when the right ends, or when {@link #seen} must be called to tell a quiet process
     * from a stopped one.
     *
     * @param nowNanos monotonic time
     * @return monotonic time, or {@link Long#MAX_VALUE}
     */
    public long nextTimerNanos(long nowNanos) {
        if (nowNanos >= mEndNanos) {
            return Long.MAX_VALUE;
        }
        return Math.min(mEndNanos, mLastSeenNanos + mSettings.freezeGapNanos() / 2);
    }

    /** Replaces the settings; a right that was given keeps its end. */
    public void settings(AdmissionSettings.Lease settings) {
        mSettings = settings;
    }

    private void startIncarnation(long incarnation) {
        mIncarnation = incarnation;
        mEndNanos = NEVER;
        mFloorSequence = NEVER;
        mLastSequence = 0;
        mLastPrevious = null;
        mHandovers.values().removeIf(message -> message.incarnation() != incarnation);
    }

    private long othersEndNanos(long nowNanos, PreviousOwner previous) {
        if (isHandedOver(previous)) {
            return NEVER;
        }
        long drift = mSettings.driftPpm();
        long age = Math.max(0, previous.ageNanos());
        long leastAge = age - scaled(age, drift);
        long longestRight = longestRightNanos();
        return leastAge >= longestRight ? NEVER : nowNanos - leastAge + longestRight;
    }

    private long longestRightNanos() {
        long duration = mSettings.durationNanos();
        return duration + scaled(duration, mSettings.driftPpm());
    }

    private boolean isHandedOver(PreviousOwner previous) {
        InstanceId owner = previous.owner();
        HandoverMessage message = owner == null ? null : mHandovers.get(owner);
        return message != null
                && message.incarnation() == mIncarnation
                && previous.sequence() > 0
                && previous.sequence() <= message.floorSequence();
    }

    private long rightEndNanos(long nowNanos, Announced event) {
        long sent = earliestSentNanos(nowNanos, event);
        // An earlier process of this instance may have been stopped and replaced while it held a
        // right; the backend server does not name contacts with it.
        boolean oldProcessEnded = sent >= mProcessStartNanos + longestRightNanos();
        return sent != NEVER && oldProcessEnded ? sent + mSettings.durationNanos() : NEVER;
    }

    private static long scaled(long nanos, long ppm) {
        return nanos / PPM * ppm + nanos % PPM * ppm / PPM + 1;
    }
}
