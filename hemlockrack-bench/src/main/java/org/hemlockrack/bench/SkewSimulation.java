package org.hemlockrack.bench;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * Simulates servers in groups, one per model, and instances that receive requests at random. One
 * server per group restarts cold, half of the instances lack every eighth server in their lists for
 * three seconds, the requests for two groups surge, and one instance is lost.
 */
final class SkewSimulation {
    static final long NANOS_PER_MILLI = 1_000_000L;
    static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    static final int SERVER_LIMIT = 32;
    static final int GROUP_SIZE = 34;
    static final long WARM_UP_END_NANOS = 20 * NANOS_PER_SECOND;
    static final long COLD_RESTART_NANOS = 30 * NANOS_PER_SECOND;
    static final long DISAGREEMENT_START_NANOS = 38 * NANOS_PER_SECOND;
    static final long DISAGREEMENT_END_NANOS = 41 * NANOS_PER_SECOND;
    static final long SURGE_START_NANOS = 44 * NANOS_PER_SECOND;
    static final long SURGE_END_NANOS = 50 * NANOS_PER_SECOND;
    static final long INSTANCE_LOSS_NANOS = 54 * NANOS_PER_SECOND;
    static final long END_NANOS = 64 * NANOS_PER_SECOND;

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

    private record Step(long atNanos, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    final int mInstances;
    final int mServers;
    final SplittableRandom mRandom;
    private final double mTargetMeanLoad;
    private final double mServiceSeconds;
    private final PriorityQueue<Step> mSteps = new PriorityQueue<>();
    private final int[] mLoads;
    private final int[] mIncarnations;
    private final long[] mRestartedNanos;
    private SkewPolicy mPolicy;
    private long mNowNanos;
    private long mNextOrder;

    private long mSampleCount;
    private long mAboveBoundCount;
    private double mRatioSum;
    private double mMaxRatio;
    private double mMaxSurgeRatio;
    private int mMaxOvershoot;
    private long mColdOverloads;
    private int mMaxColdExcess;
    private long mStartedRequests;
    private long mOfferedRequests;
    private long mHops;

    SkewSimulation(
            int instances, int servers, double targetMeanLoad, double serviceSeconds, long seed) {
        mInstances = instances;
        mServers = servers;
        mRandom = new SplittableRandom(seed);
        mTargetMeanLoad = targetMeanLoad;
        mServiceSeconds = serviceSeconds;
        mLoads = new int[servers];
        mIncarnations = new int[servers];
        mRestartedNanos = new long[servers];
        java.util.Arrays.fill(mRestartedNanos, -1);
    }

    void run(Function<SkewSimulation, SkewPolicy> policy) {
        mPolicy = policy.apply(this);
        schedule(0, this::tick);
        schedule(1, this::generateArrival);
        schedule(COLD_RESTART_NANOS, this::restartCold);
        schedule(INSTANCE_LOSS_NANOS, () -> mPolicy.onInstanceLost(0));
        while (mSteps.peek().atNanos() < END_NANOS) {
            Step step = mSteps.poll();
            mNowNanos = step.atNanos();
            step.action().run();
        }
    }

    long nowNanos() {
        return mNowNanos;
    }

    int loadOf(int server) {
        return mLoads[server];
    }

    int incarnationOf(int server) {
        return mIncarnations[server];
    }

    int groupCount() {
        return (mServers + GROUP_SIZE - 1) / GROUP_SIZE;
    }

    int firstServer(int group) {
        return group * GROUP_SIZE;
    }

    int groupSize(int group) {
        return Math.min(GROUP_SIZE, mServers - firstServer(group));
    }

    double meanLoad(int group) {
        int sum = 0;
        for (int i = 0; i < groupSize(group); i++) {
            sum += mLoads[firstServer(group) + i];
        }
        return (double) sum / groupSize(group);
    }

    static int loadBound(double mean) {
        return (int) Math.ceil(1.25 * Math.max(mean, 1) - 1e-9);
    }

    /** Returns whether a server is missing in the list of an instance, because it is stale. */
    boolean isServerUnknown(int instance, int server) {
        boolean disagreement =
                mNowNanos >= DISAGREEMENT_START_NANOS && mNowNanos < DISAGREEMENT_END_NANOS;
        return disagreement && instance % 2 == 0 && server % 8 == 0;
    }

    /** Returns the n-th choice for the key of a request in its group, from 0. */
    int rankedServer(Request request, int rank) {
        int size = groupSize(request.mGroup);
        long firstIndex = Math.floorMod(request.mKey, size);
        long step = size == 1 ? 0 : 1 + Math.floorMod(request.mKey / size, size - 1);
        return firstServer(request.mGroup) + (int) ((firstIndex + rank * step) % size);
    }

    void schedule(long delayNanos, Runnable action) {
        mSteps.add(new Step(mNowNanos + delayNanos, mNextOrder++, action));
    }

    void startRequest(Request request, int server) {
        request.mServer = server;
        request.mIncarnation = mIncarnations[server];
        mLoads[server]++;
        if (mNowNanos >= WARM_UP_END_NANOS) {
            mStartedRequests++;
            mHops += request.mHops;
        }
        countColdOverload(server);
        double seconds = -Math.log(1 - mRandom.nextDouble()) * mServiceSeconds;
        schedule(
                (long) (seconds * NANOS_PER_SECOND) + 100 * NANOS_PER_MILLI,
                () -> finishRequest(request));
    }

    private void finishRequest(Request request) {
        if (request.mIncarnation == mIncarnations[request.mServer]) {
            mLoads[request.mServer]--;
        }
        mPolicy.onFinished(request);
    }

    private void countColdOverload(int server) {
        if (mRestartedNanos[server] < 0) {
            return;
        }
        long seconds = Math.min(10, (mNowNanos - mRestartedNanos[server]) / NANOS_PER_SECOND);
        int capacity = (int) Math.min(SERVER_LIMIT, 1L << seconds);
        if (mLoads[server] > capacity) {
            mColdOverloads++;
            mMaxColdExcess = Math.max(mMaxColdExcess, mLoads[server] - capacity);
        }
    }

    private void generateArrival() {
        boolean surge = mNowNanos >= SURGE_START_NANOS && mNowNanos < SURGE_END_NANOS;
        double requestsPerSecond =
                mTargetMeanLoad / (mServiceSeconds + 0.1) * mServers * (surge ? 1.5 : 1.0);
        schedule(
                (long) (-Math.log(1 - mRandom.nextDouble()) / requestsPerSecond * NANOS_PER_SECOND),
                this::generateArrival);
        boolean fromSurge = surge && mRandom.nextInt(3) == 0;
        int group =
                fromSurge
                        ? mRandom.nextInt(Math.min(2, groupCount()))
                        : mRandom.nextInt(groupCount());
        int serverIndex = mRandom.nextInt(GROUP_SIZE);
        if (!fromSurge && serverIndex >= groupSize(group)) {
            return;
        }
        long key = fromSurge ? mRandom.nextInt(20) * 7_919L : mRandom.nextLong() >>> 1;
        int instance = mRandom.nextInt(mInstances);
        if (instance == 0 && mNowNanos >= INSTANCE_LOSS_NANOS) {
            instance = 1;
        }
        mOfferedRequests += mNowNanos >= WARM_UP_END_NANOS ? 1 : 0;
        mPolicy.onArrival(new Request(instance, group, key, "r" + mNextOrder));
    }

    private void restartCold() {
        for (int group = 0; group < groupCount(); group++) {
            int server = firstServer(group) + groupSize(group) - 1;
            mIncarnations[server]++;
            mLoads[server] = 0;
            mRestartedNanos[server] = mNowNanos;
            mPolicy.onServerRestarted(server);
        }
    }

    private void tick() {
        schedule(100 * NANOS_PER_MILLI, this::tick);
        mPolicy.onTick();
        if (mNowNanos < WARM_UP_END_NANOS) {
            return;
        }
        for (int group = 0; group < groupCount(); group++) {
            sampleGroup(group);
        }
    }

    private void sampleGroup(int group) {
        double mean = meanLoad(group);
        int maxLoad = 0;
        for (int i = 0; i < groupSize(group); i++) {
            maxLoad = Math.max(maxLoad, mLoads[firstServer(group) + i]);
        }
        double ratio = maxLoad / Math.max(mean, 1);
        mSampleCount++;
        mRatioSum += ratio;
        mMaxRatio = Math.max(mMaxRatio, ratio);
        if (mNowNanos >= SURGE_START_NANOS && mNowNanos < SURGE_END_NANOS) {
            mMaxSurgeRatio = Math.max(mMaxSurgeRatio, ratio);
        }
        int overshoot = maxLoad - loadBound(mean);
        mAboveBoundCount += overshoot > 0 ? 1 : 0;
        mMaxOvershoot = Math.max(mMaxOvershoot, overshoot);
    }

    /** Returns the results in the order of {@link SkewBench#FIGURE_NAMES}. */
    double[] figures() {
        double seconds = END_NANOS / (double) NANOS_PER_SECOND;
        return new double[] {
            mRatioSum / mSampleCount,
            mMaxRatio,
            mMaxSurgeRatio,
            100.0 * mAboveBoundCount / mSampleCount,
            mMaxOvershoot,
            mColdOverloads,
            mMaxColdExcess,
            mPolicy.controlBytes() / seconds / mInstances,
            (double) mHops / Math.max(1, mStartedRequests),
            100.0 * mStartedRequests / Math.max(1, mOfferedRequests)
        };
    }
}
