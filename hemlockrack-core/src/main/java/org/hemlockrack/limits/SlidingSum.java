package org.hemlockrack.limits;

/**
 * Sum of amounts over a sliding window. Amounts leave the sum up to a slot later than their age
 * reaches the window, never earlier. Not thread-safe; time is monotonic and passed in.
 */
final class SlidingSum {
    private final long mSlotNanos;
    private final double[] mAmounts;
    private long mStartNanos;
    private long mNewestSlot;

    private SlidingSum(long nowNanos, long windowNanos, int slots) {
        mStartNanos = nowNanos;
        mSlotNanos = Math.max(1, (windowNanos + slots - 1) / slots);
        mAmounts = new double[slots + 1];
    }

    /**
     * Creates a sum whose window is empty.
     *
     * @param nowNanos monotonic time
     * @param windowNanos length of the window
     * @param slots parts of the window; an amount leaves the sum up to one part too late
     */
    static SlidingSum empty(long nowNanos, long windowNanos, int slots) {
        return new SlidingSum(nowNanos, windowNanos, slots);
    }

    void add(long nowNanos, double amount) {
        advance(nowNanos);
        mAmounts[index(mNewestSlot)] += amount;
    }

    double sum(long nowNanos) {
        return sum(nowNanos, Long.MAX_VALUE);
    }

    /**
     * Returns the sum over the newest part of the window.
     *
     * @param nowNanos monotonic time
     * @param withinNanos length of the part; the whole window if it is longer than that
     */
    double sum(long nowNanos, long withinNanos) {
        advance(nowNanos);
        long slots = Math.min(mAmounts.length - 1, (withinNanos - 1) / mSlotNanos + 1);
        double sum = 0;
        for (long slot = Math.max(0, mNewestSlot - slots); slot <= mNewestSlot; slot++) {
            sum += mAmounts[index(slot)];
        }
        return sum;
    }

    private void advance(long nowNanos) {
        long slot = (nowNanos - mStartNanos) / mSlotNanos;
        long expired = Math.min(slot - mNewestSlot, mAmounts.length);
        for (long i = 1; i <= expired; i++) {
            mAmounts[index(mNewestSlot + i)] = 0;
        }
        mNewestSlot = Math.max(mNewestSlot, slot);
    }

    private int index(long slot) {
        return (int) (slot % mAmounts.length);
    }
}
