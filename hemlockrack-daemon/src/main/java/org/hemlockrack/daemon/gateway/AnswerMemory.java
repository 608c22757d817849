package org.hemlockrack.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.limits.ByteBudget;

/**
 * Memory that is reserved for the answer to one request until the caller has taken the answer or
 * has left. Thread-safe.
 */
final class AnswerMemory {
    private final ByteBudget mBudget;
    private final List<ByteBudget.Reservation> mReservations = new ArrayList<>();
    private long mReservedBytes;
    private boolean mReleased;

    private AnswerMemory(ByteBudget budget) {
        mBudget = budget;
    }

    static AnswerMemory of(ByteBudget budget) {
        return new AnswerMemory(budget);
    }

    /**
     * Reserves memory up to a total, of which earlier attempts may have reserved a part.
     *
     * @param totalBytes bytes that the answer needs
     * @return false if the budget does not allow it; true also after the release, when nothing is
     *     kept any more
     */
    synchronized boolean tryReserve(long totalBytes) {
        long missingBytes = totalBytes - mReservedBytes;
        if (mReleased || missingBytes <= 0) {
            return true;
        }
        ByteBudget.Reservation reservation = mBudget.tryReserve(missingBytes);
        if (reservation == null) {
            return false;
        }
        mReservations.add(reservation);
        mReservedBytes = totalBytes;
        return true;
    }

    synchronized void release() {
        mReleased = true;
        mReservations.forEach(ByteBudget.Reservation::close);
        mReservations.clear();
        mReservedBytes = 0;
    }
}
