package org.hemlockrack.duties;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.routing.AutoscaleSpec;

/** The plan of one service in one zone. */
final class ZonePlan {
    /** Share of the slots that is to be in use; the rest absorbs what the forecast misses. */
    private static final double TARGET_USE = 0.7;

    /**
     * Use above which servers are added, and below which they may be removed. At 0.55 a zone keeps
     * more than a quarter more servers than its target.
     */
    private static final double ADD_USE = 0.75;

    private static final double REMOVE_USE = 0.62;

    /** Time constants of the two averages whose difference gives the trend. */
    private static final double FAST_SECONDS = 2;

    private static final double SLOW_SECONDS = 10;

    /** Most that the forecast exceeds the present demand; a steep start would overshoot. */
    private static final double MAX_GROWTH = 2;

    /** Time for which more servers must be needed before they are ordered. */
    private static final long ADD_STABLE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time without decisions after the first observation; servers register meanwhile. */
    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Time for which fewer servers must have sufficed before one is removed. */
    private static final long REMOVE_HOLD_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** Time between two removals, and the largest part of the servers that one removes. */
    private static final long REMOVE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final int REMOVE_DIVISOR = 8;

    /**
     * Time after an accepted order, beyond that of the boot, until another number of servers means
     * that an older call took effect late; then the order is repeated.
     */
    private static final long MISMATCH_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** Longer than a crashed server takes to register again. */
    private static final long CRASH_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final int NOT_ACCEPTED = -1;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MILLIS_PER_SECOND = 1_000;

    private record Required(long atNanos, int servers) {}

    private final Deque<Required> mRequired = new ArrayDeque<>();
    private boolean mObserved;
    private long mFirstNanos;
    private long mLastNanos;
    private double mFast;
    private double mSlow;
    private ZoneDemand mDemand = new ZoneDemand(0, 1, 0, 0);
    private boolean mOrdered;
    private int mWanted;
    private int mAccepted = NOT_ACCEPTED;
    private boolean mNeedsMore;
    private long mNeedsMoreNanos;
    private long mLastRemovalNanos;
    private long mMatchedNanos;
    private long mFewerNanos;

    /** Records the demand. */
    void observe(long nowNanos, ZoneDemand demand) {
        double slots = demand.slots();
        if (!mObserved) {
            mObserved = true;
            mFirstNanos = nowNanos;
            mLastRemovalNanos = nowNanos;
            mMatchedNanos = nowNanos;
            mFast = slots;
            mSlow = slots;
        }
        double seconds = (nowNanos - mLastNanos) / NANOS_PER_SECOND;
        if (nowNanos != mFirstNanos) {
            mFast += (slots - mFast) * (1 - Math.exp(-seconds / FAST_SECONDS));
            mSlow += (slots - mSlow) * (1 - Math.exp(-seconds / SLOW_SECONDS));
        }
        mLastNanos = nowNanos;
        mDemand = demand;
        if (!mOrdered) {
            followServers(nowNanos, demand.servers());
        }
        if (demand.servers() == mWanted) {
            mMatchedNanos = nowNanos;
        }
    }

    /**
     * Takes the number of servers that run for the one that the platform was told before. A number
     * that is lower for a short time means that servers have crashed.
     */
    private void followServers(long nowNanos, int servers) {
        if (servers >= mWanted) {
            mFewerNanos = nowNanos;
        }
        if (servers >= mWanted || nowNanos - mFewerNanos >= CRASH_NANOS) {
            mWanted = servers;
        }
    }

    double smoothedSlots() {
        return mFast;
    }

