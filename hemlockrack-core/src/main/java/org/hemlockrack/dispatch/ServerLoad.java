package org.hemlockrack.dispatch;

/**
 * Requests in progress at one server, all gateways together: those of this gateway, which it knows
 * exactly, and those of the others as of the last sum. Not thread-safe.
 */
final class ServerLoad {
    private int mOwnRequests;
    private int mFleetRequests;
    private int mOwnRequestsAtReport;

    void recordDispatch() {
        mOwnRequests++;
    }

    void recordEnd() {
        mOwnRequests = Math.max(0, mOwnRequests - 1);
    }

    /**
     * Adopts the load that all gateways together have reported.
     *
     * @param fleetRequests requests in progress of all gateways
     * @param ownRequestsAtReport the part of this gateway in that load
     */
    void recordFleet(int fleetRequests, int ownRequestsAtReport) {
        mFleetRequests = fleetRequests;
        mOwnRequestsAtReport = ownRequestsAtReport;
    }

    /** Returns the requests of this gateway. */
    int ownRequests() {
        return mOwnRequests;
    }

    /** Returns the estimated requests of all gateways. */
    int requests() {
        return Math.max(mOwnRequests, mFleetRequests - mOwnRequestsAtReport + mOwnRequests);
    }
}
