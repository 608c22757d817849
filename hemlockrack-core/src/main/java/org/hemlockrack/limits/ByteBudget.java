package org.hemlockrack.limits;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the bytes that all connections of an instance keep together. A connection reserves bytes
 * before it keeps them. Thread-safe.
 */
public final class ByteBudget {
    private final long mLimitBytes;
    private final AtomicLong mReservedBytes = new AtomicLong();

    private ByteBudget(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param limitBytes bytes that can be reserved at the same time
     * @return the budget
     */
    public static ByteBudget of(long limitBytes) {
        return new ByteBudget(limitBytes);
    }

    /**
     * Reserves bytes if they are within the limit.
     *
     * @param bytes number of bytes, not negative
     * @return the reservation, or null if less than that is left
     */
    public @Nullable Reservation tryReserve(long bytes) {
        long reserved = mReservedBytes.get();
        while (bytes <= mLimitBytes - reserved) {
            if (mReservedBytes.compareAndSet(reserved, reserved + bytes)) {
                return new Reservation(bytes);
            }
            reserved = mReservedBytes.get();
        }
        return null;
    }

    /** Returns the number of reserved bytes. */
    public long reservedBytes() {
        return mReservedBytes.get();
    }

    /** Bytes that were reserved and not yet returned to the budget. */
    public final class Reservation implements AutoCloseable {
        private final long mBytes;
        private final AtomicBoolean mClosed = new AtomicBoolean();

        private Reservation(long bytes) {
            mBytes = bytes;
        }

        /** Returns the number of bytes. */
        public long bytes() {
            return mBytes;
        }

        /** Returns the bytes to the budget. Later calls have no effect. */
        @Override
        public void close() {
            if (mClosed.compareAndSet(false, true)) {
                mReservedBytes.addAndGet(-mBytes);
            }
        }
    }
}
