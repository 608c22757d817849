package org.hemlockrack.admission.internal;

import java.util.ArrayDeque;

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

    private final ArrayDeque<Integer> mBounds = new ArrayDeque<>();
    private int mLeastOwn;
    private int mLeastOwnBefore;
    private int mHandedOver;
    private int mHandedOverReports;

    /** Forgets all reports, because another instance may have admitted until now. */
    public void restart() {
        mBounds.clear();
    }

    /**
     * Notes the own load after it changed.
     *
     * @param own requests dispatched here and not finished
     */
    public void own(int own) {
        mLeastOwn = Math.min(mLeastOwn, own);
    }

    /**
     * Takes a report.
     *
     * @param reported requests the backend server works on
     * @param own requests dispatched here and not finished
     */
    public void report(int reported, int own) {
        mBounds.addLast(Math.max(0, reported - Math.min(mLeastOwn, mLeastOwnBefore)));
        if (mBounds.size() > WINDOW_REPORTS) {
            mBounds.removeFirst();
        }
        mLeastOwnBefore = mLeastOwn;
        mLeastOwn = own;
        mHandedOverReports = Math.max(0, mHandedOverReports - 1);
    }

    /**
     * Takes the work that another owner leaves behind.
     *
     * @param load number of requests
     */
    public void handedOver(int load) {
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
}
