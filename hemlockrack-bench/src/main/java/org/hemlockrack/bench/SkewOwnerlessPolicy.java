package org.hemlockrack.bench;

import org.hemlockrack.bench.SkewSimulation.Request;

/** Policies without owners: by lagging gossiped load, or by leased shares of the limits. */
final class SkewOwnerlessPolicy implements SkewPolicy {
    // Server index, load and limit, as compact integers.
    private static final int REPORT_BYTES = 6;
    private static final int SHARE_BYTES = 8;
    private static final long SHARE_PERIOD = SkewSimulation.SECOND;

    private final SkewSimulation mSim;
    private final long mLag;
    private final boolean mShares;
    private final int[] mSeen;
    private final long[] mColdSeen;
    private final int[][] mOwn;
    private final int[][] mSince;
    private final int[][] mShare;
    private final int[][] mDemand;
    private long mBytes;
    private long mNextReport;
    private long mNextShares;

    SkewOwnerlessPolicy(SkewSimulation sim, long lag, boolean shares) {
        mSim = sim;
        mLag = lag;
        mShares = shares;
        mSeen = new int[sim.mServers];
        mColdSeen = new long[sim.mServers];
        java.util.Arrays.fill(mColdSeen, -SkewSimulation.END);
        mOwn = new int[sim.mInstances][sim.mServers];
        mSince = new int[sim.mInstances][sim.mServers];
        mShare = new int[sim.mInstances][sim.mServers];
        mDemand = new int[sim.mInstances][sim.mServers];
    }

    @Override
    public void arrive(Request request) {
        for (int rank = 0; rank < Math.min(3, mSim.size(request.mGroup)); rank++) {
            int server = mSim.choice(request, rank);
            mDemand[request.mInstance][server] += rank == 0 ? 1 : 0;
            if (!mSim.lacks(request.mInstance, server) && allows(request.mInstance, server)) {
                place(request, server);
                return;
            }
        }
        int best = -1;
        for (int i = 0; i < mSim.size(request.mGroup); i++) {
            int server = mSim.first(request.mGroup) + i;
            boolean usable = !mSim.lacks(request.mInstance, server);
            boolean allowed = usable && (!mShares || allows(request.mInstance, server));
            if (allowed && (best < 0 || view(request, server) < view(request, best))) {
                best = server;
            }
        }
        if (best >= 0) {
            place(request, best);
        }
    }

    private int view(Request request, int server) {
        return mSeen[server] + mSince[request.mInstance][server];
    }

    private boolean allows(int instance, int server) {
        if (mShares) {
            return mOwn[instance][server] < mShare[instance][server];
        }
        int group = server / SkewSimulation.GROUP;
        double sum = 0;
        for (int i = 0; i < mSim.size(group); i++) {
            sum += mSeen[mSim.first(group) + i];
        }
        int bound = SkewSimulation.bound(sum / mSim.size(group));
        int load = mSeen[server] + mSince[instance][server];
        return load < Math.min(bound, limit(server));
    }

    private int limit(int server) {
        long age = mSim.now() - mColdSeen[server];
        long seconds = Math.min(10, Math.max(0, age / SkewSimulation.SECOND));
        return (int) Math.min(SkewSimulation.LIMIT, 1L << seconds);
    }

    private void place(Request request, int server) {
        mOwn[request.mInstance][server]++;
        mSince[request.mInstance][server]++;
        mSim.start(request, server);
    }

    @Override
    public void finished(Request request) {
        int[] own = mOwn[request.mInstance];
        own[request.mServer] = Math.max(0, own[request.mServer] - 1);
    }

    @Override
    public void tick() {
        if (mSim.now() >= mNextReport) {
            mNextReport = mSim.now() + Math.max(mLag, 500 * SkewSimulation.MS);
            report();
        }
        if (mShares && mSim.now() >= mNextShares) {
            mNextShares = mSim.now() + SHARE_PERIOD;
            redistribute();
        }
    }

    private void report() {
        int[] loads = new int[mSim.mServers];
        for (int server = 0; server < loads.length; server++) {
            loads[server] = mSim.load(server);
        }
        mBytes += (long) mSim.mInstances * mSim.mServers * REPORT_BYTES;
        mSim.at(mLag, () -> learn(loads));
    }

    private void learn(int[] loads) {
        System.arraycopy(loads, 0, mSeen, 0, loads.length);
        for (int[] since : mSince) {
            java.util.Arrays.fill(since, 0);
        }
    }

    private void redistribute() {
        for (int server = 0; server < mSim.mServers; server++) {
            double mean = mSim.mean(server / SkewSimulation.GROUP);
            int total = Math.min(SkewSimulation.bound(mean), limit(server));
            share(server, total);
        }
    }

    /** Gives places by demand; a place in use stays where it is. */
    private void share(int server, int total) {
        int used = 0;
        int demand = 0;
        for (int i = 0; i < mSim.mInstances; i++) {
            used += mOwn[i][server];
            demand += mDemand[i][server];
        }
        int free = Math.max(0, total - used);
        int offset = mSim.mRandom.nextInt(mSim.mInstances);
        int given = 0;
        for (int n = 0; n < mSim.mInstances; n++) {
            int i = (n + offset) % mSim.mInstances;
            int part = demand == 0 ? 0 : (free * mDemand[i][server] + demand - 1) / demand;
            part = Math.min(part, free - given);
            given += part;
            int share = mOwn[i][server] + part;
            mBytes += share == mShare[i][server] ? 0 : SHARE_BYTES;
            mShare[i][server] = share;
            mDemand[i][server] = 0;
        }
    }

    @Override
    public void cold(int server) {
        for (int[] own : mOwn) {
            own[server] = 0;
        }
        if (!mShares) {
            mSim.at(mLag, () -> mColdSeen[server] = mSim.now() - mLag);
            return;
        }
        mColdSeen[server] = mSim.now();
        for (int[] share : mShare) {
            share[server] = 0;
        }
    }

    @Override
    public void lost(int instance) {
        java.util.Arrays.fill(mShare[instance], 0);
    }

    @Override
    public long controlBytes() {
        return mBytes;
    }
}
