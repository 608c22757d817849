package org.hemlockrack.scheduling;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Measures how fast a queue is served, by turn class ({@link ShareView#turnClass}): workspaces
 * above their share are held back, which says nothing about the others of their rank. Only time in
 * which requests of the class waited counts, as an empty queue says nothing about its rate. A
 * gateway that has served few is helped out by the fleet's sums and the time that requests take.
 * Not thread-safe.
 */
public final class DrainRate {
    /**
     * Served requests, after decay, from which a wait is estimated from the measured rate. With
     * three, requests of workspaces under their share were refused by chance.
     */
    private static final double MIN_TAKEN = 10;

    /** Returned if a wait cannot be estimated. */
    public static final long UNKNOWN = -1;

    /** Time constant of the average; several exchanges with the controllers. */
    private static final double AVERAGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * A measurement ends after a longer time without waiting requests. Until then a low rate
     * refuses requests that a recovered service could serve.
     */
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final TreeMap<Integer, TurnClass> mClasses = new TreeMap<>();
    private final ServiceTime mServiceTime = new ServiceTime();

    private static final class TurnClass {
        private double mTaken;
        private double mBacklogNanos;
        private long mLastNanos;
        private long mBacklogEndNanos;
        private boolean mHasBacklog;

        private void advance(long nowNanos) {
            long elapsedNanos = nowNanos - mLastNanos;
            mLastNanos = nowNanos;
            if (mHasBacklog) {
                double kept = Math.exp(-elapsedNanos / AVERAGE_NANOS);
                mTaken *= kept;
                mBacklogNanos = mBacklogNanos * kept + elapsedNanos;
                mBacklogEndNanos = nowNanos;
            } else if (nowNanos - mBacklogEndNanos > EXPIRY_NANOS) {
                mTaken = 0;
                mBacklogNanos = 0;
            }
        }
    }

    private DrainRate() {}

    /** Creates a measurement without samples. */
    public static DrainRate create() {
        return new DrainRate();
    }

    /**
     * Records which classes have waiting requests from now on.
     *
     * @param nowNanos monotonic time
     * @param waiting number of waiting requests by class; classes without any may be absent
     */
    public void recordBacklog(long nowNanos, Map<Integer, Integer> waiting) {
        waiting.keySet().forEach(each -> mClasses.computeIfAbsent(each, key -> new TurnClass()));
        mClasses.forEach(
                (key, measured) -> {
                    measured.advance(nowNanos);
                    measured.mHasBacklog = waiting.getOrDefault(key, 0) > 0;
                });
    }

    /**
     * Records that a waiting request was served.
     *
     * @param nowNanos monotonic time
     * @param turnClass its class
     */
    public void recordTaken(long nowNanos, int turnClass) {
        TurnClass measured = mClasses.computeIfAbsent(turnClass, key -> new TurnClass());
        measured.advance(nowNanos);
        measured.mTaken++;
    }

    /**
     * Returns the requests of a class that were served in a second while some waited.
     *
     * @param turnClass the class
     * @return the rate, 0 if it is not known
     */
    public double perSecond(int turnClass) {
        TurnClass measured = mClasses.get(turnClass);
        if (measured == null || measured.mTaken <= 0 || measured.mBacklogNanos <= 0) {
            return 0;
        }
        return measured.mTaken * NANOS_PER_SECOND / measured.mBacklogNanos;
    }

    /**
     * Records how long a request of this gateway took at its server.
     *
     * @param nanos the time
     */
    public void recordServiceTime(long nanos) {
        mServiceTime.add(nanos);
    }

    /**
     * Estimates the wait of a request, from what this gateway has served if that is enough, else
     * from the fleet's sums.
     *
     * @param call the request
     * @param moreUrgent waiting requests of this gateway of classes that are served first
     * @param ahead waiting requests of its own class that are served before it
     * @param view who uses and waits for the service
     * @return the wait in nanoseconds, or {@link #UNKNOWN}
     */
    public long estimateNanos(QueuedCall call, int moreUrgent, int ahead, ShareView view) {
        int turnClass =
                ShareView.turnClass(call.rank(), view.isClearlyAboveShare(call.workspace()));
        TurnClass measured = mClasses.get(turnClass);
        boolean hasEnough = measured != null && measured.mTaken >= MIN_TAKEN;
        return hasEnough
                ? waitNanos(turnClass, moreUrgent, ahead)
                : fleetWaitNanos(call.rank(), call.workspace(), view);
    }

    /**
     * Estimates from the fleet's sums how long a request waits that is the last of its rank and
     * workspace.
     *
     * @param rank its rank
     * @param workspace its workspace
     * @param view who uses and waits for the service
     * @return the wait in nanoseconds, or {@link #UNKNOWN}
     */
    private long fleetWaitNanos(int rank, String workspace, ShareView view) {
        double ahead = view.waitingBefore(rank, workspace);
        long waitNanos = mServiceTime.estimateWaitNanos(ahead, view.running());
        return waitNanos > 0 ? waitNanos : UNKNOWN;
    }

    /**
     * Estimates the wait of a request from what this gateway has served.
     *
     * @param turnClass its class
     * @param moreUrgent waiting requests of classes that are served first
     * @param ahead waiting requests of its own class that are served before it
     * @return the wait in nanoseconds, or {@link #UNKNOWN}
     */
    private long waitNanos(int turnClass, int moreUrgent, int ahead) {
        double own = perSecond(turnClass);
        if (own <= 0) {
            return UNKNOWN;
        }
        double all = 0;
        for (int each : mClasses.headMap(turnClass, true).keySet()) {
            all += perSecond(each);
        }
        return (long) ((moreUrgent / all + (ahead + 1) / own) * NANOS_PER_SECOND);
    }
}
