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

    /**
     * Adds an amount in equal parts over a span of time. What lies before the window is left out.
     *
     * @param nowNanos monotonic time
     * @param sinceNanos start of the span, which ends now
     * @param amount the amount
     */
    void addSince(long nowNanos, long sinceNanos, double amount) {
        advance(nowNanos);
        long spanNanos = nowNanos - sinceNanos;
        if (spanNanos <= 0) {
            add(nowNanos, amount);
            return;
        }
        long newestStartNanos = mStartNanos + mNewestSlot * mSlotNanos;
        for (int age = 0; age < mAmounts.length && age <= mNewestSlot; age++) {
            long startNanos = newestStartNanos - age * mSlotNanos;
            long fromNanos = Math.max(sinceNanos, startNanos);
            long toNanos = Math.min(nowNanos, startNanos + mSlotNanos);
            long overlapNanos = Math.max(0, toNanos - fromNanos);
            mAmounts[index(mNewestSlot - age)] += amount * overlapNanos / spanNanos;
            if (startNanos <= sinceNanos) {
                return;
            }
        }
    }

    double sum(long nowNanos) {
        advance(nowNanos);
        double sum = 0;
        for (double amount : mAmounts) {
            sum += amount;
        }
        return sum;
    }

    /**
     * Returns the sum over a part of the window. The part is rounded to whole slots and starts up
     * to a slot too early.
     *
     * @param nowNanos monotonic time
     * @param lengthNanos length of the part
     * @param ageNanos age of the end of the part
     */
    double sum(long nowNanos, long lengthNanos, long ageNanos) {
        advance(nowNanos);
        long last = mNewestSlot - ageNanos / mSlotNanos;
        long first = last - lengthNanos / mSlotNanos + 1;
        long oldest = Math.max(0, mNewestSlot - mAmounts.length + 1);
        double sum = 0;
        for (long slot = Math.max(oldest, first); slot <= last; slot++) {
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
