package org.hemlockrack.dispatch;

/** Difference between the estimated load of servers and what they report. Not thread-safe. */
final class LoadAccuracy {
    /** Weight of one report in the moving average. */
    private static final double REPORT_WEIGHT = 0.02;

    private double mMeanErrorRequests;

    private LoadAccuracy() {}

    static LoadAccuracy create() {
        return new LoadAccuracy();
    }

    /**
     * Records the report of a server.
     *
     * @param estimatedRequests load by the sums of the gateways
     * @param reportedRequests load that the server counts itself
     */
    void recordReport(int estimatedRequests, int reportedRequests) {
        int errorRequests = Math.abs(estimatedRequests - reportedRequests);
        mMeanErrorRequests += REPORT_WEIGHT * (errorRequests - mMeanErrorRequests);
    }

    /** Returns the moving average of the difference. */
    double meanErrorRequests() {
        return mMeanErrorRequests;
    }
}
