package org.hemlockrack.rollout;

/**
 * Fencing token of an order. Tokens are ordered by authority number first: every order of a newer
 * controller supersedes all orders of earlier controllers, whichever arrives first.
 *
 * @param authority authority number (controller epoch) that the replicated log assigned to the
 *     controller
 * @param sequence sequence number of the order under this authority number, below {@link
 *     #MAX_SEQUENCE}
 */
public record FencingToken(long authority, long sequence) implements Comparable<FencingToken> {
    /**
     * Number of orders that a controller can issue under one authority number; then it acquires
     * another one.
     */
    public static final long MAX_SEQUENCE = 1L << 24;

    /** Returns the token as the single number that backend servers compare. */
    public long value() {
        return authority * MAX_SEQUENCE + sequence;
    }

    /**
     * Creates a token from its numeric form.
     *
     * @param value number from {@link #value}
     * @return the token
     */
    public static FencingToken of(long value) {
        return new FencingToken(value / MAX_SEQUENCE, value % MAX_SEQUENCE);
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value(), other.value());
    }
}
