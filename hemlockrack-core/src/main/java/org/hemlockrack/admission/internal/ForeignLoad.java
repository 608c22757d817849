package org.hemlockrack.admission.internal;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Estimates the foreign load of a backend server: requests in flight that this owner did not
 * dispatch.
 *
 * <p>Each reported load minus the minimum own load since the report was sent is an upper bound of
 * the foreign load at that time. Only one instance dispatches at a time, so the foreign load only
 * decreases after the lease began, and the minimum of the last bounds is a bound too. Requests that
 * reach the backend server without any instance are detected once they last for the whole window.
 */
public final class ForeignLoad {
    // 8 s at the usual report period. With a shorter window and short requests, more of the own
    // load that was sampled above its minimum counts as foreign.
    private static final int WINDOW_REPORTS = 16;
    // Number of reports after a handover that may lack requests that the handover lists, because
    // they were in flight.
    private static final int REPORTS_DURING_HANDOVER = 2;

    private static final int MAX_HISTORY = 8_192;
    private static final long HISTORY_NANOS = 2_000_000_000L;

    private final ArrayDeque<Integer> mBounds = new ArrayDeque<>();
    private final ArrayDeque<OwnLoadChange> mHistory = new ArrayDeque<>();
    private int mHandedOverLoad;
    private int mReportsDuringHandover;

    private record OwnLoadChange(long atNanos, int ownLoad) {}

    /** Creates an estimate of 0. */
    public ForeignLoad() {
        mHistory.add(new OwnLoadChange(Long.MIN_VALUE, 0));
    }

    /** Discards all reports, because another instance may have dispatched requests until now. */
    public void clearReports() {
        mBounds.clear();
    }

    /**
     * Records the own load after an event.
     *
     * @param nowNanos monotonic time
     * @param ownLoad number of requests dispatched by this owner and not finished
     */
    public void recordOwnLoad(long nowNanos, int ownLoad) {
        if (mHistory.getLast().ownLoad() == ownLoad) {
            return;
        }
        mHistory.addLast(new OwnLoadChange(nowNanos, ownLoad));
        dropHistoryBefore(nowNanos - HISTORY_NANOS);
    }

    /**
     * Adds a load report of the backend server.
     *
     * @param sentNanos lower bound of the time at which it was sent
     * @param reported number of requests in flight at the backend server
     */
    public void addReport(long sentNanos, int reported) {
        if (mReportsDuringHandover > 0) {
            mReportsDuringHandover--;
            // Reports that may lack handed-over requests must not set the minimum of the window.
            mBounds.clear();
        }
        mBounds.addLast(Math.max(0, reported - minOwnLoadSince(sentNanos)));
        if (mBounds.size() > WINDOW_REPORTS) {
            mBounds.removeFirst();
        }
    }

    /**
     * Records the requests in flight that a previous owner handed over.
     *
     * @param load number of requests
     */
    public void addHandover(int load) {
        clearReports();
        mHandedOverLoad = load;
        mReportsDuringHandover = REPORTS_DURING_HANDOVER;
    }

    /** Returns the estimated foreign load. */
    public int value() {
        int minimum = Integer.MAX_VALUE;
        for (int bound : mBounds) {
            minimum = Math.min(minimum, bound);
        }
        int reported = mBounds.isEmpty() ? 0 : minimum;
        return mReportsDuringHandover > 0 ? Math.max(reported, mHandedOverLoad) : reported;
    }

    /** Drops changes before the horizon except the last one, whose value applied at the horizon. */
    private void dropHistoryBefore(long horizonNanos) {
        while (mHistory.size() > 1) {
            OwnLoadChange first = mHistory.removeFirst();
            boolean nextIsAfterHorizon = mHistory.getFirst().atNanos() > horizonNanos;
            if (nextIsAfterHorizon && mHistory.size() < MAX_HISTORY) {
                mHistory.addFirst(first);
                return;
            }
        }
    }

    /**
     * Returns the minimum own load since a time, or 0 for a time before the history: the bound is
     * then the whole reported load.
     */
    private int minOwnLoadSince(long sentNanos) {
        int minimum = Integer.MAX_VALUE;
        Iterator<OwnLoadChange> changes = mHistory.descendingIterator();
        while (changes.hasNext()) {
            OwnLoadChange change = changes.next();
            minimum = Math.min(minimum, change.ownLoad());
            if (change.atNanos() <= sentNanos) {
                return minimum;
            }
        }
        return 0;
    }
}
