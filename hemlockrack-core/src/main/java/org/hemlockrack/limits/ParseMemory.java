package org.hemlockrack.limits;

import java.util.concurrent.atomic.AtomicLong;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;

/**
 * Bounds the memory of what is parsed at the same time. A text or message of small values becomes
 * many times its length, so a parse reserves what its input can become. Thread-safe.
 */
public final class ParseMemory {
    /** Memory of one parsed value: its node, its entry in an ordered map and its name. */
    private static final long VALUE_BYTES = 96;

    /** Memory for each byte of a text: the parser's buffer and the copy in a value. */
    private static final long TEXT_BYTE_FACTOR = 4;

    /** The process uses at most this part of its heap for parsing. */
    private static final long HEAP_DIVISOR = 4;

    /** Bytes that a parse uses without a reservation, so that small messages need none. */
    private static final long FREE_BYTES = 8 << 10;

    /** Reservations grow in steps of at least this size. */
    private static final long STEP_BYTES = 64 << 10;

    private static final ParseMemory PROCESS = of(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);

    private final long mLimitBytes;
    private final AtomicLong mReservedBytes = new AtomicLong();
    private final AtomicLong mRefusals = new AtomicLong();

    private ParseMemory(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param limitBytes bytes that all parses can use together
     * @return the budget
     */
    public static ParseMemory of(long limitBytes) {
        return new ParseMemory(limitBytes);
    }

    /** Returns the budget that all ports of this process share, a quarter of the heap. */
    public static ParseMemory ofProcess() {
        return PROCESS;
    }

    /**
     * Returns the memory that the tree of a JSON or TOML text can take at most while it is parsed.
     *
     * @param text the text
     * @return bytes
     */
    public static long treeBytes(byte[] text) {
        long values = 1;
        for (byte each : text) {
            // A value is the first of a container, or follows another one, or a key in TOML.
            boolean precedesValue =
                    each == ',' || each == '[' || each == '{' || each == '=' || each == '.';
            values += precedesValue ? 1 : 0;
        }
        return values * VALUE_BYTES + text.length * TEXT_BYTE_FACTOR;
    }

    /**
     * Reserves memory for the tree of a JSON or TOML text.
     *
     * @param text the text
     * @return the reservation, to be closed when the tree is not used any more
     * @throws HemlockrackException with {@link ErrorKind#BODY_TOO_LARGE} if the tree never fits, or
     *     {@link ErrorKind#OVERLOADED} if it does not fit now
     */
    public Meter reserveTree(byte[] text) {
        Meter meter = open();
        meter.add(treeBytes(text));
        return meter;
    }

    /** Starts a parse that has used nothing yet. */
    public Meter open() {
        return new Meter();
    }

    /** Returns the bytes that are reserved. */
    public long reservedBytes() {
        return mReservedBytes.get();
    }

    /** Returns how many parses found no room so far. */
    public long refusals() {
        return mRefusals.get();
    }

    private boolean tryReserve(long bytes) {
        long reserved = mReservedBytes.get();
        while (bytes <= mLimitBytes - reserved) {
            if (mReservedBytes.compareAndSet(reserved, reserved + bytes)) {
                return true;
            }
            reserved = mReservedBytes.get();
        }
        return false;
    }

    private HemlockrackException refusal(long bytes) {
        mRefusals.incrementAndGet();
        if (bytes > mLimitBytes) {
            return HemlockrackException.of(
                    ErrorKind.BODY_TOO_LARGE,
                    String.format(ErrorText.PARSED_TOO_LARGE, bytes, mLimitBytes));
        }
        return HemlockrackException.of(ErrorKind.OVERLOADED, ErrorText.MEMORY_SHORT);
    }

    /** Memory of one parse. Confined to one thread. */
    public final class Meter implements AutoCloseable {
        private long mUsedBytes;
        private long mHeldBytes;

        /**
         * Adds memory that is about to be allocated.
         *
         * @param bytes number of bytes
         * @throws HemlockrackException as {@link #reserveTree} does
         */
        public void add(long bytes) {
            mUsedBytes += bytes;
            long missingBytes = mUsedBytes - FREE_BYTES - mHeldBytes;
            if (missingBytes <= 0) {
                return;
            }
            long stepBytes = Math.max(STEP_BYTES, missingBytes);
            if (!tryReserve(stepBytes)) {
                throw refusal(mUsedBytes);
            }
            mHeldBytes += stepBytes;
        }

        /** Returns the memory to the budget. The meter can be used again. */
        @Override
        public void close() {
            mReservedBytes.addAndGet(-mHeldBytes);
            mHeldBytes = 0;
            mUsedBytes = 0;
        }
    }
}
