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
 * The lease that makes one instance the owner of one backend server. Only the owner dispatches
 * requests to the server.
 *
 * <p>An announcement prepared at time s grants its receiver a lease that ends no later than s plus
 * the lease duration. Of two announcements to different instances the later one states the age of
 * the earlier one, or of an even newer one. Its receiver takes the lease only on an announcement
 * prepared after the earlier lease had ended, so the requests in flight that this announcement
 * reports include those of the earlier owner. The earlier receiver gets its lease extended only by
 * an announcement that names the later receiver, whose lease it then waits for. Therefore at most
 * one instance holds the lease at any time.
 *
 * <p>The wait for another lease needs no bound of the message delay: a delayed announcement makes
 * its receiver wait longer. An earlier process of the same instance received its last announcement
 * before this process started, so this process accepts no lease until that of the earlier process
 * has ended. The end of a lease depends on the sending time of the announcement. An echo gives a
 * lower bound of it; without an echo the bound is the time of handling minus the configured maximum
 * flight time, and announcements handled shortly after the process was paused grant no lease.
 */
public final class OwnershipLease {
    /** Announcements after a handover that grant the sender no lease: 8 s at the usual period. */
    private static final long HANDOVER_SEQUENCES = 16;

    private static final long PPM = 1_000_000L;
    private static final long NEVER = Long.MIN_VALUE;

    private final long mOwnerEpoch;
    private final long mProcessStartNanos;
    private final Map<InstanceId, HandoverMessage> mHandovers = new HashMap<>();
    private AdmissionSettings.Lease mSettings;
    private long mIncarnation = NEVER;
    private long mEndNanos = NEVER;
    private long mOtherLeaseEndNanos = NEVER;
    private boolean mOtherLeaseEnded;
    private long mFloorSequence = NEVER;
    private long mLastSequence;
    private @Nullable PreviousOwner mLastPrevious;
    private long mLastActivityNanos = NEVER;
    private long mFlightUnboundedUntilNanos = NEVER;

    private OwnershipLease(
            AdmissionSettings.Lease settings, long ownerEpoch, long processStartNanos) {
        mSettings = settings;
        mOwnerEpoch = ownerEpoch;
        mProcessStartNanos = processStartNanos;
    }

    /**
     * Creates a lease that is not held.
     *
     * @param settings the settings
     * @param ownerEpoch identifies the process of this instance
     * @param processStartNanos monotonic time at which the process began to accept announcements,
     *     or later
     * @return the lease
     */
    public static OwnershipLease create(
            AdmissionSettings.Lease settings, long ownerEpoch, long processStartNanos) {
        return new OwnershipLease(settings, ownerEpoch, processStartNanos);
    }

    /**
     * Records that the process was running. Must be called before any other method at that time, to
     * detect that the process was paused.
     *
     * @param nowNanos monotonic time
     */
    public void recordActivity(long nowNanos) {
        boolean paused =
                mLastActivityNanos == NEVER
                        || nowNanos - mLastActivityNanos > mSettings.freezeGapNanos();
        if (paused) {
            mFlightUnboundedUntilNanos = nowNanos + mSettings.maxFlightNanos();
        }
        mLastActivityNanos = nowNanos;
    }

    /**
     * Handles an announcement of the current or a newer incarnation.
     *
     * @param nowNanos monotonic time
     * @param event the announcement
     */
    public void onAnnouncement(long nowNanos, Announced event) {
        if (event.incarnation() != mIncarnation) {
            startIncarnation(event.incarnation());
        }
        if (event.sequence() > mLastSequence) {
            // The newest announcement names the newest contact with another instance, whose lease
            // ends last.
            mLastSequence = event.sequence();
            mLastPrevious = event.previous();
            mOtherLeaseEndNanos = otherLeaseEndNanos(nowNanos, event.previous());
            mOtherLeaseEnded = mOtherLeaseEndNanos == NEVER;
        }
        if (event.sequence() > mFloorSequence) {
            mEndNanos = Math.max(mEndNanos, leaseEndNanos(nowNanos, event));
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
            long sent = echo.ownerNanos() + held - driftNanos(held, mSettings.driftPpm());
            return Math.min(nowNanos, sent);
        }
        if (mSettings.maxFlightNanos() == 0 || nowNanos < mFlightUnboundedUntilNanos) {
            return NEVER;
        }
        return nowNanos - mSettings.maxFlightNanos();
    }

