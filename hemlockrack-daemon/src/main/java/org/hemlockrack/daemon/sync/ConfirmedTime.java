package org.hemlockrack.daemon.sync;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.wire.SyncReply;
import org.jspecify.annotations.Nullable;

/**
 * The newest time at which the state of this instance is known to have held every change that was
 * committed by then. A majority confirms it to the leader; other instances learn it from replies.
 * Thread-safe.
 */
public final class ConfirmedTime {
    private boolean mKnown;
    private long mNanos;

    private ConfirmedTime() {}

    /** Creates a time that is not known yet. */
    public static ConfirmedTime unknown() {
        return new ConfirmedTime();
    }

    /**
     * Records a confirmation; an older one than the newest changes nothing.
     *
     * @param atNanos monotonic time at which the confirmation was requested
     */
    public synchronized void record(long atNanos) {
        if (!mKnown || atNanos - mNanos > 0) {
            mNanos = atNanos;
        }
        mKnown = true;
    }

    /**
     * Records the confirmation that a reply states, if it states one. The caller holds the state of
     * the reply or a newer one.
     *
     * @param reply the reply
     * @param requestNanos monotonic time of the request; the reply may be as old as that
     */
    public void record(SyncReply reply, long requestNanos) {
        if (reply.isSetConfirmedAgeMillis()) {
            record(requestNanos - TimeUnit.MILLISECONDS.toNanos(reply.getConfirmedAgeMillis()));
        }
    }

    /**
     * States the age of the newest confirmation in a reply. Called before the state of the reply is
     * read, which is then as new as the confirmation or newer.
     *
     * @param reply the reply
     * @param nowNanos monotonic time
     */
    public synchronized void describe(SyncReply reply, long nowNanos) {
        if (mKnown) {
            reply.setConfirmedAgeMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos - mNanos) + 1);
        }
    }

    /**
     * Returns whether the newest confirmation is at most so old.
     *
     * @param nowNanos monotonic time
     * @param ageNanos the age
     */
    public synchronized boolean isWithin(long nowNanos, long ageNanos) {
        return mKnown && nowNanos - mNanos < ageNanos;
    }

    /** Returns the newest confirmed time, or null if none is known. */
    public synchronized @Nullable Long nanos() {
        return mKnown ? mNanos : null;
    }

    /**
     * Returns the newest confirmed time.
     *
     * @param otherwise returned if no time is known
     */
    public synchronized long nanosOr(long otherwise) {
        return mKnown ? mNanos : otherwise;
    }
}
