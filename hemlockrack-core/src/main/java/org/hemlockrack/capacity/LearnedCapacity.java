package org.hemlockrack.capacity;

import java.util.concurrent.TimeUnit;

/**
 * Learns the capacity of one incarnation of a server from delays, rejections and load reports. The
 * delays are those of answers; a server that does not answer has a health, not a capacity, so that
 * a cut link changes nothing here.
 */
public final class LearnedCapacity implements ServerCapacity {
    /** Part of the slots below which the limit never falls; with one request at least. */
    private static final double FLOOR = 0.1;

    /**
     * Period in which one limit is in force and observed. With 300 ms, the limits of servers that
     * had changed were followed so late that up to 12 percent of the possible answers were lost.
     */
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time constant of the mean delay. */
    private static final double DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Half of the time over which the lowest delay counts as the delay without a queue. */
    private static final long BASELINE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Age at which the delays say nothing about the speed any more. */
    private static final double DELAY_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Bound on one delay, so that a single late answer does not move the mean by much. */
    private static final double MAX_RATIO = 8;

    /** Half of the time over which the largest load without a queue counts as sustained. */
    private static final long SUSTAINED_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Delay up to which answers count as given without a queue. */
    private static final double UNQUEUED_RATIO = 1.25;

    /** Time without answers from which on the limit recovers by itself. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time in which it recovers from zero to the slots, so that an avoided server is tried. */
    private static final double IDLE_RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Largest decrease after one rejection, which may be of another cause than the load. */
    private static final double REJECTION_FACTOR = 0.85;

    private static final double PERCENT = 100;

    private final int mSlots;
    private final LimitRule mRule;
    private final WorkReports mWork = new WorkReports();
    private double mLimit;
    private boolean mHasDelay;
    private double mDelayRatio = 1;
    private long mDelayNanos;
    private double mBaseline = Double.MAX_VALUE;
    private double mEarlierBaseline = Double.MAX_VALUE;
    private long mBaselineNanos;
    private double mSustained;
    private double mEarlierSustained;
    private long mSustainedNanos;
    private long mPeriodNanos;
    private boolean mCongested;
    private double mRatioSum;
    private double mLoadSum;
    private int mSamples;

    private LearnedCapacity(int slots, LimitRule rule) {
        mSlots = Math.max(1, slots);
        mRule = rule;
        mLimit = mSlots;
    }

    /**
     * Creates the capacity of a new incarnation. It starts with the slots as limit; the pacing of
     * cold servers protects a server that has just started.
     *
     * @param slots requests that the server runs at most
     * @return the capacity
     */
    public static LearnedCapacity of(int slots) {
        return new LearnedCapacity(slots, new QueueingDelayRule());
    }

    static LearnedCapacity of(int slots, LimitRule rule) {
        return new LearnedCapacity(slots, rule);
    }

    @Override
    public double limit(long nowNanos) {
        long idleNanos = nowNanos - mPeriodNanos - IDLE_NANOS;
        if (mLimit >= mSlots || idleNanos <= 0) {
            return mLimit;
        }
        return Math.min(mSlots, mLimit + idleNanos / IDLE_RECOVERY_NANOS * mSlots);
    }

    @Override
    public double speed(long nowNanos) {
        if (mWork.isKnown(nowNanos)) {
            return PERCENT / mWork.percent(nowNanos);
        }
        if (!mHasDelay) {
            return 1;
        }
        double age = Math.min(1, (nowNanos - mDelayNanos) / DELAY_LIFETIME_NANOS);
        return 1 / (mDelayRatio + age * (1 - mDelayRatio));
    }

    @Override
    public void recordReport(long nowNanos, ReportedLoad load) {
        if (load.hasWorkPercent()) {
            mWork.record(nowNanos, load.workPercent());
        }
    }

    @Override
    public void recordDelay(long nowNanos, double ratio, int load) {
        double bounded = Math.min(MAX_RATIO, ratio);
        if (!mHasDelay) {
            mHasDelay = true;
            mPeriodNanos = nowNanos;
            mBaselineNanos = nowNanos;
            mSustainedNanos = nowNanos;
            mDelayRatio = bounded;
        } else {
            double weight = 1 - Math.exp(-(nowNanos - mDelayNanos) / DELAY_NANOS);
            mDelayRatio += Math.max(0.1, weight) * (bounded - mDelayRatio);
        }
        mDelayNanos = nowNanos;
        if (nowNanos - mBaselineNanos >= BASELINE_NANOS) {
            mEarlierBaseline = mBaseline;
            mBaseline = mDelayRatio;
            mBaselineNanos = nowNanos;
        }
        mBaseline = Math.min(mBaseline, mDelayRatio);
        mRatioSum += bounded;
        mLoadSum += load;
        mSamples++;
        if (nowNanos - mPeriodNanos >= PERIOD_NANOS) {
            endPeriod(nowNanos);
        }
    }

    private void endPeriod(long nowNanos) {
        double limit = limit(nowNanos);
        double work = mWork.percent(nowNanos);
        double unqueued =
                mWork.isKnown(nowNanos)
                        ? work / PERCENT
                        : Math.max(1, Math.min(mBaseline, mEarlierBaseline));
        double load = mLoadSum / mSamples;
        LimitRule.Observation observed =
                new LimitRule.Observation(load, mRatioSum / mSamples / unqueued, work, mSlots);
        recordSustained(nowNanos, observed.delayRatio() <= UNQUEUED_RATIO ? load : 0);
        // A delay at a load that was sustained a moment ago is that of a slower machine, which
        // speed() accounts for, and not that of a queue.
        double sustained = Math.max(mSustained, mEarlierSustained);
        double next = Math.max(sustained, mRule.next(limit, observed));
        boolean congested = next < limit;
        // The first late answers after a slowdown of all servers, or of this gateway, come before
        // the delay is known to be common. A second period tells.
        setLimit(congested && !mCongested ? limit : next);
        mCongested = congested;
        mRatioSum = 0;
        mLoadSum = 0;
        mSamples = 0;
        mPeriodNanos = nowNanos;
    }

    private void recordSustained(long nowNanos, double load) {
        if (nowNanos - mSustainedNanos >= SUSTAINED_NANOS) {
            mEarlierSustained = mSustained;
            mSustained = 0;
            mSustainedNanos = nowNanos;
        }
        mSustained = Math.max(mSustained, load);
    }

    private void setLimit(double limit) {
        double floor = Math.max(1, FLOOR * mSlots);
        mLimit = Math.max(floor, Math.min(mSlots, limit));
    }

    @Override
    public void recordRejection(long nowNanos, int load) {
        // The server counts more exactly than the gateways, whose view of the load is delayed.
        double limit = limit(nowNanos);
        if (load < limit) {
            setLimit(Math.max(load, REJECTION_FACTOR * limit));
            mPeriodNanos = nowNanos;
        }
    }
}