    /**
     * Records that another instance released its lease, and stops waiting for the end of that
     * lease.
     *
     * <p>The sender held the lease at the announcement {@code floorSequence}, so every lease
     * granted before that announcement had ended. The wait is dropped only if that announcement, or
     * an earlier one, is the last contact with another instance: a later contact could have renewed
     * the lease of a third instance.
     *
     * @param message the message of the previous owner
     */
    public void onHandover(HandoverMessage message) {
        mHandovers.put(message.from(), message);
        if (mLastPrevious != null && isHandedOver(mLastPrevious)) {
            mOtherLeaseEndNanos = NEVER;
            mOtherLeaseEnded = true;
        }
    }

    /**
     * Releases the lease.
     *
     * @param nowNanos monotonic time
     * @return sequence number of the newest announcement if the lease was held, otherwise 0
     */
    public long release(long nowNanos) {
        long heldSequence = isHeld(nowNanos) ? mLastSequence : 0;
        mFloorSequence = mLastSequence + HANDOVER_SEQUENCES;
        mEndNanos = NEVER;
        return heldSequence;
    }

    /**
     * Returns whether the lease is held.
     *
     * @param nowNanos monotonic time
     * @return true if this instance is the owner
     */
    public boolean isHeld(long nowNanos) {
        return mOtherLeaseEnded && nowNanos < mEndNanos;
    }

    /** Returns when the lease ends, unless another announcement extends it. */
    public long endNanos() {
        return mEndNanos;
    }

    /**
     * Returns the time until the lease of another instance ends and this one can take effect.
     *
     * @param nowNanos monotonic time
     * @return the wait in nanoseconds, 0 if there is none or no lease was granted
     */
    public long remainingWaitNanos(long nowNanos) {
        boolean waitsForOther = nowNanos < mEndNanos && mOtherLeaseEndNanos > nowNanos;
        return waitsForOther ? mOtherLeaseEndNanos - nowNanos : 0;
    }

    /**
     * Returns whether a lease was granted and has not expired. It may not be held yet, because the
     * lease of another instance has not ended.
     *
     * @param nowNanos monotonic time
     * @return true if it was granted
     */
    public boolean isGranted(long nowNanos) {
        return nowNanos < mEndNanos;
    }

    /**
     * Returns when the lease ends, or when {@link #recordActivity} must be called so that an idle
     * process is not mistaken for one that was paused.
     *
     * @param nowNanos monotonic time
     * @return monotonic time, or {@link Long#MAX_VALUE}
     */
    public long nextTimerNanos(long nowNanos) {
        if (nowNanos >= mEndNanos) {
            return Long.MAX_VALUE;
        }
        return Math.min(mEndNanos, mLastActivityNanos + mSettings.freezeGapNanos() / 2);
    }

    /** Replaces the settings; the end of a lease already granted does not change. */
    public void updateSettings(AdmissionSettings.Lease settings) {
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

    private long otherLeaseEndNanos(long nowNanos, PreviousOwner previous) {
        if (isHandedOver(previous)) {
            return NEVER;
        }
        long drift = mSettings.driftPpm();
        long age = Math.max(0, previous.ageNanos());
        long minAge = age - driftNanos(age, drift);
        long maxLease = maxLeaseNanos();
        return minAge >= maxLease ? NEVER : nowNanos - minAge + maxLease;
    }

    private long maxLeaseNanos() {
        long duration = mSettings.durationNanos();
        return duration + driftNanos(duration, mSettings.driftPpm());
    }

    private boolean isHandedOver(PreviousOwner previous) {
        InstanceId owner = previous.owner();
        HandoverMessage message = owner == null ? null : mHandovers.get(owner);
        return message != null
                && message.incarnation() == mIncarnation
                && previous.sequence() > 0
                && previous.sequence() <= message.floorSequence();
    }

    private long leaseEndNanos(long nowNanos, Announced event) {
        long sent = earliestSentNanos(nowNanos, event);
        // An earlier process of this instance may have been paused and replaced while it held the
        // lease; the backend server names only other instances as previous owners, so the earlier
        // process is not among them.
        boolean oldProcessEnded = sent >= mProcessStartNanos + maxLeaseNanos();
        return sent != NEVER && oldProcessEnded ? sent + mSettings.durationNanos() : NEVER;
    }

    private static long driftNanos(long nanos, long ppm) {
        return nanos / PPM * ppm + nanos % PPM * ppm / PPM + 1;
    }
}
