package org.hemlockrack.bench;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * Servers in groups (one per model), instances that take requests at random, and time in
 * nanoseconds. One server per group restarts cold, one instance is lost, the instances disagree
 * about the list for three seconds, and two workspaces surge.
 */
final class SkewSimulation {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;
    static final int LIMIT = 32;
    static final int GROUP = 34;
    static final long WARM = 20 * SECOND;
    static final long COLD_AT = 30 * SECOND;
    static final long DISAGREE_AT = 38 * SECOND;
    static final long DISAGREE_END = 41 * SECOND;
    static final long SURGE_AT = 44 * SECOND;
    static final long SURGE_END = 50 * SECOND;
    static final long LOST_AT = 54 * SECOND;
    static final long END = 64 * SECOND;

    /** One request of a caller. */
    static final class Request {
        final int mInstance;
        final int mGroup;
        final long mKey;
        final String mId;
        int mServer = -1;
        int mIncarnation;
        int mHops;

        Request(int instance, int group, long key, String id) {
            mInstance = instance;
            mGroup = group;
            mKey = key;
            mId = id;
        }
    }

    private record Step(long at, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    final int mInstances;
    final int mServers;
    final SplittableRandom mRandom;
    private final double mMeanLoad;
    private final double mServiceSeconds;
    private final PriorityQueue<Step> mSteps = new PriorityQueue<>();
    private final int[] mLoad;
    private final int[] mIncarnation;
    private final long[] mColdSince;
    private SkewPolicy mPolicy;
    private long mNow;
    private long mOrder;

    private long mSamples;
    private long mAboveBound;
    private double mRatioSum;
    private double mRatioMax;
    private double mSurgeRatioMax;
    private int mWorstOvershoot;
    private long mColdOverloads;
    private int mColdWorst;
    private long mStarted;
    private long mOffered;
    private long mHops;

    SkewSimulation(int instances, int servers, double meanLoad, double serviceSeconds, long seed) {
        mInstances = instances;
        mServers = servers;
        mRandom = new SplittableRandom(seed);
        mMeanLoad = meanLoad;
        mServiceSeconds = serviceSeconds;
        mLoad = new int[servers];
        mIncarnation = new int[servers];
        mColdSince = new long[servers];
        java.util.Arrays.fill(mColdSince, -1);
    }

    void run(Function<SkewSimulation, SkewPolicy> policy) {
        mPolicy = policy.apply(this);
        at(0, this::tick);
        at(1, this::arrive);
        at(COLD_AT, this::restartCold);
        at(LOST_AT, () -> mPolicy.lost(0));
        while (mSteps.peek().at() < END) {
            Step step = mSteps.poll();
            mNow = step.at();
            step.action().run();
        }
    }

    long now() {
        return mNow;
    }

    int load(int server) {
        return mLoad[server];
    }

    int incarnation(int server) {
        return mIncarnation[server];
    }

    int groups() {
        return (mServers + GROUP - 1) / GROUP;
    }

    int first(int group) {
        return group * GROUP;
    }

    int size(int group) {
        return Math.min(GROUP, mServers - first(group));
    }

    double mean(int group) {
        int sum = 0;
        for (int i = 0; i < size(group); i++) {
            sum += mLoad[first(group) + i];
        }
        return (double) sum / size(group);
    }

    static int bound(double mean) {
        return (int) Math.ceil(1.25 * Math.max(mean, 1) - 1e-9);
    }

    /** Whether an instance has an old list, which lacks every eighth server. */
    boolean lacks(int instance, int server) {
        boolean disagree = mNow >= DISAGREE_AT && mNow < DISAGREE_END;
        return disagree && instance % 2 == 0 && server % 8 == 0;
    }

    /** The n-th choice of a key in its group. */
    int choice(Request request, int rank) {
        int size = size(request.mGroup);
        long start = Math.floorMod(request.mKey, size);
        long step = size == 1 ? 0 : 1 + Math.floorMod(request.mKey / size, size - 1);
        return first(request.mGroup) + (int) ((start + rank * step) % size);
    }

    void at(long delay, Runnable action) {
        mSteps.add(new Step(mNow + delay, mOrder++, action));
    }

    void start(Request request, int server) {
        request.mServer = server;
        request.mIncarnation = mIncarnation[server];
        mLoad[server]++;
        if (mNow >= WARM) {
            mStarted++;
            mHops += request.mHops;
        }
        checkCold(server);
        double seconds = -Math.log(1 - mRandom.nextDouble()) * mServiceSeconds;
        at((long) (seconds * SECOND) + 100 * MS, () -> finish(request));
    }

    private void finish(Request request) {
        if (request.mIncarnation == mIncarnation[request.mServer]) {
            mLoad[request.mServer]--;
        }
        mPolicy.finished(request);
    }

    private void checkCold(int server) {
        if (mColdSince[server] < 0) {
            return;
        }
        long seconds = Math.min(10, (mNow - mColdSince[server]) / SECOND);
        int capacity = (int) Math.min(LIMIT, 1L << seconds);
        if (mLoad[server] > capacity) {
            mColdOverloads++;
            mColdWorst = Math.max(mColdWorst, mLoad[server] - capacity);
        }
    }

    private void arrive() {
        boolean surge = mNow >= SURGE_AT && mNow < SURGE_END;
        double rate = mMeanLoad / (mServiceSeconds + 0.1) * mServers * (surge ? 1.5 : 1.0);
        at((long) (-Math.log(1 - mRandom.nextDouble()) / rate * SECOND), this::arrive);
        boolean hot = surge && mRandom.nextInt(3) == 0;
        int group = hot ? mRandom.nextInt(Math.min(2, groups())) : mRandom.nextInt(groups());
        int member = mRandom.nextInt(GROUP);
        if (!hot && member >= size(group)) {
            return;
        }
        long key = hot ? mRandom.nextInt(20) * 7_919L : mRandom.nextLong() >>> 1;
        int instance = mRandom.nextInt(mInstances);
        if (instance == 0 && mNow >= LOST_AT) {
            instance = 1;
        }
        mOffered += mNow >= WARM ? 1 : 0;
        mPolicy.arrive(new Request(instance, group, key, "r" + mOrder));
    }

    private void restartCold() {
        for (int group = 0; group < groups(); group++) {
            int server = first(group) + size(group) - 1;
            mIncarnation[server]++;
            mLoad[server] = 0;
            mColdSince[server] = mNow;
            mPolicy.cold(server);
        }
    }

    private void tick() {
        at(100 * MS, this::tick);
        mPolicy.tick();
        if (mNow < WARM) {
            return;
        }
        for (int group = 0; group < groups(); group++) {
            sample(group);
        }
    }

    private void sample(int group) {
        double mean = mean(group);
        int most = 0;
        for (int i = 0; i < size(group); i++) {
            most = Math.max(most, mLoad[first(group) + i]);
        }
        double ratio = most / Math.max(mean, 1);
        mSamples++;
        mRatioSum += ratio;
        mRatioMax = Math.max(mRatioMax, ratio);
        if (mNow >= SURGE_AT && mNow < SURGE_END) {
            mSurgeRatioMax = Math.max(mSurgeRatioMax, ratio);
        }
        int overshoot = most - bound(mean);
        mAboveBound += overshoot > 0 ? 1 : 0;
        mWorstOvershoot = Math.max(mWorstOvershoot, overshoot);
    }

    /** Returns the figures in the order of {@link SkewBench#NAMES}. */
    double[] figures() {
        double seconds = END / (double) SECOND;
        return new double[] {
            mRatioSum / mSamples,
            mRatioMax,
            mSurgeRatioMax,
            100.0 * mAboveBound / mSamples,
            mWorstOvershoot,
            mColdOverloads,
            mColdWorst,
            mPolicy.controlBytes() / seconds / mInstances,
            (double) mHops / Math.max(1, mStarted),
            100.0 * mStarted / Math.max(1, mOffered)
        };
    }
}
