package org.hemlockrack.bench;

import org.hemlockrack.bench.SkewSimulation.Request;

/** Instances admit by gossiped loads that lag behind, or by leased shares of the limits. */
final class SkewOwnerlessPolicy implements SkewPolicy {
    // Server index, load and limit, as compact integers.
    private static final int REPORT_BYTES = 6;
    private static final int SHARE_BYTES = 8;
    private static final long SHARE_PERIOD_NANOS = SkewSimulation.NANOS_PER_SECOND;

    private final SkewSimulation mSim;
    private final long mLagNanos;
    private final boolean mUsesShares;
    private final int[] mReportedLoads;
    private final long[] mReportedRestartNanos;
    private final int[][] mOwnLoads;
    private final int[][] mStartedSinceReport;
    private final int[][] mShares;
    private final int[][] mDemand;
    private long mControlBytes;
    private long mNextReportNanos;
    private long mNextSharesNanos;

    SkewOwnerlessPolicy(SkewSimulation sim, long lagNanos, boolean usesShares) {
        mSim = sim;
        mLagNanos = lagNanos;
        mUsesShares = usesShares;
        mReportedLoads = new int[sim.mServers];
        mReportedRestartNanos = new long[sim.mServers];
        java.util.Arrays.fill(mReportedRestartNanos, -SkewSimulation.END_NANOS);
        mOwnLoads = new int[sim.mInstances][sim.mServers];
        mStartedSinceReport = new int[sim.mInstances][sim.mServers];
        mShares = new int[sim.mInstances][sim.mServers];
        mDemand = new int[sim.mInstances][sim.mServers];
    }

    @Override
    public void onArrival(Request request) {
        for (int rank = 0; rank < Math.min(3, mSim.groupSize(request.mGroup)); rank++) {
            int server = mSim.rankedServer(request, rank);
            mDemand[request.mInstance][server] += rank == 0 ? 1 : 0;
            if (!mSim.isServerUnknown(request.mInstance, server)
                    && canAdmit(request.mInstance, server)) {
                startOn(request, server);
                return;
            }
        }
        int leastLoaded = -1;
        for (int i = 0; i < mSim.groupSize(request.mGroup); i++) {
            int server = mSim.firstServer(request.mGroup) + i;
            boolean usable = !mSim.isServerUnknown(request.mInstance, server);
            boolean eligible = usable && (!mUsesShares || canAdmit(request.mInstance, server));
            if (eligible
                    && (leastLoaded < 0
                            || estimatedLoad(request, server)
                                    < estimatedLoad(request, leastLoaded))) {
                leastLoaded = server;
            }
        }
        if (leastLoaded >= 0) {
            startOn(request, leastLoaded);
        }
    }

    private int estimatedLoad(Request request, int server) {
        return mReportedLoads[server] + mStartedSinceReport[request.mInstance][server];
    }

    private boolean canAdmit(int instance, int server) {
        if (mUsesShares) {
            return mOwnLoads[instance][server] < mShares[instance][server];
        }
        int group = server / SkewSimulation.GROUP_SIZE;
        double sum = 0;
        for (int i = 0; i < mSim.groupSize(group); i++) {
            sum += mReportedLoads[mSim.firstServer(group) + i];
        }
        int bound = SkewSimulation.loadBound(sum / mSim.groupSize(group));
        int load = mReportedLoads[server] + mStartedSinceReport[instance][server];
        return load < Math.min(bound, rampedLimit(server));
    }

    private int rampedLimit(int server) {
        long ageNanos = mSim.nowNanos() - mReportedRestartNanos[server];
        long seconds = Math.min(10, Math.max(0, ageNanos / SkewSimulation.NANOS_PER_SECOND));
        return (int) Math.min(SkewSimulation.SERVER_LIMIT, 1L << seconds);
    }

    private void startOn(Request request, int server) {
        mOwnLoads[request.mInstance][server]++;
        mStartedSinceReport[request.mInstance][server]++;
        mSim.startRequest(request, server);
    }

    @Override
    public void onFinished(Request request) {
        int[] ownLoads = mOwnLoads[request.mInstance];
        ownLoads[request.mServer] = Math.max(0, ownLoads[request.mServer] - 1);
    }

    @Override
    public void onTick() {
        if (mSim.nowNanos() >= mNextReportNanos) {
            mNextReportNanos =
                    mSim.nowNanos() + Math.max(mLagNanos, 500 * SkewSimulation.NANOS_PER_MILLI);
            sendReport();
        }
        if (mUsesShares && mSim.nowNanos() >= mNextSharesNanos) {
            mNextSharesNanos = mSim.nowNanos() + SHARE_PERIOD_NANOS;
            redistributeShares();
        }
    }

    private void sendReport() {
        int[] loads = new int[mSim.mServers];
        for (int server = 0; server < loads.length; server++) {
            loads[server] = mSim.loadOf(server);
        }
        mControlBytes += (long) mSim.mInstances * mSim.mServers * REPORT_BYTES;
        mSim.schedule(mLagNanos, () -> applyReport(loads));
    }

    private void applyReport(int[] loads) {
        System.arraycopy(loads, 0, mReportedLoads, 0, loads.length);
        for (int[] started : mStartedSinceReport) {
            java.util.Arrays.fill(started, 0);
        }
    }

    private void redistributeShares() {
        for (int server = 0; server < mSim.mServers; server++) {
            double meanLoad = mSim.meanLoad(server / SkewSimulation.GROUP_SIZE);
            int total = Math.min(SkewSimulation.loadBound(meanLoad), rampedLimit(server));
            distributeShares(server, total);
        }
    }

    /** Grants the free part of a limit by demand; requests in flight keep their share. */
    private void distributeShares(int server, int total) {
        int used = 0;
        int demand = 0;
        for (int i = 0; i < mSim.mInstances; i++) {
            used += mOwnLoads[i][server];
            demand += mDemand[i][server];
        }
        int free = Math.max(0, total - used);
        int offset = mSim.mRandom.nextInt(mSim.mInstances);
        int granted = 0;
        for (int n = 0; n < mSim.mInstances; n++) {
            int i = (n + offset) % mSim.mInstances;
            int grant = demand == 0 ? 0 : (free * mDemand[i][server] + demand - 1) / demand;
            grant = Math.min(grant, free - granted);
            granted += grant;
            int share = mOwnLoads[i][server] + grant;
            mControlBytes += share == mShares[i][server] ? 0 : SHARE_BYTES;
            mShares[i][server] = share;
            mDemand[i][server] = 0;
        }
    }

    @Override
    public void onServerRestarted(int server) {
        for (int[] ownLoads : mOwnLoads) {
            ownLoads[server] = 0;
        }
        if (!mUsesShares) {
            mSim.schedule(
                    mLagNanos, () -> mReportedRestartNanos[server] = mSim.nowNanos() - mLagNanos);
            return;
        }
        mReportedRestartNanos[server] = mSim.nowNanos();
        for (int[] share : mShares) {
            share[server] = 0;
        }
    }

    @Override
    public void onInstanceLost(int instance) {
        java.util.Arrays.fill(mShares[instance], 0);
    }

    @Override
    public long controlBytes() {
        return mControlBytes;
    }
}