    /** Decides how many servers are wanted. */
    void decide(long nowNanos, AutoscaleSpec spec, double lostZoneSlots) {
        double forecast = forecast(spec);
        int required = serversFor(forecast, TARGET_USE, spec);
        // The loss of a zone is a reason to keep servers, not one to pay for more.
        rememberRequired(nowNanos, Math.max(required, serversFor(mFast + lostZoneSlots, 1, spec)));
        if (nowNanos - mFirstNanos < WARM_UP_NANOS) {
            return;
        }
        if (!mOrdered) {
            mWanted = Math.max(spec.minReplicas(), Math.min(spec.maxReplicas(), mWanted));
        }
        boolean needsMore = required > mWanted && isAbove(forecast, ADD_USE);
        if (needsMore && !mNeedsMore) {
            mNeedsMoreNanos = nowNanos;
        }
        mNeedsMore = needsMore;
        if (needsMore) {
            if (nowNanos - mNeedsMoreNanos >= ADD_STABLE_NANOS) {
                setWanted(nowNanos, required);
            }
            return;
        }
        remove(nowNanos);
        repeatIfOverwritten(nowNanos, spec);
    }

    /** Returns the demand that is expected when a server ordered now is warm. */
    private double forecast(AutoscaleSpec spec) {
        double leadSeconds = (spec.bootMillis() + spec.coldMillis()) / MILLIS_PER_SECOND;
        double slotsPerSecond = Math.max(0, mFast - mSlow) / (SLOW_SECONDS - FAST_SECONDS);
        return Math.min(mFast + slotsPerSecond * leadSeconds, mFast * MAX_GROWTH);
    }

    private int serversFor(double slots, double use, AutoscaleSpec spec) {
        int servers = (int) Math.ceil(slots / (use * mDemand.slotsPerServer()));
        return Math.max(spec.minReplicas(), Math.min(spec.maxReplicas(), servers));
    }

    private boolean isAbove(double slots, double use) {
        return slots > use * mDemand.slotsPerServer() * mWanted;
    }

    private void rememberRequired(long nowNanos, int servers) {
        while (!mRequired.isEmpty() && mRequired.peekLast().servers() <= servers) {
            mRequired.pollLast();
        }
        mRequired.addLast(new Required(nowNanos, servers));
        while (nowNanos - mRequired.peekFirst().atNanos() > REMOVE_HOLD_NANOS) {
            mRequired.pollFirst();
        }
    }

    private void remove(long nowNanos) {
        int largest = mRequired.peekFirst().servers();
        boolean isDue =
                nowNanos - mFirstNanos >= REMOVE_HOLD_NANOS
                        && nowNanos - mLastRemovalNanos >= REMOVE_PAUSE_NANOS;
        if (isDue && largest < mWanted && !isAbove(mFast, REMOVE_USE)) {
            mLastRemovalNanos = nowNanos;
            int step = Math.max(1, mWanted / REMOVE_DIVISOR);
            setWanted(nowNanos, Math.max(largest, mWanted - step));
        }
    }

    private void setWanted(long nowNanos, int servers) {
        mWanted = servers;
        mMatchedNanos = nowNanos;
        mOrdered = true;
    }

    private void repeatIfOverwritten(long nowNanos, AutoscaleSpec spec) {
        long leadNanos = TimeUnit.MILLISECONDS.toNanos(spec.bootMillis() + spec.coldMillis());
        if (mAccepted == mWanted && nowNanos - mMatchedNanos > MISMATCH_NANOS + leadNanos) {
            mAccepted = NOT_ACCEPTED;
            mMatchedNanos = nowNanos;
        }
    }

    int wanted() {
        return mWanted;
    }

    /** Returns whether the platform is to be told the number of servers. */
    boolean isPending() {
        return mOrdered && mAccepted != mWanted;
    }

    /** Returns whether more servers are wanted than run. */
    boolean isIncrease() {
        return mWanted > mDemand.servers();
    }

    /** Records that an order is on its way, after which an older accepted one may be replaced. */
    void recordSent(int servers) {
        if (servers != mAccepted) {
            mAccepted = NOT_ACCEPTED;
        }
    }

    void recordAccepted(long nowNanos, int servers) {
        mAccepted = servers;
        mMatchedNanos = nowNanos;
    }
}
