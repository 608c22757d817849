package org.hemlockrack.quarantine;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.wire.VerdictData;
import org.jspecify.annotations.Nullable;

/**
 * A decision about one prompt part. Of two decisions about a part the one with the higher sequence
 * number counts.
 *
 * @param part name of the part
 * @param sequence number of decisions about the part, this one included
 * @param reason why the part is held back, or why it no longer is
 * @param crashes crashes of backend servers that the decision rests on
 * @param holds how often the part has been held back
 * @param decidedNanos monotonic time of the decision
 * @param untilNanos monotonic time at which the part is no longer held back
 */
public record Verdict(
        String part,
        long sequence,
        Reason reason,
        int crashes,
        int holds,
        long decidedNanos,
        long untilNanos) {
    /** Longest time for which a part is held back. */
    static final long MAX_REMAINING_MILLIS = TimeUnit.HOURS.toMillis(1);

    /** Why a part is held back or no longer is. */
    public enum Reason {
        /** Servers crashed each time when they were to answer on the part. */
        CRASHES(true),
        /** Servers crashed again after the part was no longer held back. */
        CRASHED_AGAIN(true),
        /** A server has begun an answer on the part. */
        ANSWERED(false),
        /** Another part accounts for all of the crashes. */
        OTHER_PART(false),
        /** An operator has lifted it. */
        OPERATOR(false);

        private final boolean mHolds;

        Reason(boolean holds) {
            mHolds = holds;
        }

        /** Returns whether requests with the part are held back. */
        public boolean holds() {
            return mHolds;
        }
    }

    /** Returns whether requests with the part are held back at a time. */
    public boolean isInForce(long nowNanos) {
        return reason.holds() && untilNanos - nowNanos > 0;
    }

    /** Returns the time until the part is no longer held back, in milliseconds. */
    public long remainingMillis(long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(untilNanos - nowNanos));
    }

    /** Returns the decision that lifts this one. */
    Verdict lifted(long nowNanos, Reason why) {
        return new Verdict(part, sequence + 1, why, crashes, holds, nowNanos, nowNanos);
    }

    /** Returns whether this decision replaces another one about the same part. */
    boolean replaces(Verdict other) {
        return sequence != other.sequence
                ? sequence > other.sequence
                : !reason.holds() && other.reason.holds();
    }

    /** Returns the decision as a Thrift struct with its age instead of times. */
    public VerdictData toData(long nowNanos) {
        return new VerdictData(
                part,
                sequence,
                reason.name(),
                crashes,
                holds,
                TimeUnit.NANOSECONDS.toMillis(nowNanos - decidedNanos),
                TimeUnit.NANOSECONDS.toMillis(untilNanos - nowNanos));
    }

    /**
     * Converts a Thrift struct.
     *
     * @param data the struct
     * @param nowNanos monotonic time at which it arrived
     * @return the decision, or null if its reason is unknown here, as from a newer instance
     */
    public static @Nullable Verdict of(VerdictData data, long nowNanos) {
        for (Reason reason : Reason.values()) {
            if (reason.name().equals(data.getReason())) {
                long ageMillis = Math.max(0, data.getAgeMillis());
                long remainingMillis = Math.min(MAX_REMAINING_MILLIS, data.getRemainingMillis());
                return new Verdict(
                        data.getPart(),
                        data.getSequence(),
                        reason,
                        data.getCrashes(),
                        data.getHolds(),
                        nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis),
                        nowNanos + TimeUnit.MILLISECONDS.toNanos(remainingMillis));
            }
        }
        return null;
    }
}
