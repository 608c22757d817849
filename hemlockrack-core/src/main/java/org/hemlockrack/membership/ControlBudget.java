package org.hemlockrack.membership;

import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/**
 * Hard limit on the bytes of control traffic that one instance sends.
 *
 * <p>A token bucket whose burst is a quarter of the budget and whose refill is three quarters of it
 * per second. Any window of one second therefore carries at most the budget, and a window of T
 * seconds at most {@code burst + T * refill}. Not thread-safe.
 */
public final class ControlBudget {
    /** Default budget in bytes per second. */
    public static final long DEFAULT_BYTES_PER_SECOND = 4_096;

    /** Budget at the projected full fleet size in bytes per second. */
    public static final long FULL_SIZE_BYTES_PER_SECOND = 25_000;

    /**
     * Bytes of one message besides the payload and the two instance names: TCP/IP headers with
     * timestamps (52), the acknowledgement segment of the receiver (52), the frame length (4), the
     * Thrift call header and argument list of {@code deliver} (14) and the envelope's own fields
     * (10). The acknowledgement is charged to the sender of the data, so that it is counted once.
     */
    public static final int MESSAGE_OVERHEAD_BYTES = 52 + 52 + 4 + 14 + 10;

    private static final long MIN_BYTES_PER_SECOND = 2_048;
    private static final double NANOS_PER_SECOND = 1e9;

    private final long mBytesPerSecond;
    private final long mBurstBytes;
    private final double mRefillBytesPerNano;
    private final long[] mSentBytes = new long[TrafficClass.values().length];
    private final long[] mDeferred = new long[TrafficClass.values().length];
    private final long[] mDropped = new long[TrafficClass.values().length];

    private double mTokens;
    private long mRefilledAtNanos;

    private ControlBudget(long bytesPerSecond, long nowNanos) {
        mBytesPerSecond = bytesPerSecond;
        mBurstBytes = bytesPerSecond / 4;
        mRefillBytesPerNano = (bytesPerSecond - mBurstBytes) / NANOS_PER_SECOND;
        mTokens = mBurstBytes;
        mRefilledAtNanos = nowNanos;
    }

    /**
     * Creates a budget with a full bucket.
     *
     * @param bytesPerSecond most bytes in any window of one second, at least 2,048
     * @param nowNanos monotonic time
     * @return the budget
     * @throws HemlockrackException with {@link ErrorKind#SETTINGS_INVALID} if it is too small for
     *     one message
     */
    public static ControlBudget of(long bytesPerSecond, long nowNanos) {
        if (bytesPerSecond < MIN_BYTES_PER_SECOND) {
            String text =
                    String.format(
                            "control budget of %d B/s is below the least of %d B/s",
                            bytesPerSecond, MIN_BYTES_PER_SECOND);
            throw HemlockrackException.of(ErrorKind.SETTINGS_INVALID, text);
        }
        return new ControlBudget(bytesPerSecond, nowNanos);
    }

    /**
     * Returns the wire bytes that one message is charged.
     *
     * @param payloadBytes length of the payload
     * @param nameBytes length of the sender's and the target's name together
     * @return bytes to charge
     */
    public static int messageBytes(int payloadBytes, int nameBytes) {
        return MESSAGE_OVERHEAD_BYTES + payloadBytes + nameBytes;
    }

    /**
     * Charges a message if its class may send that many bytes now.
     *
     * @param nowNanos monotonic time
     * @param trafficClass class of the message
     * @param bytes wire bytes, see {@link #messageBytes}
     * @return false if the message must not be sent now; the refusal is counted as deferred
     */
    public boolean tryCharge(long nowNanos, TrafficClass trafficClass, int bytes) {
        if (availableBytes(nowNanos, trafficClass) < bytes) {
            mDeferred[trafficClass.ordinal()]++;
            return false;
        }
        mTokens -= bytes;
        mSentBytes[trafficClass.ordinal()] += bytes;
        return true;
    }

    /**
     * Returns the bytes that a class may send now.
     *
     * @param nowNanos monotonic time
     * @param trafficClass the class
     * @return bytes, 0 if none
     */
    public long availableBytes(long nowNanos, TrafficClass trafficClass) {
        refill(nowNanos);
        return Math.max(0, (long) mTokens - trafficClass.reserveBytes(mBurstBytes));
    }

    /**
     * Counts a message or an item that is dropped.
     *
     * @param trafficClass its class
     */
    public void countDropped(TrafficClass trafficClass) {
        mDropped[trafficClass.ordinal()]++;
    }

    /** Returns the most bytes in any window of one second. */
    public long bytesPerSecond() {
        return mBytesPerSecond;
    }

    /** Returns the size of the token bucket in bytes. */
    public long burstBytes() {
        return mBurstBytes;
    }

    /** Returns the refill in bytes per second. */
    public long refillBytesPerSecond() {
        return mBytesPerSecond - mBurstBytes;
    }

    /** Returns the wire bytes charged to a class so far. */
    public long sentBytes(TrafficClass trafficClass) {
        return mSentBytes[trafficClass.ordinal()];
    }

    /** Returns how often a message of a class was refused for lack of budget. */
    public long deferredCount(TrafficClass trafficClass) {
        return mDeferred[trafficClass.ordinal()];
    }

    /** Returns how many messages or items of a class were dropped. */
    public long droppedCount(TrafficClass trafficClass) {
        return mDropped[trafficClass.ordinal()];
    }

    private void refill(long nowNanos) {
        long elapsedNanos = Math.max(0, nowNanos - mRefilledAtNanos);
        mTokens = Math.min(mBurstBytes, mTokens + elapsedNanos * mRefillBytesPerNano);
        mRefilledAtNanos = Math.max(mRefilledAtNanos, nowNanos);
    }
}
