package org.hemlockrack.admission.internal;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Requests that a backend server works on and that this owner did not dispatch.
 *
 * <p>Each report minus the least own load around its sending time is an upper bound of the foreign
 * load then. Only one instance admits at a time, so the foreign load falls after the right began
 * and the least of the last bounds holds. Work that reaches the backend server past all instances
 * is seen once it lasts for the whole window.
 */
public final class ForeignLoad {
    // 8 s at the usual period. A shorter window counts more of the difference between a sampled and
    // a least own load as foreign when requests are short.
    private static final int WINDOW_REPORTS = 16;
    // A report that was in flight when the handover came may miss work that the handover lists.
    private static final int HANDOVER_REPORTS = 2;

    private static final int MAX_HISTORY = 8_192;
    private static final long HISTORY_NANOS = 2_000_000_000L;

    private final ArrayDeque<Integer> mBounds = new ArrayDeque<>();
    private final ArrayDeque<Change> mHistory = new ArrayDeque<>();
    private int mHandedOver;
    private int mHandedOverReports;

    private record Change(long atNanos, int own) {}

    /** Creates a load of 0. */
    public ForeignLoad() {
        mHistory.add(new Change(Long.MIN_VALUE, 0));
    }

    /** Forgets all reports, because another instance may have admitted until now. */
    public void restart() {
        mBounds.clear();
    }

    /**
     * Notes the own load at the end of an event.
     *
     * @param nowNanos monotonic time
     * @param own requests dispatched here and not finished
     */
    public void own(long nowNanos, int own) {
        if (mHistory.getLast().own() == own) {
            return;
        }
        mHistory.addLast(new Change(nowNanos, own));
        dropBefore(nowNanos - HISTORY_NANOS);
    }

    /**
     * Takes a report.
     *
     * @param sentNanos lower bound of its sending time
     * @param reported requests the backend server works on
     */
    public void report(long sentNanos, int reported) {
        if (mHandedOverReports > 0) {
            mHandedOverReports--;
            // A report that may miss handed-over work must not be the least of the window either.
            mBounds.clear();
        }
        mBounds.addLast(Math.max(0, reported - leastOwnSince(sentNanos)));
        if (mBounds.size() > WINDOW_REPORTS) {
            mBounds.removeFirst();
        }
    }

    /**
     * Takes the work that another owner leaves behind.
     *
     * @param load number of requests
     */
    public void handedOver(int load) {
        restart();
        mHandedOver = load;
        mHandedOverReports = HANDOVER_REPORTS;
    }

    /** Returns the foreign load. */
    public int value() {
        int least = Integer.MAX_VALUE;
        for (int bound : mBounds) {
            least = Math.min(least, bound);
        }
        int reported = mBounds.isEmpty() ? 0 : least;
        return mHandedOverReports > 0 ? Math.max(reported, mHandedOver) : reported;
    }

    /** Keeps the last change before the horizon, whose value held at the horizon. */
    private void dropBefore(long horizonNanos) {
        while (mHistory.size() > 1) {
            Change first = mHistory.removeFirst();
            boolean covers = mHistory.getFirst().atNanos() > horizonNanos;
            if (covers && mHistory.size() < MAX_HISTORY) {
                mHistory.addFirst(first);
                return;
            }
        }
    }

    /** Returns 0 for times before the history: the bound is then the whole report. */
    private int leastOwnSince(long sentNanos) {
        int least = Integer.MAX_VALUE;
        Iterator<Change> changes = mHistory.descendingIterator();
        while (changes.hasNext()) {
            Change change = changes.next();
            least = Math.min(least, change.own());
            if (change.atNanos() <= sentNanos) {
                return least;
            }
        }
        return 0;
    }
}
