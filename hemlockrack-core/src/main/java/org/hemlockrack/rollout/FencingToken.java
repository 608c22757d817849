package org.hemlockrack.rollout;

/**
 * Fencing number of an order. Orders of a controller with a higher authority are newer than all
 * orders of one with a lower authority, whenever they arrive.
 *
 * @param authority authority number that the replicated log gave to the controller
 * @param sequence number of the order within the authority, below {@link #MAX_SEQUENCE}
 */
public record FencingToken(long authority, long sequence) implements Comparable<FencingToken> {
    /** Orders that one authority can give; then the controller acquires another. */
    public static final long MAX_SEQUENCE = 1L << 24;

    /** Returns the number as backend servers compare it. */
    public long value() {
        return authority * MAX_SEQUENCE + sequence;
    }

    /**
     * Splits a number.
     *
     * @param value number from {@link #value}
     * @return the fence
     */
    public static FencingToken of(long value) {
        return new FencingToken(value / MAX_SEQUENCE, value % MAX_SEQUENCE);
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value(), other.value());
    }
}
