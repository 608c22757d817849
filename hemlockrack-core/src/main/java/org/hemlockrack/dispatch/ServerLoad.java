package org.hemlockrack.dispatch;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;

/**
 * Requests in progress at one server, all gateways together: those of this gateway, which it knows
 * exactly, and those of the others as of the last sum. Not thread-safe.
 */
final class ServerLoad {
    /**
     * Time for which the server's own count is newer than the next sum of the gateways, which is of
     * reports that are up to two exchanges old.
     */
    private static final long SERVER_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private int mOwnRequests;
    private int mFleetRequests;
    private int mOwnRequestsAtReport;
    private String mSumSource = LoadBasis.NOTHING;
    private long mSumNanos;

    void recordDispatch() {
        mOwnRequests++;
    }

    void recordEnd() {
        mOwnRequests = Math.max(0, mOwnRequests - 1);
    }

    /**
     * Adopts the load that all gateways together have reported, unless the server's own count is
     * newer.
     *
     * @param nowNanos monotonic time
     * @param server the server
     * @param sum the sum of the loads
     */
    void recordFleet(long nowNanos, BackendId server, LoadSum sum) {
        boolean isByServer = mSumSource.equals(LoadBasis.SERVER);
        if (isByServer && nowNanos - mSumNanos < SERVER_REPORT_NANOS) {
            return;
        }
        mSumSource = sum.source();
        mSumNanos = sum.requestNanos();
        adopt(sum.fleetRequests(server), sum.ownRequests(server));
    }

    /** Adopts the number of requests that the server itself counts at this moment. */
    void recordServerReport(long nowNanos, int requests) {
        mSumSource = LoadBasis.SERVER;
        mSumNanos = nowNanos;
        adopt(requests, mOwnRequests);
    }

    private void adopt(int fleetRequests, int ownRequestsAtReport) {
        mFleetRequests = fleetRequests;
        mOwnRequestsAtReport = ownRequestsAtReport;
    }

    /** Returns the requests of this gateway. */
    int ownRequests() {
        return mOwnRequests;
    }

    /**
     * Returns what the estimate rests on.
     *
     * @param nowNanos monotonic time
     * @param meanRequests mean load of all servers of the service
     * @param boundRequests the load bound
     */
    LoadBasis basis(long nowNanos, double meanRequests, double boundRequests) {
        boolean hasSum = !mSumSource.equals(LoadBasis.NOTHING);
        return new LoadBasis(
                mOwnRequests,
                meanRequests,
                boundRequests,
                hasSum ? nowNanos - mSumNanos : 0,
                mSumSource);
    }

    /** Returns the estimated requests of all gateways. */
    int requests() {
        return Math.max(mOwnRequests, mFleetRequests - mOwnRequestsAtReport + mOwnRequests);
    }
}
